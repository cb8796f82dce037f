export {
  runDirect,
  type DirectInstance,
  type DirectOptions,
} from './run_direct.js';
export type {DirectBounds, DirectSettings} from './direct_settings.js';
export type {ControlSource, DecodedItem} from './control_source.js';
export type {ServicePaths, WireNames} from './wire_names.js';
export {EndpointSelector, type SelectionRequest} from './endpoint_selector.js';
export {observeAttempt} from './observe_attempt.js';
export {AttemptOutcome} from './attempt.js';
