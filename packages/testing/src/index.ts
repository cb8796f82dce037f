export * from './backend/index.js';
export * from './callers/index.js';
export * from './cluster/index.js';
export * from './faults/index.js';
export * from './history/index.js';
export * from './limits/index.js';
export * from './store/index.js';
