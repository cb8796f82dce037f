export * from './errors/index.js';
export * from './net/index.js';
export * from './protocol/index.js';
export * from './tasks/index.js';
export * from './telemetry/index.js';
export * from './time/index.js';
