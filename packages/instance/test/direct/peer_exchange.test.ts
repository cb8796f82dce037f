import type {EventLogger} from '@primrosestage/common';
import {VirtualTimerService} from '@primrosestage/common';
import {
  ControlView,
  EndpointLimits,
  MemberDissemination,
  type MemberInfo,
  MemberTable,
} from '@primrosestage/steering';
import {Registry} from 'prom-client';
import {beforeEach, describe, expect, it} from 'vitest';
import {createDirectMetrics} from '../../src/direct/direct_metrics.js';
import type {PeerMessage} from '../../src/direct/control/peer_message.js';
import {PeerExchange} from '../../src/direct/control/peer_exchange.js';

const PEER_COUNT = 300;
const LOGGER: EventLogger = {info: () => {}, warn: () => {}, error: () => {}};

function createInfo(i: number, changes: Partial<MemberInfo> = {}): MemberInfo {
  return {
    id: `front-region-zone-${i}`,
    zone: 'zone',
    region: 'region',
    controlAddress: `10.1.0.${i}:8544`,
    gossipAddress: `10.1.0.${i}:7540`,
    callerAddress: `10.1.0.${i}:8548`,
    bornAt: 1,
    version: 1,
    isServing: true,
    isFollowing: false,
    openRequests: {},
    heartbeat: 1,
    ...changes,
  };
}

describe('PeerExchange', () => {
  let members: MemberTable;
  let exchange: PeerExchange;

  beforeEach(() => {
    const timers = new VirtualTimerService();
    const self = () => createInfo(0);
    members = new MemberTable(self);
    exchange = new PeerExchange({
      view: new ControlView(0),
      members,
      limits: new EndpointLimits(),
      mergeLimits: () => {},
      self,
      timers,
      logger: LOGGER,
      metrics: createDirectMetrics(new Registry()),
      apply: () => {},
      recordPeerRevision: () => {},
    });
    const others = Array.from({length: PEER_COUNT}, (_, i) =>
      createInfo(i + 1),
    );
    exchange.mergeMembers(others, {});
  });

  const receiveFrom = (changes: Partial<PeerMessage>): PeerMessage =>
    exchange.receive({
      sender: createInfo(1),
      digest: 7,
      revision: 0,
      changedRevision: 0,
      configurationVersion: 0,
      heartbeats: {},
      members: [],
      ...changes,
    });

  it('sends no members if only changes are requested (guards against the whole table with each change)', () => {
    expect(receiveFrom({}).members).toEqual([]);
  });

  it('sends all members to an instance that knows none', () => {
    expect(receiveFrom({announcementDigests: {}}).members.length).toBe(
      PEER_COUNT,
    );
  });

  it('sends only the members that differ', () => {
    const announcementDigests = new MemberDissemination(members).getDigests(0);
    exchange.mergeMembers([createInfo(9, {version: 2, heartbeat: 2})], {});
    const reply = receiveFrom({announcementDigests});
    expect(reply.members.map(({id}) => id)).toEqual([createInfo(9).id]);
  });
});
