/** What is used of the objects in the store. */
import {LEASE_KIND, LEASE_SELECTION} from '@quetzalreel/failover';
import type {Selection} from '@quetzalreel/object-store';
import {INSTANCE_KIND, INSTANCE_SELECTION} from '@quetzalreel/peer-queries';
import type {StoreFormat} from './routes.js';

/** The selection of objects' contents by kind, of all kinds that are read. */
export function storeSelections({
  configuration,
  endpoints,
}: StoreFormat): Readonly<Record<string, Selection>> {
  return {
    [configuration.kind]: configuration.selection,
    [endpoints.kind]: endpoints.selection,
    [INSTANCE_KIND]: INSTANCE_SELECTION,
    [LEASE_KIND]: LEASE_SELECTION,
  };
}
