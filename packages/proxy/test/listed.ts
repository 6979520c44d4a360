/** Entries of endpoints for tests. */
import type {ListedEndpoint} from '../src/routes.js';

/** The entry of a replica with `id` that is not leaving. */
export function listedEndpoint(id: string): ListedEndpoint {
  return {
    id,
    group: 'g',
    host: '10.0.0.1',
    port: 1,
    dataCentre: 'z',
    slots: 3,
    leaving: false,
    saysPrimary: false,
    startedAt: 1,
    sequence: undefined,
    coldMs: 0,
  };
}
