/** Client of the platform's object API over HTTP and JSON. */
import {
  ConflictError,
  type ListedInstance,
  PlatformClient,
  PlatformDownError,
  type StoredObject,
} from './client.js';

/** Options of `httpPlatformClient`. */
export interface HttpPlatformOptions {
  /** Base URL, for example `http://127.0.0.1:8080`. */
  readonly url: string;
  /** Timeout of a call in milliseconds; a watch adds its own wait to it. */
  readonly timeoutMs: number;
}

const HTTP_OK = 200;
const HTTP_NOT_MODIFIED = 304;
const HTTP_NOT_FOUND = 404;
const HTTP_PRECONDITION_FAILED = 412;

class HttpPlatformClient extends PlatformClient {
  constructor(private readonly options: HttpPlatformOptions) {
    super();
  }

  async get(name: string): Promise<StoredObject | undefined> {
    const res = await this.call(`/objects/${name}`, {});
    if (res.status === HTTP_NOT_FOUND) return undefined;
    return parseObject(res);
  }

  async put(
    name: string,
    value: unknown,
    expected: number | undefined,
  ): Promise<number> {
    const condition: Record<string, string> =
      expected === undefined
        ? {'If-None-Match': '*'}
        : {'If-Match': `"${expected}"`};
    const res = await this.call(`/objects/${name}`, {
      method: 'PUT',
      body: JSON.stringify(value),
      headers: {'Content-Type': 'application/json', ...condition},
    });
    if (res.status === HTTP_PRECONDITION_FAILED)
      throw new ConflictError(name, expected);
    return parseVersion(res);
  }

  async watch(
    name: string,
    seen: number,
    timeoutMs: number,
  ): Promise<StoredObject | undefined> {
    const path = `/objects/${name}?after=${seen}&timeoutMs=${timeoutMs}`;
    const res = await this.call(path, {}, timeoutMs);
    if (res.status === HTTP_NOT_MODIFIED) return undefined;
    return parseObject(res);
  }

  async instances(): Promise<readonly ListedInstance[]> {
    const res = await this.call('/instances', {});
    const listed = await parseJson(res);
    if (Array.isArray(listed)) return listed.filter(isListedInstance);
    throw new PlatformDownError('the list of instances is no list');
  }

  private async call(
    path: string,
    init: RequestInit,
    extraTimeoutMs = 0,
  ): Promise<Response> {
    const signal = AbortSignal.timeout(this.options.timeoutMs + extraTimeoutMs);
    try {
      const res = await fetch(this.options.url + path, {...init, signal});
      if (res.status < 500) return res;
      throw new Error(`status ${res.status}`);
    } catch (err) {
      throw new PlatformDownError(path, err);
    }
  }
}

function parseVersion(res: Response): number {
  const version = Number(res.headers.get('etag')?.replace(/"/g, ''));
  const isVersion = Number.isSafeInteger(version) && version >= 0;
  if (res.status !== HTTP_OK || !isVersion) {
    throw new PlatformDownError(
      `response with status ${res.status} has no usable version`,
    );
  }
  return version;
}

async function parseObject(res: Response): Promise<StoredObject> {
  const version = parseVersion(res);
  return {version, value: await parseJson(res)};
}

async function parseJson(res: Response): Promise<unknown> {
  try {
    return await res.json();
  } catch (err) {
    throw new PlatformDownError(
      'the response body is truncated or not JSON',
      err,
    );
  }
}

/** Whether an entry of the list can be used; others are left out. */
function isListedInstance(value: unknown): value is ListedInstance {
  if (typeof value !== 'object' || value === null) return false;
  const {id, address} = value as Partial<ListedInstance>;
  return typeof id === 'string' && typeof address === 'string';
}

/** Creates a client of the platform at `options.url`. */
export function httpPlatformClient(
  options: HttpPlatformOptions,
): PlatformClient {
  return new HttpPlatformClient(options);
}
