/** Calls the operators' HTTP port of one instance. */
import {InstanceError} from './errors.js';

/** A call to an instance. */
export interface InstanceCall {
  /** `host:port`. */
  readonly address: string;
  readonly path: string;
  readonly method: 'GET' | 'POST';
  readonly headers?: Readonly<Record<string, string>>;
  /** Sent as JSON; undefined for no body. */
  readonly body?: unknown;
  readonly timeoutMs: number;
}

/** Resolves to the parsed response. Throws InstanceError. */
export async function callInstance({
  address,
  path,
  method,
  headers = {},
  body,
  timeoutMs,
}: InstanceCall): Promise<unknown> {
  const signal = AbortSignal.timeout(timeoutMs);
  const text = body === undefined ? null : JSON.stringify(body);
  const options = {method, headers, signal, body: text};
  let res: Response;
  let answer: unknown;
  try {
    res = await fetch(`http://${address}${path}`, options);
    answer = await res.json();
  } catch (err) {
    throw new InstanceError(address, 'does not answer', err);
  }
  if (res.ok) return answer;
  const {error} = answer as {error?: string};
  // An error's text ends with a stop, as the sentence built from it does.
  const why = error?.replace(/\.$/, '') ?? res.status;
  throw new InstanceError(address, `rejected the request: ${why}`);
}
