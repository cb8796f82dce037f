import type {WireNames} from '../../src/direct/index.js';

/** Header and cookie names used in the tests; each deployment configures its own. */
export const NAMES: WireNames = {
  requestId: 'x-request-id',
  deadlineMs: 'x-deadline-ms',
  objectCookie: 'object',
  stamp: 'x-stamp',
  expectedEndpoint: 'x-expected-endpoint',
  load: 'x-load',
  limit: ['x-limit'],
  leaving: ['x-leaving'],
  notRun: 'x-not-run',
  accountKey: 'x-account-key',
  accountName: 'x-account',
};
