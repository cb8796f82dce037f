import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {type EventLogger, RealTimerService} from '@primrosestage/common';
import {
  ControlView,
  EndpointLimits,
  type MemberInfo,
  MemberTable,
} from '@primrosestage/steering';
import {Registry} from 'prom-client';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {createDirectMetrics} from '../../src/direct/direct_metrics.js';
import {
  createPeerRouter,
  PeerExchange,
} from '../../src/direct/control/peer_exchange.js';
import {createRpcHandler} from '../../src/rpc/index.js';
import {waitFor} from './fleet.js';

/** Time of an exchange over a full link, in milliseconds. */
const FULL_LINK_MS = 1_000;
const LOGGER: EventLogger = {info: () => {}, warn: () => {}, error: () => {}};

/** Another instance that answers late, or never. */
interface Peer {
  address: string;
  server: http.Server;
  /** The number of exchanges that have arrived. */
  asked: number;
}

describe('exchanges over a full link', () => {
  let asking: PeerExchange;
  let revisions: number[];
  let peers: Peer[];

  beforeEach(() => {
    revisions = [];
    peers = [];
    asking = createExchange('asking', revision => revisions.push(revision));
  });

  afterEach(async () => {
    await asking[Symbol.asyncDispose]();
    for (const {server} of peers) {
      server.closeAllConnections();
      await new Promise(resolve => server.close(resolve));
    }
  });

  const createExchange = (
    id: string,
    recordPeerRevision: (revision: number) => void,
  ) => {
    const self = (): MemberInfo => ({
      id,
      zone: 'zone',
      region: 'region',
      controlAddress: `${id}:1`,
      gossipAddress: `${id}:2`,
      callerAddress: `${id}:3`,
      bornAt: 1,
      version: 1,
      isServing: true,
      isFollowing: false,
      openRequests: {},
      heartbeat: 1,
    });
    return new PeerExchange({
      view: new ControlView(0),
      members: new MemberTable(self),
      limits: new EndpointLimits(),
      mergeLimits: () => {},
      self,
      timers: new RealTimerService(),
      logger: LOGGER,
      metrics: createDirectMetrics(new Registry()),
      apply: () => {},
      recordPeerRevision,
    });
  };

  /** Starts an instance that answers after a time; Infinity for never. */
  const startPeer = async (delayMs: number): Promise<Peer> => {
    const exchange = createExchange('answering', () => {});
    const handle = createRpcHandler(
      createPeerRouter(message => exchange.receive(message)),
    );
    const server = http.createServer((req, res) => {
      peer.asked++;
      if (delayMs < Infinity) setTimeout(() => handle(req, res), delayMs);
    });
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    const {port} = server.address() as AddressInfo;
    const peer = {address: `127.0.0.1:${port}`, server, asked: 0};
    peers.push(peer);
    return peer;
  };

  const pull = ({address}: Peer) =>
    asking.pull(address, {includesMembers: true});

  it('guards against dropping an answer that comes late', async () => {
    const peer = await startPeer(FULL_LINK_MS);
    await pull(peer);
    await waitFor('it is applied', () => revisions.length === 1);
  });

  it('guards against late exchanges that prevent others', async () => {
    const silent = await Promise.all([1, 2, 3].map(() => startPeer(Infinity)));
    const prompt = await startPeer(0);
    const late = silent.map(pull);
    await pull(prompt);
    expect(prompt.asked).toBe(0);
    await Promise.all(late);
    expect(asking.isBusy).toBe(false);
    await pull(prompt);
    expect(revisions).toHaveLength(1);
  });

  it('asks an instance again whose answer is late', async () => {
    const peer = await startPeer(FULL_LINK_MS);
    await pull(peer);
    await pull(peer);
    await waitFor('both are applied', () => revisions.length === 2);
    expect(peer.asked).toBe(2);
  });

  it('guards against connections that stay open without an answer', async () => {
    const peer = await startPeer(Infinity);
    await pull(peer);
    const countConnections = () =>
      new Promise<number>(resolve =>
        peer.server.getConnections((_, count) => resolve(count)),
      );
    expect(await countConnections()).toBe(1);
    await waitFor('it is closed', async () => (await countConnections()) === 0);
    expect(revisions).toEqual([]);
  });
});
