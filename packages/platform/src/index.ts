/** Public exports of `@quetzalreel/platform`. */
export {
  ConflictError,
  type ListedInstance,
  PlatformClient,
  PlatformDownError,
  type StoredObject,
} from './client.js';
export {type HttpPlatformOptions, httpPlatformClient} from './http-client.js';
