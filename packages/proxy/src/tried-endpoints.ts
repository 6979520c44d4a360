/**
 * Endpoints that one request has tried. When a group's replicas are behind, its
 * reads overload the primary. An endpoint that was busy is excluded while
 * another one may serve the request, and allowed again when none is left, since
 * it may have capacity by then. An endpoint that was behind or lost its
 * connection is excluded for the rest of the request.
 */

/** The endpoints that a request has tried so far. */
export interface TriedEndpoints {
  /** Endpoints excluded from the next choice. */
  readonly avoid: ReadonlySet<string>;
  /** Excludes an endpoint that was busy. */
  noteBusy(endpoint: string): void;
  /** Excludes an endpoint that can't serve this request. */
  noteUnfit(endpoint: string): void;
  /** Allows the busy endpoints again. */
  retryBusy(): void;
}

/** The state of a request without attempts. */
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
