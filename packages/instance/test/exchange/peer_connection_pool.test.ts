import type net from 'node:net';
import {connectTcp, RealTimerService, Step} from '@primrosestage/common';
import {MAX_CARRIED_IDS} from '@primrosestage/steering';
import fc from 'fast-check';
import {afterEach, describe, expect, it} from 'vitest';
import {
  FailureKind,
  isProvenNotRun,
  PeerConnectionPool,
  type PeerRequest,
} from '../../src/exchange/index.js';
import {createBufferedBody} from '../../src/http/index.js';
import {getTestPort} from '../support/get_test_port.js';
import {type RawServer, startRawServer} from '../support/start_raw_server.js';

const ADDRESS = `127.40.2.1:${getTestPort(0)}`;
const PROGRESS_TIMEOUT_MS = 200;
const timers = new RealTimerService();
const sleep = (ms: number) => timers.sleep(ms);

let server: RawServer;
let pool: PeerConnectionPool;
/** Number of requests sent by the test. */
let sentCount: number;
/** Connections of the pool, in the order in which they were opened. */
let opened: net.Socket[];

afterEach(async () => {
  await pool[Symbol.asyncDispose]();
  await server.stop();
});

async function start(
  handle: (socket: net.Socket, run: number) => void,
  maxSockets = 4,
): Promise<void> {
  sentCount = 0;
  opened = [];
  server = await startRawServer(ADDRESS, handle);
  pool = new PeerConnectionPool({
    step: Step.Backend,
    peer: 'e-1',
    address: ADDRESS,
    connect: target => {
      const socket = connectTcp(target);
      opened.push(socket);
      return socket;
    },
    timers,
    maxSockets,
    progressTimeoutMs: PROGRESS_TIMEOUT_MS,
  });
}

interface ExchangeSummary {
  status?: number;
  body: string;
  kind?: FailureKind;
  mayHaveRun?: boolean;
}

/** Creates a request; each has an id of its own unless one is given. */
function createRequest(options: Partial<PeerRequest> = {}): PeerRequest {
  return {
    method: 'GET',
    path: '/',
    headers: {},
    requestId: `q-${++sentCount}`,
    body: createBufferedBody(Buffer.alloc(0)),
    deadlineAt: timers.now() + 5_000,
    needsFreshConnection: false,
    signal: new AbortController().signal,
    ...options,
  };
}

/** Sends a request and reads the complete answer. */
async function sendAndRead(
  options: Partial<PeerRequest> = {},
): Promise<ExchangeSummary> {
  const result = await pool.send(createRequest(options));
  if (result.err) {
    const {kind, mayHaveRun} = result.err;
    return {body: '', kind, mayHaveRun};
  }
  const exchanged: ExchangeSummary = {status: result.res.statusCode, body: ''};
  try {
    for await (const chunk of result.chunks) exchanged.body += chunk.toString();
  } catch (err) {
    const {kind, mayHaveRun} = err as ExchangeSummary;
    return {...exchanged, kind, mayHaveRun};
  }
  return exchanged;
}

const OK = 'HTTP/1.1 200 OK\r\n';
const OK_EMPTY = `${OK}content-length: 0\r\n\r\n`;
const OK_Q1 = `${OK}primrose-request-id: q-1\r\ncontent-length: 2\r\n\r\nok`;
const REFUSAL_WITHOUT_ID =
  'HTTP/1.1 503 Busy\r\nprimrose-outcome: not-run\r\ncontent-length: 0\r\n\r\n';
const REFUSAL = REFUSAL_WITHOUT_ID.replace(
  'content-length',
  'primrose-request-id: q-1\r\ncontent-length',
);

