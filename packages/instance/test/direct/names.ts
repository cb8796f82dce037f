import type {WireNames} from '../../src/direct/index.js';

/** Header names of the tests; another installation has others. */
export const NAMES: WireNames = {
  requestId: 'x-request-id',
  deadlineMs: 'x-deadline-ms',
  objectCookie: 'object',
  stamp: 'x-stamp',
  expectedEndpoint: 'x-expected-endpoint',
  load: 'x-load',
  notRun: 'x-not-run',
};
