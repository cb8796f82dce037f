export * from './choice/index.js';
export * from './configuration/index.js';
export * from './links/index.js';
export * from './ownership/index.js';
export * from './shares/index.js';
export * from './topology/index.js';
