export * from './documents/index.js';
export * from './settings/index.js';
