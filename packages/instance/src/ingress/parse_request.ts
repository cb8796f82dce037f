import {randomUUID} from 'node:crypto';
import type {IncomingMessage} from 'node:http';
import {
  HeaderName,
  RequestClass,
  Step,
  StepError,
  type TimerService,
} from '@primrosestage/common';
import type {InstanceInfo, Topology} from '@primrosestage/steering';
import type {RequestContext} from '../request_context.js';

/** Most instances that may pass a request on. */
export const HOP_LIMIT = 3;

const IDEMPOTENT_METHODS = new Set(['GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE']);
const REQUEST_PATH = /^\/v1\/requests\/([a-z0-9-]+)\/([a-z0-9-]+)(\/.*|\?.*)?$/;

/** Configures the parsing of requests. */
export interface ParseRequestOptions {
  topology: Topology;
  self: InstanceInfo;
  timers: TimerService;
  defaultDeadlineMs: number;
  maxRequestMs: number;
}

/**
 * Reads what a request asks for from its line and headers.
 * @param req - The request.
 * @param options - Topology, this instance and time limits.
 * @returns The context that goes with the request.
 * @throws StepError when the path, service, deadline or hop count is not valid.
 */
export function parseRequest(
  req: IncomingMessage,
  options: ParseRequestOptions,
): RequestContext {
  const match = REQUEST_PATH.exec(req.url ?? '');
  const peer = options.self.id;
  if (!match) {
    throw new StepError(
      {step: Step.Ingress, peer},
      'expected a path /v1/requests/{team}/{service}/{path}',
    );
  }
  const [, team = '', serviceName = '', rest = '/'] = match;
  const service = options.topology.getServiceOrThrow(team, serviceName);
  const hops = readCount(req, HeaderName.Hops, 0, peer);
  if (hops >= HOP_LIMIT) {
    throw new StepError({step: Step.Ingress, peer}, `hop limit ${HOP_LIMIT}`);
  }
  const deadlineMs = Math.min(
    readCount(req, HeaderName.DeadlineMs, options.defaultDeadlineMs, peer),
    options.maxRequestMs,
  );
  return {
    requestId: getHeader(req, HeaderName.RequestId) ?? randomUUID(),
    service,
    requestClass: IDEMPOTENT_METHODS.has(req.method ?? '')
      ? RequestClass.Idempotent
      : RequestClass.NonIdempotent,
    path: rest.startsWith('/') ? rest : `/${rest}`,
    deadlineAt: options.timers.now() + deadlineMs,
    hops,
    sourceRegion:
      getHeader(req, HeaderName.SourceRegion) ?? options.self.region,
    sourceZone: getHeader(req, HeaderName.SourceZone) ?? options.self.zone,
    traceParent: getHeader(req, HeaderName.TraceParent),
  };
}

function getHeader(req: IncomingMessage, name: HeaderName): string | undefined {
  const value = req.headers[name];
  return Array.isArray(value) ? value[0] : value;
}

function readCount(
  req: IncomingMessage,
  name: HeaderName,
  fallback: number,
  peer: string,
): number {
  const text = getHeader(req, name);
  if (text === undefined) return fallback;
  if (/^\d{1,9}$/.test(text)) return Number(text);
  throw new StepError(
    {step: Step.Ingress, peer},
    `header ${name}: found ${JSON.stringify(text)}, expected a whole number`,
  );
}
