export * from './choice/index.js';
export * from './membership/index.js';
export * from './ownership/index.js';
export * from './topology/index.js';
