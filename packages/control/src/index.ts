export * from './documents/index.js';
export * from './settings/index.js';
export * from './store/index.js';
export * from './validation/index.js';
