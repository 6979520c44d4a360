/** Network addresses in the form `host:port`. */

/** A host and a port. */
export interface HostPort {
  readonly host: string;
  readonly port: number;
}

const MAX_PORT = 65_535;

/** Parses `host:port`; undefined for anything that can't be connected to. */
export function parseAddress(text: string): HostPort | undefined {
  const colon = text.lastIndexOf(':');
  const port = Number(text.slice(colon + 1));
  if (colon < 1 || !Number.isInteger(port)) return undefined;
  if (port < 1 || port > MAX_PORT) return undefined;
  return {host: text.slice(0, colon), port};
}
