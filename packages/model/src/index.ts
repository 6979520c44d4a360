/** Public exports of `@quetzalreel/model`. */
export {explore, replay, walk} from './explore.js';
export {
  ORDER_INVARIANTS,
  type OrderBounds,
  OrderOmission,
  type OrderState,
  initialOrderState,
  orderSteps,
} from './fenced-orders.js';
export {
  READ_INVARIANTS,
  type ReadBounds,
  ReadOmission,
  type ReadState,
  initialReadState,
  readSteps,
} from './fresh-reads.js';
export {
  type Exploration,
  type ModelStep,
  type Violation,
  search,
} from './search.js';
export {
  GRANT_INVARIANTS,
  type GrantBounds,
  GrantOmission,
  type GrantState,
  grantSteps,
  initialGrantState,
} from './token-grants.js';
export {
  SUCCESSION_INVARIANTS,
  type SuccessionBounds,
  SuccessionOmission,
  type SuccessionState,
  initialSuccessionState,
  successionSteps,
} from './succession.js';
export {
  CHANGE_INVARIANTS,
  type ChangeBounds,
  ChangeOmission,
  type ChangeState,
  changeSteps,
  initialChangeState,
} from './unfenced-change.js';
export {OMISSIONS, type OmissionCase} from './omissions.js';
export {INVARIANTS} from './spec.js';
export {type Bounds, Omission, type State} from './state.js';
