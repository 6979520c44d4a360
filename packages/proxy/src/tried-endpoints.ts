/**
 * Endpoints that one request has tried. Answers the load of a group whose
 * replicas lack what reads must see, so that the primary is overfull: one that
 * was full is left out while another one may serve the request, and is tried
 * again when none is left, since it may have room by then. One that lacks a
 * position, or was lost, is left out for good.
 */

/** What a request has tried so far. */
export interface TriedEndpoints {
  /** Endpoints that are left out of the next choice. */
  readonly avoid: ReadonlySet<string>;
  /** Notes one that had no room. */
  noteBusy(endpoint: string): void;
  /** Notes one that can't serve this request. */
  noteUnfit(endpoint: string): void;
  /** Allows those that had no room. */
  retryBusy(): void;
}

/** A request that was not sent anywhere yet. */
export function noneTried(): TriedEndpoints {
  const unfit = new Set<string>();
  const avoid = new Set<string>();
  return {
    avoid,
    noteBusy: endpoint => void avoid.add(endpoint),
    noteUnfit(endpoint) {
      unfit.add(endpoint);
      avoid.add(endpoint);
    },
    retryBusy() {
      for (const endpoint of [...avoid]) {
        if (!unfit.has(endpoint)) avoid.delete(endpoint);
      }
    },
  };
}
