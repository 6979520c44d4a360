/** Rules to disable, each with bounds within which an invariant then breaks. */
import {type Bounds, Omission} from './state.js';

/** A disabled rule and how to reach a violation without it. */
export interface OmissionCase {
  readonly omit: Omission;
  readonly bounds: Bounds;
  /** Trace to a violation that is too deep for the search to reach. */
  readonly trace?: readonly string[];
}

const ONE_WRITE = {writes: 1, maxTerm: 2, crashes: 0, instances: 1};

const CHANGE_TO_E1 = [
  'p0 starts a change',
  'p0 fences e1',
  'p0 fences e2',
  'p0 promotes',
];

/** All rules of the core protocol that can be disabled. */
export const OMISSIONS: readonly OmissionCase[] = [
  {omit: Omission.Fence, bounds: {...ONE_WRITE, maxTerm: 3, instances: 2}},
  {omit: Omission.MajorityAck, bounds: ONE_WRITE},
  {omit: Omission.MajorityFloor, bounds: ONE_WRITE},
  {
    omit: Omission.TermOrder,
    bounds: {...ONE_WRITE, writes: 3, maxTerm: 3},
    trace: [
      'write 0 to e0',
      'write 1 to e0',
      ...CHANGE_TO_E1,
      'p0 lets e2 follow',
      'replicate to e2',
      'write 2 to e1',
      'replicate to e2',
      'poll e1',
      'poll e2',
      'acknowledge 2',
      'p0 starts a change',
      'p0 fences e0',
      'p0 fences e2',
      'p0 promotes',
    ],
  },
  {
    omit: Omission.AckByRecord,
    bounds: {...ONE_WRITE, writes: 3},
    trace: [
      'write 0 to e0',
      'write 1 to e0',
      ...CHANGE_TO_E1,
      'write 2 to e1',
      'p0 lets e0 follow',
      'poll e0',
      'poll e1',
      'acknowledge 2',
    ],
  },
  {omit: Omission.SendOnce, bounds: ONE_WRITE},
];
