export {
  runDirect,
  type DirectInstance,
  type DirectOptions,
} from './run_direct.js';
export type {
  DirectBounds,
  DirectSettings,
  QuotaBounds,
} from './direct_settings.js';
export type {ControlSource, DecodedItem} from './control/control_source.js';
export type {ServicePaths, WireNames} from './wire_names.js';
