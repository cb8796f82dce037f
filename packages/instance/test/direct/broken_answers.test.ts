import http from 'node:http';
import type {Socket} from 'node:net';
import fc from 'fast-check';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {getTestPort} from '../support/get_test_port.js';
import {type RawServer, startRawServer} from '../support/start_raw_server.js';
import {
  createRoute,
  putConfiguration,
  putEndpoint,
  send,
  sleep,
  startInstance,
  type TestInstance,
  waitUntilServing,
} from './fleet.js';
import {MemoryRegistry} from './memory_registry.js';
import {NAMES} from './names.js';
import {
  isOwnSuccess,
  type RawAnswer,
  rawAnswers,
  RawEnd,
  renderAnswer,
  SOUND_ANSWER,
  STRAY,
} from './raw_answer.js';

const SEED = 20_261_204;
/** Endpoints that are tried beside each other, each with answers of its own. */
const LANES = 10;
const RUNS_PER_LANE = 200;
/** Deadline of a request whose answer may have no end, in milliseconds. */
const DEADLINE_MS = 300;
/** Longest pause of an endpoint that has failed. */
const PAUSE_MS = 3_100;

/** An endpoint that answers each request with the bytes that it was given. */
interface RawEndpoint {
  id: string;
  address: string;
  answer: RawAnswer;
  server: RawServer;
}

async function startRawEndpoint(lane: number): Promise<RawEndpoint> {
  const id = `lane-${lane}`;
  const address = `127.40.12.${lane + 1}:${getTestPort(0)}`;
  const server = await startRawServer(address, (socket, run) => {
    const head = server.heads[run - 1] ?? '';
    const requestId =
      new RegExp(`^${NAMES.requestId}: (.*)$`, 'm').exec(head)?.[1] ?? '';
    void writePieces(
      socket,
      renderAnswer(endpoint.answer, requestId),
      endpoint.answer,
    );
  });
  const endpoint = {id, address, answer: SOUND_ANSWER, server};
  return endpoint;
}

async function writePieces(
  socket: Socket,
  text: string,
  {pieceBytes, end}: RawAnswer,
): Promise<void> {
  for (let i = 0; i < text.length && !socket.destroyed; i += pieceBytes) {
    socket.write(text.slice(i, i + pieceBytes), 'latin1');
    if (pieceBytes < text.length) await new Promise(setImmediate);
  }
  if (end === RawEnd.Close) socket.end();
  if (end === RawEnd.Reset) socket.resetAndDestroy();
}

describe('answers of broken endpoints', () => {
  let endpoints: RawEndpoint[];
  let instance: TestInstance;

  beforeEach(async () => {
    const registry = new MemoryRegistry();
    const lanes = Array.from({length: LANES}, (_, i) => i);
    endpoints = await Promise.all(lanes.map(startRawEndpoint));
    const routes = endpoints.map(({id}) =>
      createRoute({
        name: id,
        prefix: `/${id}/`,
        targets: [{service: id, weight: 1}],
        attempts: 1,
      }),
    );
    putConfiguration(registry, 1, routes);
    for (const endpoint of endpoints) {
      putEndpoint(registry, endpoint, {service: endpoint.id});
    }
    instance = await startInstance(registry, 41);
    await waitUntilServing(instance);
  });

  afterEach(async () => {
    await instance.instance[Symbol.asyncDispose]();
    for (const {server} of endpoints) await server.stop();
  });

  /** Asks for an answer that is spoiled, then for a sound one on the same connection. */
  const play = async (
    endpoint: RawEndpoint,
    agent: http.Agent,
    raw: RawAnswer,
  ): Promise<void> => {
    const path = `/${endpoint.id}/page`;
    endpoint.answer = raw;
    const requestsBefore = endpoint.server.heads.length;
    const answer = await send(instance, {path, agent, deadlineMs: DEADLINE_MS});
    const hasReachedEndpoint = endpoint.server.heads.length > requestsBefore;
    expect(JSON.stringify(answer.headers)).not.toContain(STRAY);
    expect([200, 500, 502, 503, 504]).toContain(answer.status);
    if (answer.status === 200) {
      expect(isOwnSuccess(raw, answer.body), answer.body).toBe(true);
    } else expect(answer.body).not.toContain(STRAY);
    if (answer.status === 500) expect(raw.statusLine).toContain(' 500');
    // The instance itself refuses only requests that it has not sent.
    if (answer.status === 503 && hasReachedEndpoint) {
      expect(raw.isMarkedNotRun).toBe(true);
    }
    endpoint.answer = SOUND_ANSWER;
    const next = await sendUntilTaken(path, agent);
    // Bytes behind an answer may break the next one on the connection, but never become it.
    const isBroken = raw.tail !== '' && next.status === 502;
    if (!isBroken) {
      expect(next.body, JSON.stringify(next)).toBe(SOUND_ANSWER.body);
    }
    expect(next.body).not.toContain(STRAY);
  };

  /** A few failures in a row pause an endpoint for a time. */
  const sendUntilTaken = async (path: string, agent: http.Agent) => {
    for (const end = performance.now() + PAUSE_MS; ;) {
      const answer = await send(instance, {path, agent});
      if (answer.status !== 503 || performance.now() > end) return answer;
      await sleep(20);
    }
  };

  it('reach a caller only whole and as its own (guards against mixed answers)', async () => {
    await Promise.all(
      endpoints.map(async (endpoint, lane) => {
        const agent = new http.Agent({keepAlive: true, maxSockets: 1});
        const property = fc.asyncProperty(rawAnswers, raw =>
          play(endpoint, agent, raw),
        );
        await fc.assert(property, {seed: SEED + lane, numRuns: RUNS_PER_LANE});
        agent.destroy();
      }),
    );
  });
});
