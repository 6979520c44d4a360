/**
 * The demonstration: a fleet of separate processes, callers that switch between
 * proxies, one failover, and a check of the recorded history.
 */
import {ReadPolicy} from './caller.js';
import {type RunFigures, runExperiment} from './experiment.js';
import type {Fleet} from './fleet.js';
import {ENTRIES, type Workload} from './workloads.js';

/** Settings of the demonstration. */
export interface DemoOptions {
  readonly callers: number;
  readonly seed: number;
  /** Duration of the load, milliseconds; the primary is killed halfway. */
  readonly loadMs: number;
}

/** The demonstration's workload: `ENTRIES` with a single group. */
export const DEMO: Workload = {
  ...ENTRIES,
  name: 'demo',
  sizes: {...ENTRIES.sizes, groups: ['entries-1']},
};

/** Runs callers against a fleet and kills the primary halfway. */
export function runDemo(
  fleet: Fleet,
  options: DemoOptions,
  progress: (line: string) => void,
): Promise<RunFigures> {
  const {callers, seed, loadMs} = options;
  progress(`${callers} callers write and read for ${loadMs} ms`);
  progress(`${fleet.endpoints[0]!.name}, the primary, is killed halfway`);
  return runExperiment(fleet, {
    workload: {...DEMO, callersPerGroup: callers},
    policy: ReadPolicy.Product,
    seed,
    loadMs,
    killsPrimary: true,
  });
}
