/** Seeds of runs that have failed, each with its cause; CI plays them. */

/** A seed that is played again. */
export interface KeptSeed {
  readonly seed: number;
  /** Why it failed. */
  readonly cause: string;
}

/** All kept seeds. */
export const KEPT_SEEDS: readonly KeptSeed[] = [
  {
    seed: 23,
    cause: 'a changed settings file ended a process that was being started',
  },
  {
    seed: 4022,
    cause:
      'a list of the configuration took a connection that was opened before a silence',
  },
];
