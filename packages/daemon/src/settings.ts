/** The daemon's own settings: flags, each with an environment variable. */
import {TypedError} from '@quetzalreel/common';
import {number, option, string} from 'cmd-ts';

/** A setting of the daemon is missing or invalid. */
export class SettingError extends TypedError {
  constructor(flag: string, what: string, remedy: string) {
    super('SettingError', `--${flag} ${what}`, remedy);
  }
}

/** Settings of one daemon. */
export interface Settings {
  /** Identity of this instance. */
  readonly instance: string;
  readonly dataCentre: string;
  /** Address that callers and operators connect to. */
  readonly host: string;
  /** Port for callers; 0 takes a free one. */
  readonly port: number;
  /** Port for operators and metrics; 0 takes a free one. */
  readonly adminPort: number;
  /** Port for other instances; 0 takes a free one. */
  readonly peerPort: number;
  /** Addresses of other instances, `host:port` with commas between. */
  readonly peers: string;
  /** Base address of the platform's object API. */
  readonly platformUrl: string;
  readonly endpointUser: string;
  readonly endpointPassword: string;
  /** Number of instances that share the endpoints' connections. */
  readonly instances: number;
  /**
   * Token of operators; may be empty on loopback, where none is then required.
   */
  readonly operatorToken: string;
  /** Files with the certificate and key for callers' TLS; empty for no TLS. */
  readonly tlsCert: string;
  readonly tlsKey: string;
  /**
   * Files with the certificate, key and certificate authority for peers' TLS.
   */
  readonly peerTlsCert: string;
  readonly peerTlsKey: string;
  readonly peerTlsCa: string;
  /** Largest message that a caller may send, in bytes. */
  readonly maxMessageBytes: number;
  /** Key of session tokens, the same on every instance; empty for no tokens. */
  readonly sessionKey: string;
  /** Least severe level that is logged. */
  readonly logLevel: string;
}

const env = (name: string) => `QUETZALREEL_${name}`;

/** The flags of `quetzalreeld`. */
export const SETTING_FLAGS = {
  instance: option({
    type: string,
    long: 'instance',
    env: env('INSTANCE'),
    description: 'identity of this instance, unique in the fleet',
  }),
  dataCentre: option({
    type: string,
    long: 'data-centre',
    env: env('DATA_CENTRE'),
    description: 'data centre of this instance',
  }),
  host: option({
    type: string,
    long: 'host',
    env: env('HOST'),
    defaultValue: () => '127.0.0.1',
    description: 'IP number to listen on',
  }),
  port: option({
    type: number,
    long: 'port',
    env: env('PORT'),
    defaultValue: () => 6432,
    description: 'port for callers, 0 for a free one',
  }),
  adminPort: option({
    type: number,
    long: 'admin-port',
    env: env('ADMIN_PORT'),
    defaultValue: () => 6433,
    description: 'port for operators and metrics, 0 for a free one',
  }),
  peerPort: option({
    type: number,
    long: 'peer-port',
    env: env('PEER_PORT'),
    defaultValue: () => 6434,
    description: 'port for other instances, 0 for a free one',
  }),
  peers: option({
    type: string,
    long: 'peers',
    env: env('PEERS'),
    defaultValue: () => '',
    description: 'some other instances, host:port with commas between',
  }),
  platformUrl: option({
    type: string,
    long: 'platform-url',
    env: env('PLATFORM_URL'),
    description: "base address of the platform's object API",
  }),
  endpointUser: option({
    type: string,
    long: 'endpoint-user',
    env: env('ENDPOINT_USER'),
    defaultValue: () => 'quetzalreel',
    description: 'user for logging in to endpoints',
  }),
  endpointPassword: option({
    type: string,
    long: 'endpoint-password',
    env: env('ENDPOINT_PASSWORD'),
    defaultValue: () => '',
    description: 'password for it; give it by the environment variable',
  }),
  instances: option({
    type: number,
    long: 'instances',
    env: env('INSTANCES'),
    defaultValue: () => 8,
    description: "instances that share the endpoints' connections",
  }),
  operatorToken: option({
    type: string,
    long: 'operator-token',
    env: env('OPERATOR_TOKEN'),
    defaultValue: () => '',
    description: 'token of operators; give it by the environment variable',
  }),
  tlsCert: option({
    type: string,
    long: 'tls-cert',
    env: env('TLS_CERT'),
    defaultValue: () => '',
    description: 'file of the certificate for callers, read again on change',
  }),
  tlsKey: option({
    type: string,
    long: 'tls-key',
    env: env('TLS_KEY'),
    defaultValue: () => '',
    description: 'file of its key',
  }),
  peerTlsCert: option({
    type: string,
    long: 'peer-tls-cert',
    env: env('PEER_TLS_CERT'),
    defaultValue: () => '',
    description: 'file of the certificate for other instances',
  }),
  peerTlsKey: option({
    type: string,
    long: 'peer-tls-key',
    env: env('PEER_TLS_KEY'),
    defaultValue: () => '',
    description: 'file of its key',
  }),
  peerTlsCa: option({
    type: string,
    long: 'peer-tls-ca',
    env: env('PEER_TLS_CA'),
    defaultValue: () => '',
    description: 'file of the authority of all instances',
  }),
  maxMessageBytes: option({
    type: number,
    long: 'max-message-bytes',
    env: env('MAX_MESSAGE_BYTES'),
    defaultValue: () => 4 * 1024 * 1024,
    description: 'largest message that a caller may send',
  }),
  sessionKey: option({
    type: string,
    long: 'session-key',
    env: env('SESSION_KEY'),
    defaultValue: () => '',
    description:
      'key of session tokens, the same on every instance; give it by the ' +
      'environment variable',
  }),
  logLevel: option({
    type: string,
    long: 'log-level',
    env: env('LOG_LEVEL'),
    defaultValue: () => 'info',
    description: 'trace, debug, info, warn, error or fatal',
  }),
};

