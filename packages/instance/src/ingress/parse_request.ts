import {randomUUID} from 'node:crypto';
import type {IncomingMessage} from 'node:http';
import {
  HeaderName,
  RequestClass,
  type TimerService,
} from '@primrosestage/common';
import type {InstanceInfo, Topology} from '@primrosestage/steering';
import {getHeader} from '../http/index.js';
import type {RequestContext} from '../request_context.js';
import {RequestError} from './request_error.js';

/** Maximum number of times a request may be forwarded between instances. */
export const MAX_HOPS = 3;

const IDEMPOTENT_METHODS = new Set(['GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE']);
const NON_IDEMPOTENT_METHODS = new Set(['POST', 'PATCH']);
const REQUEST_PATH = /^\/v1\/requests\/([a-z0-9-]+)\/([a-z0-9-]+)(\/.*|\?.*)?$/;
const REQUEST_ID = /^[\x21-\x7e]{1,128}$/;

/** Configures request parsing. */
export interface ParseRequestOptions {
  topology: Topology;
  self: InstanceInfo;
  timers: TimerService;
  defaultDeadlineMs: number;
  maxRequestMs: number;
}

/**
 * Parses the request line and headers of a request.
 * @param req - The request.
 * @param isInternal - Whether another instance sent it; only then are its source headers trusted.
 * @param options - Topology, this instance and time limits.
 * @returns The request's context.
 * @throws RequestError if the HTTP version, method, path, service, hops or a header are invalid.
 */
export function parseRequest(
  req: IncomingMessage,
  isInternal: boolean,
  options: ParseRequestOptions,
): RequestContext {
  const {self, topology, timers} = options;
  const {headers, method = '', url = ''} = req;
  const fail = (status: number, message: string) =>
    new RequestError(self.id, status, message);
  if (req.httpVersionMajor !== 1 || req.httpVersionMinor < 1) {
    // Without chunked encoding, a truncated body is indistinguishable from a complete one.
    throw fail(
      505,
      `unsupported version HTTP/${req.httpVersion}, expected HTTP/1.1`,
    );
  }
  const isIdempotent = IDEMPOTENT_METHODS.has(method);
  if (!isIdempotent && !NON_IDEMPOTENT_METHODS.has(method)) {
    throw fail(405, `method ${method} is not supported`);
  }
  const match = REQUEST_PATH.exec(url);
  if (!match) {
    throw fail(400, 'expected a path /v1/requests/{team}/{service}/{path}');
  }
  const [, team = '', serviceName = '', rest = '/'] = match;
  const service = topology.getService(team, serviceName);
  if (!service) throw fail(404, `team ${team} has no service ${serviceName}`);
  const readInteger = (name: HeaderName, fallback: number) => {
    const text = getHeader(headers, name);
    if (text === undefined) return fallback;
    if (/^\d{1,9}$/.test(text)) return Number(text);
    const found = JSON.stringify(text);
    throw fail(400, `header ${name}: found ${found}, expected a whole number`);
  };
  const hops = readInteger(HeaderName.Hops, 0);
  if (hops > MAX_HOPS) throw fail(508, `more than ${MAX_HOPS} hops`);
  const requestId = getHeader(headers, HeaderName.RequestId);
  if (requestId !== undefined && !REQUEST_ID.test(requestId)) {
    throw fail(
      400,
      `header ${HeaderName.RequestId}: expected at most 128 visible characters`,
    );
  }
  const deadlineMs = Math.min(
    readInteger(HeaderName.DeadlineMs, options.defaultDeadlineMs),
    options.maxRequestMs,
  );
  const getSourceHeader = (name: HeaderName) =>
    isInternal ? getHeader(headers, name) : undefined;
  return {
    requestId: requestId ?? randomUUID(),
    service,
    requestClass: isIdempotent
      ? RequestClass.Idempotent
      : RequestClass.NonIdempotent,
    method,
    url,
    path: rest.startsWith('/') ? rest : `/${rest}`,
    headers,
    deadlineAt: timers.now() + deadlineMs,
    hops,
    sourceRegion: getSourceHeader(HeaderName.SourceRegion) ?? self.region,
    sourceZone: getSourceHeader(HeaderName.SourceZone) ?? self.zone,
    traceParent: getHeader(headers, HeaderName.TraceParent),
    idempotencyKey: isIdempotent
      ? undefined
      : getHeader(headers, HeaderName.IdempotencyKey),
    isFirstAttempt: getHeader(headers, HeaderName.Attempt) === '1',
  };
}
