import http from 'node:http';
import {RealTimerService, type EventLogger} from '@primrosestage/common';
import type {RegistryItem} from '@primrosestage/control';
import {Registry} from 'prom-client';
import {
  type ClientAccount,
  EndpointState,
  RequestKind,
  type DirectService,
  type EndpointEntry,
  type MemberInfo,
  type Route,
} from '@primrosestage/steering';
import {
  type ControlSource,
  type DecodedItem,
  type DirectBounds,
  type DirectInstance,
  type DirectSettings,
  runDirect,
} from '../../src/direct/index.js';
import {getTestPort} from '../support/get_test_port.js';
import type {EndpointStub} from './endpoint_stub.js';
import type {MemoryRegistry} from './memory_registry.js';
import {NAMES} from './names.js';

export const HOST = 'shop.example';
const ZONES = new Map([
  ['north-a', 'north'],
  ['south-a', 'south'],
]);
/** Bounds of the instances that tests start, unless they change them. */
export const BOUNDS: DirectBounds = {
  repeatRatio: 0.2,
  repeatSlack: 50,
  repeatWindowMs: 10_000,
  coldFactor: 1.5,
  coldSlack: 5,
  maxShift: 0.15,
  drainMs: 2_500,
  stopTimeoutMs: 1_600,
  maxDirectoryTtlMs: 5_000,
};

/** One line of the log of an instance. */
export interface LogLine {
  event: string;
  fields: Record<string, unknown>;
}

/** A span that has ended. */
export interface SpanRecord {
  step: string;
  peer: string;
  parent?: string;
  outcome: string;
}

/** An instance under test. */
export interface TestInstance {
  settings: DirectSettings;
  instance: DirectInstance;
  lines: LogLine[];
  spans: SpanRecord[];
}

/** Response that a caller received. */
export interface CallerAnswer {
  status: number;
  headers: http.IncomingHttpHeaders;
  body: string;
  /** Whether the response arrived completely. */
  isComplete: boolean;
}

/** Creates a route of the service `pages`. */
export function createRoute(changes: Partial<Route> = {}): Route {
  return {
    name: 'pages',
    host: HOST,
    prefix: '/',
    kind: RequestKind.Safe,
    targets: [{service: 'pages', weight: 1}],
    timeoutMs: 1_000,
    objectiveMs: 200,
    priority: 1,
    attempts: 2,
    isSticky: true,
    homeRegions: [],
    ...changes,
  };
}

/** Writes a configuration to the registry. */
export function putConfiguration(
  registry: MemoryRegistry,
  version: number,
  routes: Route[],
  service: Partial<DirectService> = {},
  limits: {maxBodyBytes?: number; idleTimeoutMs?: number} = {},
  accounts?: readonly ClientAccount[],
): void {
  registry.set('configuration', {
    version,
    routes,
    services: [
      {
        name: 'pages',
        healthPath: '/healthz',
        maxConnections: 100,
        coldMs: 1_000,
        coldPerSecond: 0,
        ...service,
      },
    ],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 100_000,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
      ...limits,
    },
    accounts,
  });
}

/** Writes an endpoint to the registry. */
export function putEndpoint(
  registry: MemoryRegistry,
  stub: Pick<EndpointStub, 'id' | 'address'>,
  changes: Partial<EndpointEntry> = {},
): void {
  registry.set(`endpoints/${stub.id}`, {
    id: stub.id,
    service: 'pages',
    address: stub.address,
    zone: 'north-a',
    slots: 4,
    state: EndpointState.Ready,
    coldLeftMs: 0,
    bornAt: 1,
    ...changes,
  });
}

function decode(item: RegistryItem): DecodedItem | undefined {
  const {key, revision} = item;
  const value = item.value && JSON.parse(item.value.toString());
  if (key === 'configuration') {
    const services = new Map<string, DirectService>(
      value.services.map((service: DirectService) => [service.name, service]),
    );
    return {configuration: {...value, services}};
  }
  if (key.startsWith('endpoints/')) {
    const id = key.slice('endpoints/'.length);
    return {endpoint: {id, revision, entry: value, isRemoved: !value}};
  }
  if (key.startsWith('evacuations/')) {
    const zone = key.slice('evacuations/'.length);
    return {evacuation: {zone, isActive: value !== undefined, revision}};
  }
  if (key.startsWith('members/') && value) return {member: value as MemberInfo};
  return undefined;
}

/** Returns the control address of an instance by its number. */
export function getControlAddress(number: number): string {
  return `127.0.7.${number}:${getTestPort(3)}`;
}