const MAX_PORT = 65535;
const LOG_LEVELS: readonly string[] = [
  'trace',
  'debug',
  'info',
  'warn',
  'error',
  'fatal',
];

/** Returns the settings unchanged, or throws SettingError. */
export function checkSettings(settings: Settings): Settings {
  for (const [flag, port] of [
    ['port', settings.port],
    ['admin-port', settings.adminPort],
    ['peer-port', settings.peerPort],
  ] as const) {
    if (Number.isInteger(port) && port >= 0 && port <= MAX_PORT) continue;
    throw new SettingError(flag, `is ${port}`, 'Give a whole number to 65535.');
  }
  if (!/^[\w.-]{1,64}$/.test(settings.instance)) {
    const remedy = 'Use up to 64 letters, digits, dots and dashes.';
    throw new SettingError('instance', 'is not a valid name', remedy);
  }
  for (const address of peerAddresses(settings)) {
    if (/^[\w.:[\]-]+:\d{1,5}$/.test(address)) continue;
    const remedy = 'Give addresses such as 10.0.0.1:6434,10.0.0.2:6434.';
    throw new SettingError('peers', 'contains an invalid address', remedy);
  }
  const isLoopback = /^(127\.|::1$|localhost$)/.test(settings.host);
  if (!isLoopback && settings.operatorToken === '') {
    const remedy = 'Set QUETZALREEL_OPERATOR_TOKEN, or listen on loopback.';
    throw new SettingError('operator-token', 'is missing', remedy);
  }
  for (const [flag, files] of [
    ['tls-cert', [settings.tlsCert, settings.tlsKey]],
    [
      'peer-tls-cert',
      [settings.peerTlsCert, settings.peerTlsKey, settings.peerTlsCa],
    ],
  ] as const) {
    const given = files.filter(file => file !== '').length;
    if (given === 0 || given === files.length) continue;
    const remedy = 'Give all files that belong together, or none.';
    throw new SettingError(
      flag,
      'is not complete: some of its files are missing',
      remedy,
    );
  }
  if (!URL.canParse(settings.platformUrl)) {
    const remedy = 'Give an address such as http://10.0.0.1:8080.';
    throw new SettingError('platform-url', 'is not a valid address', remedy);
  }
  if (!Number.isInteger(settings.instances) || settings.instances < 1) {
    const remedy = 'Give the number of instances, 1 or more.';
    throw new SettingError('instances', `is ${settings.instances}`, remedy);
  }
  const {maxMessageBytes, logLevel} = settings;
  if (!Number.isSafeInteger(maxMessageBytes) || maxMessageBytes < 1) {
    const remedy = 'Give a whole number of bytes, 1 or more.';
    throw new SettingError(
      'max-message-bytes',
      `is ${maxMessageBytes}`,
      remedy,
    );
  }
  if (!LOG_LEVELS.includes(logLevel)) {
    const remedy = `Give one of ${LOG_LEVELS.join(', ')}.`;
    throw new SettingError('log-level', 'is not a level', remedy);
  }
  return settings;
}

/** The addresses of `--peers`. */
export function peerAddresses(settings: Settings): string[] {
  const parts = settings.peers.split(',').map(part => part.trim());
  return parts.filter(part => part !== '');
}

/**
 * Waits for a listener on the port of `flag`. Throws SettingError if the port
 * is in use or not permitted, and other errors unchanged.
 */
export async function withPortError<Listener>(
  flag: string,
  port: number,
  opening: Promise<Listener>,
): Promise<Listener> {
  try {
    return await opening;
  } catch (err) {
    const {code} = err as {code?: string};
    if (code !== 'EADDRINUSE' && code !== 'EACCES') throw err;
    const remedy = `Free the port, or name another one by --${flag}.`;
    throw new SettingError(
      flag,
      `is ${port}, which is in use or not permitted`,
      remedy,
    );
  }
}
