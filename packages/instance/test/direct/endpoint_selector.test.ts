import {Registry} from 'prom-client';
import {
  ControlView,
  EndpointNotices,
  EndpointState,
  type MemberInfo,
  MemberTable,
  RequestKind,
  type Route,
} from '@primrosestage/steering';
import {describe, expect, it} from 'vitest';
import {SimClock} from '../../../testing/src/bench/policy/sim_clock.js';
import {createDirectMetrics} from '../../src/direct/direct_metrics.js';
import type {DirectSettings} from '../../src/direct/direct_settings.js';
import {createLimitControl} from '../../src/direct/limits/create_limit_control.js';
import {
  EndpointSelector,
  type SelectionRequest,
} from '../../src/direct/place/endpoint_selector.js';

const ROUTE: Route = {
  name: 'pages',
  host: 'sim',
  prefix: '/',
  kind: RequestKind.Safe,
  targets: [{service: 'pages', weight: 1}],
  timeoutMs: 0,
  objectiveMs: 500,
  priority: 1,
  attempts: 2,
  isSticky: true,
  homeRegions: [],
};
const REQUEST: SelectionRequest = {
  route: ROUTE,
  terms: {priority: 1, homeRegions: []},
  service: 'pages',
  objectKey: 'page-1',
  tried: new Set(),
  remainingMs: 2_000,
};

function createSelector(endpointCount: number) {
  const clock = new SimClock();
  const settings = {
    id: 'i1',
    zone: 'north-a',
    region: 'north',
    regionsByZone: new Map([['north-a', 'north']]),
    bounds: {maxShift: 0.15, coldFactor: 1.5, coldSlack: 5},
  } as unknown as DirectSettings;
  const view = new ControlView(2_500);
  const entries = Array.from({length: endpointCount}, (_, i) => ({
    id: `e${i}`,
    service: 'pages',
    address: '127.0.0.1:1',
    zone: 'north-a',
    slots: 3,
    state: EndpointState.Ready,
    coldLeftMs: 0,
    bornAt: 1,
  }));
  view.apply(
    {
      revision: 1,
      isFull: true,
      endpoints: entries.map(entry => ({
        id: entry.id,
        revision: 1,
        entry,
        isRemoved: false,
      })),
      evacuations: [],
    },
    0,
  );
  const self = {id: 'i1', region: 'north', openRequests: {}} as MemberInfo;
  const members = new MemberTable(() => self);
  const {permits} = createLimitControl({
    settings,
    view,
    members,
    timers: clock,
    logger: {info: () => {}, warn: () => {}, error: () => {}},
    metrics: createDirectMetrics(new Registry()),
    getServingSince: () => -Infinity,
    send: () => {},
    announce: () => {},
  });
  const constraints = {permits, notices: new EndpointNotices()};
  const selector = new EndpointSelector(
    settings,
    view,
    members,
    constraints,
    clock,
  );
  const endpoints = entries.flatMap(({id}) => view.endpointTable.get(id) ?? []);
  return {clock, selector, endpoints};
}

describe('EndpointSelector', () => {
  it('selects the least suspect endpoint when all have failed (guards against 503 on all paths after odd responses of each)', () => {
    const {selector, endpoints} = createSelector(3);
    endpoints.forEach((endpoint, i) => {
      for (let n = 0; n < 3 + ((i + 1) % 3); n++) {
        selector.observeFailure(endpoint, false);
      }
    });
    expect(selector.select(REQUEST).choice.id).toBe('e2');
    const tried = new Set(['e2']);
    expect(selector.select({...REQUEST, tried}).choice.id).toBe('e0');
  });

  it('prefers a healthy endpoint to a suspect one, whatever its rank', () => {
    const {selector, endpoints} = createSelector(3);
    for (const endpoint of endpoints.slice(1)) {
      for (let n = 0; n < 3; n++) selector.observeFailure(endpoint, false);
    }
    expect(selector.select(REQUEST).choice.id).toBe('e0');
  });

  it('refuses a request while every endpoint is unreachable or silent', () => {
    const {clock, selector, endpoints} = createSelector(2);
    const [first, second] = endpoints;
    if (!first || !second) throw new TypeError('no endpoints');
    selector.observeFailure(first, true);
    selector.begin(second);
    selector.begin(second);
    clock.runUntil(60);
    expect(selector.select(REQUEST).choice.id).toBe(second.entry.id);
    selector.observeFailure(first, true);
    selector.observeFailure(first, true);
    clock.runUntil(1_000);
    expect(selector.select(REQUEST).choice.id).toBeUndefined();
  });

  it('tries a service again that was too slow for the deadline (guards against refusing all its requests for good)', () => {
    const {clock, selector, endpoints} = createSelector(1);
    const [endpoint] = endpoints;
    if (!endpoint) throw new TypeError('no endpoint');
    const sent = {depth: 0, objectKey: REQUEST.objectKey};
    for (let n = 0; n < 10; n++)
      selector.observeResponse(endpoint, 5_000, sent);
    clock.runUntil(1_500);
    expect(selector.select(REQUEST).choice.id).toBe(endpoint.entry.id);
    expect(selector.select(REQUEST).choice.id).toBeUndefined();
    for (let n = 0; n < 30; n++) selector.observeResponse(endpoint, 100, sent);
    expect(selector.select(REQUEST).choice.id).toBe(endpoint.entry.id);
  });
});
