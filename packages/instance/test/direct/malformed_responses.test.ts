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
  hasSurplusBytes,
  isExpectedSuccess,
  type RawResponse,
  rawResponses,
  ConnectionEnd,
  renderResponse,
  VALID_RESPONSE,
  STRAY,
} from './raw_response.js';

const SEED = 20_261_204;
/** Endpoints that are tested concurrently, each with generated responses of its own. */
const ENDPOINTS = 10;
const RUNS_PER_ENDPOINT = 200;
/** Deadline of a request whose response may never end, in milliseconds. */
const DEADLINE_MS = 300;
/** Longest backoff of a failed endpoint with a margin, in milliseconds. */
const MAX_BACKOFF_MS = 3_100;

/** An endpoint that responds to each request with the bytes that it was given. */
interface RawEndpoint {
  id: string;
  address: string;
  response: RawResponse;
  server: RawServer;
  /** Whether the last request arrived on a connection that the endpoint had already closed. */
  hadClosedConnection: boolean;
}

async function startRawEndpoint(index: number): Promise<RawEndpoint> {
  const id = `endpoint-${index}`;
  const address = `127.40.12.${index + 1}:${getTestPort(0)}`;
  const server = await startRawServer(address, (socket, run) => {
    endpoint.hadClosedConnection = socket.writableEnded;
    const head = server.heads[run - 1] ?? '';
    const requestId =
      new RegExp(`^${NAMES.requestId}: (.*)$`, 'm').exec(head)?.[1] ?? '';
    void writeInSteps(
      socket,
      renderResponse(endpoint.response, requestId),
      endpoint.response,
    );
  });
  const endpoint = {
    id,
    address,
    response: VALID_RESPONSE,
    server,
    hadClosedConnection: false,
  };
  return endpoint;
}

async function writeInSteps(
  socket: Socket,
  text: string,
  {bytesPerWrite, end}: RawResponse,
): Promise<void> {
  for (let i = 0; i < text.length && !socket.destroyed; i += bytesPerWrite) {
    socket.write(text.slice(i, i + bytesPerWrite), 'latin1');
    if (bytesPerWrite < text.length) await new Promise(setImmediate);
  }
  if (end === ConnectionEnd.Close) socket.end();
  if (end === ConnectionEnd.Reset) socket.resetAndDestroy();
}

describe('responses of broken endpoints', () => {
  let endpoints: RawEndpoint[];
  let instance: TestInstance;

  beforeEach(async () => {
    const registry = new MemoryRegistry();
    const indexes = Array.from({length: ENDPOINTS}, (_, i) => i);
    endpoints = await Promise.all(indexes.map(startRawEndpoint));
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

  /** Requests a generated response, then a valid one on the same caller connection. */
  const checkResponse = async (
    endpoint: RawEndpoint,
    agent: http.Agent,
    generated: RawResponse,
  ): Promise<void> => {
    const path = `/${endpoint.id}/page`;
    endpoint.response = generated;
    const requestsBefore = endpoint.server.heads.length;
    const received = await send(instance, {
      path,
      agent,
      deadlineMs: DEADLINE_MS,
    });
    // The head of an earlier request that timed out may arrive late.
    const requestId = String(received.headers[NAMES.requestId]);
    const wasSent = endpoint.server.heads
      .slice(requestsBefore)
      .some(head => head.includes(`${NAMES.requestId}: ${requestId}\r\n`));
    expect(JSON.stringify(received.headers)).not.toContain(STRAY);
    expect([200, 500, 502, 503, 504]).toContain(received.status);
    if (received.status === 200) {
      expect(wasSent).toBe(true);
      expect(isExpectedSuccess(generated, received.body), received.body).toBe(
        true,
      );
    } else expect(received.body).not.toContain(STRAY);
    if (received.status === 500) expect(generated.statusLine).toContain(' 500');
    // The instance itself responds 503 only to requests that it has not sent.
    if (received.status === 503 && wasSent) {
      expect(generated.isMarkedNotRun).toBe(true);
    }
    endpoint.response = VALID_RESPONSE;
    const nextReceived = await sendUntilAccepted(path, agent);
    // Bytes after a response may break the next one on the connection, but must not be part of it.
    // A request may also be sent on a pooled connection while the endpoint is closing it.
    const mayBreak = hasSurplusBytes(generated) || endpoint.hadClosedConnection;
    const isBroken = mayBreak && nextReceived.status === 502;
    if (!isBroken) {
      expect(nextReceived.body, JSON.stringify(nextReceived)).toBe(
        VALID_RESPONSE.body,
      );
    }
    expect(nextReceived.body).not.toContain(STRAY);
  };

  /** Retries while the endpoint is in backoff after consecutive failures. */
  const sendUntilAccepted = async (path: string, agent: http.Agent) => {
    for (const end = performance.now() + MAX_BACKOFF_MS; ;) {
      const received = await send(instance, {path, agent});
      if (received.status !== 503 || performance.now() > end) return received;
      await sleep(20);
    }
  };

  it('guards against incomplete responses and responses to other requests', async () => {
    await Promise.all(
      endpoints.map(async (endpoint, index) => {
        const agent = new http.Agent({keepAlive: true, maxSockets: 1});
        const property = fc.asyncProperty(rawResponses, generated =>
          checkResponse(endpoint, agent, generated),
        );
        await fc.assert(property, {
          seed: SEED + index,
          numRuns: RUNS_PER_ENDPOINT,
        });
        agent.destroy();
      }),
    );
  });
});