/** Starts an instance; its number is the last part of its loopback address. */
export async function startInstance(
  registry: MemoryRegistry,
  number: number,
  changes: Partial<DirectSettings> = {},
  otherSource?: ControlSource,
): Promise<TestInstance> {
  const host = `127.0.7.${number}`;
  const createAddress = (offset: number) => `${host}:${getTestPort(offset)}`;
  const settings: DirectSettings = {
    id: `instance-${number}`,
    zone: 'north-a',
    region: 'north',
    regionsByZone: ZONES,
    callerAddress: createAddress(0),
    readinessAddress: createAddress(1),
    directoryAddress: createAddress(2),
    controlAddress: getControlAddress(number),
    gossipAddress: createAddress(3),
    seedAddresses: [],
    isSystemStart: false,
    bounds: BOUNDS,
    ...changes,
  };
  const lines: LogLine[] = [];
  const log = (event: string, fields: object = {}) => {
    lines.push({event, fields: fields as Record<string, unknown>});
  };
  const logger: EventLogger = {info: log, warn: log, error: log};
  const source: ControlSource = {
    store: registry,
    prefix: '',
    getMemberKey: id => `members/${id}`,
    decode,
  };
  const spans: SpanRecord[] = [];
  const instance = await runDirect({
    settings,
    source: otherSource ?? source,
    names: NAMES,
    registry: new Registry(),
    paths: {directory: '/directory', readiness: '/ready'},
    timers: new RealTimerService(),
    logger,
    random: Math.random,
    startSpan: ({step, peer, traceParent}) => ({
      traceParent: `within-${step}`,
      end: outcome => spans.push({step, peer, parent: traceParent, outcome}),
    }),
    formatDirectory: (addresses, ttlMs) => JSON.stringify({addresses, ttlMs}),
    readCallerLocation: url => ({
      zone: url.searchParams.get('zone') ?? '',
      region: url.searchParams.get('region') ?? '',
    }),
  });
  return {settings, instance, lines, spans};
}

/** Waits until a condition holds; fails after some time, five seconds unless another is given. */
export async function waitFor(
  what: string,
  isMet: () => boolean | Promise<boolean>,
  timeoutMs = 5_000,
): Promise<void> {
  const endAt = performance.now() + timeoutMs;
  while (performance.now() < endAt) {
    if (await isMet()) return;
    await sleep(10);
  }
  throw new TypeError(`timed out waiting until ${what}`);
}

/** Waits for a time in milliseconds. */
export function sleep(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

/** Waits until an instance accepts requests. */
export async function waitUntilServing(test: TestInstance): Promise<void> {
  await waitFor('the instance serves', () =>
    test.lines.some(({event}) => event === 'serving'),
  );
}

let requestCount = 0;

/** Describes a request of a caller. */
export interface CallerRequest {
  method?: string;
  path?: string;
  host?: string;
  body?: string;
  deadlineMs?: number;
  object?: string;
  id?: string;
  agent?: http.Agent;
  signal?: AbortSignal;
  headers?: http.OutgoingHttpHeaders;
}

/** Sends a request as a caller does. */
export function send(
  test: TestInstance,
  request: CallerRequest = {},
): Promise<CallerAnswer> {
  const [host, port] = test.settings.callerAddress.split(':');
  return new Promise((resolve, reject) => {
    const req = http.request({
      host,
      port,
      agent: request.agent ?? false,
      method: request.method ?? 'GET',
      path: request.path ?? '/page',
      signal: request.signal,
      headers: {
        host: request.host ?? HOST,
        ...request.headers,
        [NAMES.requestId]: request.id ?? `request-${++requestCount}`,
        [NAMES.deadlineMs]: String(request.deadlineMs ?? 2_000),
        ...(request.object === undefined
          ? {}
          : {cookie: `object=${request.object}`}),
      },
    });
    req.on('error', reject);
    req.on('response', res => {
      const chunks: Buffer[] = [];
      const finish = () =>
        resolve({
          status: res.statusCode ?? 0,
          headers: res.headers,
          body: Buffer.concat(chunks).toString(),
          isComplete: res.complete,
        });
      res.on('data', (chunk: Buffer) => chunks.push(chunk));
      res.on('end', finish);
      res.on('error', finish);
    });
    req.end(request.body);
  });
}

/** Queries the directory of an instance and returns the listed addresses. */
export async function queryDirectory(
  test: TestInstance,
  region: string,
): Promise<string[]> {
  const url = `http://${test.settings.directoryAddress}/directory?region=${region}`;
  const body = await new Promise<string>((done, reject) => {
    http
      .get(url, {agent: false}, res => {
        let text = '';
        res.on('data', chunk => (text += chunk));
        res.on('end', () => done(text));
      })
      .on('error', reject);
  });
  return (JSON.parse(body) as {addresses: string[]}).addresses;
}
