/** The platform's object API over HTTP and JSON. */
import {
  ConflictError,
  type ListedInstance,
  PlatformClient,
  PlatformDownError,
  type StoredObject,
} from './client.js';

/** How to reach the platform. */
export interface HttpPlatformOptions {
  /** Base address, for instance `http://127.0.0.1:8080`. */
  readonly url: string;
  /** Longest time for one call, without a watch's own waiting. */
  readonly timeoutMs: number;
}

const HTTP_OK = 200;
const HTTP_NO_CHANGE = 304;
const HTTP_NOT_FOUND = 404;
const HTTP_CONFLICT = 412;

class HttpPlatformClient extends PlatformClient {
  constructor(private readonly options: HttpPlatformOptions) {
    super();
  }

  async get(name: string): Promise<StoredObject | undefined> {
    const res = await this.call(`/objects/${name}`, {});
    if (res.status === HTTP_NOT_FOUND) return undefined;
    return objectOf(res);
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
    if (res.status === HTTP_CONFLICT) throw new ConflictError(name, expected);
    return versionOf(res);
  }

  async watch(
    name: string,
    seen: number,
    timeoutMs: number,
  ): Promise<StoredObject | undefined> {
    const path = `/objects/${name}?after=${seen}&timeoutMs=${timeoutMs}`;
    const res = await this.call(path, {}, timeoutMs);
    if (res.status === HTTP_NO_CHANGE) return undefined;
    return objectOf(res);
  }

  async instances(): Promise<readonly ListedInstance[]> {
    const res = await this.call('/instances', {});
    return (await res.json()) as ListedInstance[];
  }

  private async call(
    path: string,
    init: RequestInit,
    extraMs = 0,
  ): Promise<Response> {
    const signal = AbortSignal.timeout(this.options.timeoutMs + extraMs);
    try {
      const res = await fetch(this.options.url + path, {...init, signal});
      if (res.status < 500) return res;
      throw new Error(`status ${res.status}`);
    } catch (err) {
      throw new PlatformDownError(path, err);
    }
  }
}

function versionOf(res: Response): number {
  const version = Number(res.headers.get('etag')?.replace(/"/g, ''));
  if (res.status !== HTTP_OK || !Number.isInteger(version)) {
    throw new PlatformDownError(`answer ${res.status} without a version`);
  }
  return version;
}

async function objectOf(res: Response): Promise<StoredObject> {
  const version = versionOf(res);
  try {
    return {version, value: await res.json()};
  } catch (err) {
    throw new PlatformDownError('the answer ended early', err);
  }
}

/** A client of the platform at `options.url`. */
export function httpPlatformClient(
  options: HttpPlatformOptions,
): PlatformClient {
  return new HttpPlatformClient(options);
}