describe('PeerConnectionPool', () => {
  // A response that was cut off within its head lent its status and outcome to the next one.
  it.each([
    ['a header', 'HTTP/1.1 503 Busy\r\nprimrose-outcome: not-run\r\nx: a'],
    ['the reason phrase', 'HTTP/1.1 404 Not'],
  ])(
    'guards against a head that begins with another one cut off in %s',
    async (_, foreign) => {
      await start(socket => {
        socket.write(
          `${foreign}${OK}primrose-request-id: q-1\r\ncontent-length: 2\r\n\r\nok`,
        );
      });
      expect(await sendAndRead()).toMatchObject({
        kind: FailureKind.Malformed,
        mayHaveRun: true,
      });
    },
  );

  it.each([
    ['with content-length', `${OK}content-length: 10\r\n\r\nhalf`],
    ['chunked', `${OK}transfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n`],
  ])(
    'guards against accepting a truncated body %s as complete',
    async (_, text) => {
      await start(socket => socket.end(text));
      expect(await sendAndRead()).toMatchObject({
        status: 200,
        body: 'half',
        kind: FailureKind.Broken,
        mayHaveRun: true,
      });
    },
  );

  it.each([
    ['an answer without a length', `${OK}\r\nsome text`],
    ['malformed HTTP', 'rubbish\r\n\r\n'],
    // Node.js reads these heads but refuses to write them.
    ['a status of zeros', 'HTTP/1.1 000 OK\r\ncontent-length: 2\r\n\r\nok'],
    ['a header without a name', `${OK}: 1\r\ncontent-length: 2\r\n\r\nok`],
    ['a space after a name', `${OK}x : 1\r\ncontent-length: 2\r\n\r\nok`],
    ['a header of 32 KB', `${OK}x: ${'y'.repeat(32_768)}\r\n\r\n`],
    [
      'both content-length and chunked encoding',
      `${OK}content-length: 2\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n`,
    ],
    [
      'the answer to another request',
      `${OK}primrose-request-id: q-0\r\ncontent-length: 2\r\n\r\nno`,
    ],
  ])('guards against accepting %s as a valid answer', async (_, text) => {
    await start(socket => socket.end(text));
    expect(await sendAndRead()).toMatchObject({
      kind: FailureKind.Malformed,
      mayHaveRun: true,
    });
  });

  it.each([0, 30])(
    'guards against reading bytes sent %i ms after an answer as the next answer',
    async delayMs => {
      const late = `${OK}content-length: 4\r\n\r\nlate`;
      await start(socket => {
        socket.write(`${OK}content-length: 2\r\n\r\nok`);
        if (delayMs === 0) socket.write(late);
        else setTimeout(() => socket.write(late), delayMs);
      });
      expect(await sendAndRead()).toEqual({status: 200, body: 'ok'});
      await sleep(60);
      expect(await sendAndRead()).toEqual({status: 200, body: 'ok'});
      expect(server.sockets).toHaveLength(2);
    },
  );

  it('guards against an unknown outcome of a non-idempotent request because of a stale connection', async () => {
    await start((socket, run) => {
      // The first connection is closed when a second request arrives on it.
      if (socket === server.sockets[0] && run > 1) socket.destroy();
      else socket.write(`${OK}content-length: 2\r\n\r\nok`);
    });
    await sendAndRead();
    await sleep(600);
    expect(await sendAndRead({needsFreshConnection: true})).toEqual({
      status: 200,
      body: 'ok',
    });
    expect(server.sockets).toHaveLength(2);
  });

  it.each([
    [
      'writes more bytes on it',
      'data',
      (socket?: net.Socket) => socket?.write('x'),
    ],
    ['closes it', 'end', (socket?: net.Socket) => socket?.end()],
  ])(
    'guards against choosing the connection used last if the peer %s',
    async (_, event, act) => {
      await start((socket, run) =>
        setTimeout(() => socket.write(OK_EMPTY), run * 20),
      );
      await Promise.all([sendAndRead(), sendAndRead()]);
      await sleep(20);
      const last = opened.find(
        ({localPort}) => localPort === server.sockets[1]?.remotePort,
      );
      // Requests may start in the same iteration of the event loop, after its reads.
      const observed = new Promise(resolve =>
        last?.prependOnceListener(event, () => setImmediate(resolve)),
      );
      act(server.sockets[1]);
      await observed;
      expect(await sendAndRead()).toEqual({status: 200, body: ''});
    },
  );

  it('guards against opening a new connection for every request', async () => {
    await start(socket => socket.write(`${OK}content-length: 2\r\n\r\nok`));
    for (let i = 0; i < 3; i++) await sendAndRead({needsFreshConnection: true});
    expect(server.sockets).toHaveLength(1);
  });

  it('guards against waiting for a silent peer, and against reusing its other connections', async () => {
    let isSilent = false;
    await start(socket => {
      if (!isSilent) socket.write(`${OK}content-length: 2\r\n\r\nok`);
    });
    await Promise.all([sendAndRead(), sendAndRead()]);
    expect(server.sockets).toHaveLength(2);
    isSilent = true;
    const startedAt = timers.now();
    const silent = await sendAndRead();
    expect(silent).toMatchObject({kind: FailureKind.Silent, mayHaveRun: true});
    expect(timers.now() - startedAt).toBeLessThan(5 * PROGRESS_TIMEOUT_MS);
    await sleep(20);
    expect(server.sockets.map(({destroyed}) => destroyed)).toEqual([
      true,
      true,
    ]);
    isSilent = false;
    // The first exchange opens a connection, the second one reuses it.
    for (let i = 0; i < 2; i++) {
      expect(await sendAndRead()).toEqual({status: 200, body: 'ok'});
    }
    expect(server.sockets).toHaveLength(3);
  });

  it('guards against waiting for a peer that stops sending in the middle of a body', async () => {
    await start(socket => socket.write(`${OK}content-length: 10\r\n\r\nhalf`));
    expect(await sendAndRead()).toMatchObject({
      status: 200,
      body: 'half',
      kind: FailureKind.Silent,
    });
  });

  it('guards against aborting an exchange because its reader is slow', async () => {
    const body = 'x'.repeat(4 * 1024 * 1024);
    await start(socket =>
      socket.write(`${OK}content-length: ${body.length}\r\n\r\n${body}`),
    );
    const result = await pool.send(createRequest());
    let bytes = 0;
    for await (const chunk of result.err ? [] : result.chunks) {
      if (bytes === 0) await sleep(3 * PROGRESS_TIMEOUT_MS);
      bytes += chunk.length;
    }
    expect(bytes).toBe(body.length);
  });

  it('guards against an exchange that continues after its deadline', async () => {
    await start(() => {});
    expect(await sendAndRead({deadlineAt: timers.now() + 50})).toMatchObject({
      kind: FailureKind.Deadline,
      mayHaveRun: true,
    });
    await sleep(20);
    expect(server.sockets[0]?.destroyed).toBe(true);
  });

  it('guards against reporting a refused connection as a possible run', async () => {
    await start(() => {});
    await server.stop();
    expect(await sendAndRead()).toMatchObject({
      kind: FailureKind.Connect,
      mayHaveRun: false,
    });
  });

  // A copy of a refusal has the id of its request, so that only another connection tells it apart.
  it('guards against taking a copy of a refusal for the refusal of the same id sent again', async () => {
    await start((socket, run) => {
      if (run === 1) return socket.write(REFUSAL);
      if (socket === server.sockets[0]) socket.write(REFUSAL);
      return socket.write(OK_Q1);
    });
    const sent = {requestId: 'q-1', needsFreshConnection: true};
    expect(await sendAndRead(sent)).toMatchObject({status: 503});
    expect(await sendAndRead(sent)).toEqual({status: 200, body: 'ok'});
    expect(server.sockets).toHaveLength(2);
  });

  it('guards against a freed connection that is given to a waiting request of the id that it has carried', async () => {
    await start((socket, run) => {
      if (run === 1) return socket.write(REFUSAL);
      if (socket === server.sockets[0]) socket.write(REFUSAL);
      return socket.write(OK_Q1);
    }, 1);
    const sent = {requestId: 'q-1'};
    const summaries = await Promise.all([sendAndRead(sent), sendAndRead(sent)]);
    expect(summaries.map(({status}) => status)).toEqual([503, 200]);
    expect(server.sockets).toHaveLength(2);
  });

  it('guards against believing a refusal without an id on a freed connection that is given to a waiting request', async () => {
    await start((socket, run) => {
      socket.write(run === 1 ? OK_EMPTY : REFUSAL_WITHOUT_ID);
    }, 1);
    const first = sendAndRead();
    const second = await pool.send(createRequest());
    await first;
    expect(server.sockets).toHaveLength(1);
    expect(second.err ?? isProvenNotRun(second)).toBe(false);
  });

  it('guards against keeping the ids of any number of requests per connection', async () => {
    await start(socket => socket.write(OK_EMPTY));
    for (let i = 0; i <= MAX_CARRIED_IDS; i++) await sendAndRead();
    expect(server.sockets).toHaveLength(2);
    expect(server.heads).toHaveLength(MAX_CARRIED_IDS + 1);
  });

  it('sends no id twice on a connection and leaves none waiting, in any order of requests', async () => {
    const idsBySocket = new Map<net.Socket, string[]>();
    await start((socket, run) => {
      const id = /x-id: (.*)/.exec(server.heads[run - 1] ?? '')?.[1] ?? '';
      idsBySocket.set(socket, [...(idsBySocket.get(socket) ?? []), id]);
      setTimeout(() => socket.write(OK_EMPTY), run % 3);
    }, 2);
    const batches = fc.array(
      fc.array(fc.constantFrom('a', 'b', 'c', 'd'), {
        minLength: 1,
        maxLength: 6,
      }),
      {minLength: 1, maxLength: 5},
    );
    await fc.assert(
      fc.asyncProperty(batches, async drawn => {
        idsBySocket.clear();
        pool.closeIdle();
        for (const ids of drawn) {
          const summaries = await Promise.all(
            ids.map(requestId =>
              sendAndRead({requestId, headers: {'x-id': requestId}}),
            ),
          );
          expect(summaries.every(({status}) => status === 200)).toBe(true);
        }
        for (const ids of idsBySocket.values()) {
          expect(new Set(ids).size).toBe(ids.length);
        }
      }),
      {seed: 38, numRuns: 60},
    );
    expect(pool.activeCount).toBe(0);
  });
});
