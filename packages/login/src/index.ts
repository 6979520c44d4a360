/** Public exports of `@quetzalreel/login`. */
export {
  type LoggedInClient,
  type LoginOptions,
  type LoginRefusal,
  login,
  refuseConnection,
} from './login.js';
