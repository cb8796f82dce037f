export {getSuccessors} from './get_successors.js';
export {
  formatKeyPrefix,
  type IdempotencyKey,
  parseIdempotencyKey,
} from './idempotency_key.js';
export {
  type KeyRecord,
  KeyState,
  type RecordedResponse as RecordedAnswer,
} from './key_record.js';
export {
  KEY_EPOCH_MS,
  KEY_LIFETIME_MS,
  KeyAction,
  type KeyDecision,
  type KeyRequest,
  KeyTable,
  type KeyTableOptions,
  MAX_RECORDED_BODY_BYTES,
} from './key_table.js';
