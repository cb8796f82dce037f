export * from './admission/index.js';
export * from './choice/index.js';
export * from './idempotency/index.js';
export * from './ownership/index.js';
export * from './retry/index.js';
export * from './topology/index.js';
