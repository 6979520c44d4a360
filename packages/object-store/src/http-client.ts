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
    return (await res.json()) as ListedInstance[];
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
  if (res.status !== HTTP_OK || !Number.isInteger(version)) {
    throw new PlatformDownError(
      `response with status ${res.status} has no usable version`,
    );
  }
  return version;
}

async function parseObject(res: Response): Promise<StoredObject> {
  const version = parseVersion(res);
  try {
    return {version, value: await res.json()};
  } catch (err) {
    throw new PlatformDownError(
      'the response body is truncated or not JSON',
      err,
    );
  }
}

/** Creates a client of the platform at `options.url`. */
export function httpPlatformClient(
  options: HttpPlatformOptions,
): PlatformClient {
  return new HttpPlatformClient(options);
}
