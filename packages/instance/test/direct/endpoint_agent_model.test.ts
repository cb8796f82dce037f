import type http from 'node:http';
import type {Socket} from 'node:net';
import {setImmediate} from 'node:timers/promises';
import {RealTimerService} from '@primrosestage/common';
import fc from 'fast-check';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {DiscardedBuffers} from '../../src/direct/discarded_buffers.js';
import {ResponseBuffers} from '../../src/direct/send/response_buffers.js';
import {EndpointAgent} from '../../src/direct/send/endpoint_agent.js';
import {type Attempt, sendAttempt} from '../../src/direct/send/send_attempt.js';
import {EndpointStub} from './endpoint_stub.js';
import {HOST, waitFor} from './fleet.js';
import {NAMES} from './names.js';

const SEED = 20_261_206;
const RUNS = 120;
const MAX_COMMANDS = 60;
/** Small, so that memories become full within a run. */
const MAX_CARRIED_IDS = 5;
const IDS = ['a', 'b', 'c', 'd', 'e', 'f'];
const MAX_OPEN = 5;
const ADDRESSES = [0, 1];

/** How a request ends. */
enum RequestEnd {
  Answered = 'answered',
  Refused = 'refused',
  /** Answered, with the announcement that the connection is closed. */
  Closed = 'closed',
  /** The connection is closed without a response. */
  Broken = 'broken',
}

/** What ends an idle connection. */
enum IdleEnd {
  EarlyData = 'early data',
  Timeout = 'timeout',
  PeerEnd = 'end by the endpoint',
}

interface ModelConnection {
  readonly connection: number;
  readonly address: number;
  readonly carried: string[];
}

/** The pool in plain terms: idle connections are a stack for each address. */
class PoolModel {
  readonly idle: ModelConnection[][] = ADDRESSES.map(() => []);
  /** Connections of the open requests, in the order in which they were sent. */
  readonly open: ModelConnection[] = [];
  private connectionCount = 0;

  get connections(): number {
    return this.open.length + this.idle.flat().length;
  }

  send(address: number, id: string): ModelConnection {
    const idle = this.idle[address] ?? [];
    while (idle.at(-1)?.carried.includes(id)) idle.pop();
    const connection = idle.pop() ?? {
      connection: ++this.connectionCount,
      address,
      carried: [],
    };
    connection.carried.push(id);
    this.open.push(connection);
    return connection;
  }

  end(index: number, end: RequestEnd): void {
    const [connection] = this.open.splice(index, 1);
    const isKept = end === RequestEnd.Answered || end === RequestEnd.Refused;
    if (!connection || !isKept) return;
    if (connection.carried.length >= MAX_CARRIED_IDS) return;
    this.idle[connection.address]?.push(connection);
  }
}

interface OpenRequest {
  readonly attempt: Attempt;
  readonly req: http.IncomingMessage;
  readonly res: http.ServerResponse;
}

/** The pool with two endpoints that hold each request until it is told how to end. */
class PoolUnderTest implements AsyncDisposable {
  readonly agent = new EndpointAgent(MAX_CARRIED_IDS);
  readonly open: OpenRequest[] = [];
  private readonly timers = new RealTimerService();
  private readonly carried = new WeakMap<Socket, Set<string>>();

  constructor(private readonly stubs: readonly EndpointStub[]) {}

  getStub(address: number): EndpointStub {
    const stub = this.stubs[address];
    if (!stub) throw new TypeError(`no endpoint ${address}`);
    return stub;
  }

  /** Sends a request and waits until it arrives. */
  async send(address: number, id: string): Promise<Attempt> {
    const stub = this.getStub(address);
    const arrived = new Promise<Omit<OpenRequest, 'attempt'>>(resolve => {
      stub.handle = (req, res) => resolve({req, res});
    });
    const attempt = this.startAttempt(stub, id);
    const unanswered = attempt.result.then(({outcome, reason}) => {
      throw new TypeError(`request ${id} ended as ${outcome}: ${reason}`);
    });
    const {req, res} = await Promise.race([arrived, unanswered]);
    unanswered.catch(() => {});
    expect(this.carried.get(req.socket)?.has(id) ?? false).toBe(false);
    this.addCarried(req.socket, id);
    this.open.push({attempt, req, res});
    return attempt;
  }

  async end(index: number, end: RequestEnd, address: number): Promise<void> {
    const [request] = this.open.splice(index, 1);
    if (!request) return;
    const {req, res, attempt} = request;
    const stub = this.getStub(address);
    res.shouldKeepAlive = end !== RequestEnd.Closed;
    if (end === RequestEnd.Broken) req.socket.destroy();
    else if (end === RequestEnd.Refused) stub.refuse(req, res);
    else stub.respond(req, res);
    await attempt.result;
  }

  endIdle(address: number, index: number, end: IdleEnd): void {
    const socket = this.getIdle(address)[index];
    const {port} = this.getTarget(address);
    expect(socket?.remotePort).toBe(port);
    if (end === IdleEnd.Timeout) socket?.emit('timeout');
    else if (end === IdleEnd.PeerEnd) {
      this.getStub(address).end(socket?.localPort);
    } else this.getStub(address).write('early', socket?.localPort);
  }

  getIdle(address: number): readonly Socket[] {
    return this.agent.freeSockets[this.getName(address)] ?? [];
  }

  countBusy(address: number): number {
    return this.agent.sockets[this.getName(address)]?.length ?? 0;
  }

  countAtEndpoints(): number {
    return this.stubs.reduce((sum, stub) => sum + stub.connections, 0);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.agent.destroy();
    await waitFor('all connections are closed', async () => {
      await setImmediate();
      return this.countAtEndpoints() === 0;
    });
    await Promise.all(this.open.map(({attempt}) => attempt.result));
    expect(Object.keys(this.agent.sockets)).toEqual([]);
    expect(Object.keys(this.agent.freeSockets)).toEqual([]);
    expect(Object.keys(this.agent.requests)).toEqual([]);
  }

  private startAttempt(stub: EndpointStub, id: string): Attempt {
    const {host, port} = this.getTarget(this.stubs.indexOf(stub));
    return sendAttempt(
      {
        host,
        port,
        method: 'POST',
        path: '/',
        headers: {
          host: HOST,
          [NAMES.requestId]: id,
          [NAMES.expectedEndpoint]: stub.id,
          'content-length': 0,
        },
        requestId: id,
        timeoutMs: 30_000,
        connectTimeoutMs: 5_000,
      },
      {
        agent: this.agent,
        timers: this.timers,
        responseBuffers: new ResponseBuffers(Infinity),
        discardedBuffers: new DiscardedBuffers(Infinity, () => {}),
        names: NAMES,
      },
    );
  }

  private getTarget(address: number): {host: string; port: number} {
    const [host = '', port] = this.getStub(address).address.split(':');
    return {host, port: Number(port)};
  }

  private getName(address: number): string {
    return this.agent.getName(this.getTarget(address));
  }

  private addCarried(socket: Socket, id: string): void {
    const carried = this.carried.get(socket) ?? new Set();
    this.carried.set(socket, carried.add(id));
  }
}

/** Waits until the pool and the endpoints have the connections of the model. */
async function expectSameState(
  model: PoolModel,
  pool: PoolUnderTest,
): Promise<void> {
  await waitFor('the pool is as the model', async () => {
    await setImmediate();
    return (
      pool.countAtEndpoints() === model.connections &&
      ADDRESSES.every(address => isSameAt(address, model, pool))
    );
  });
}

function isSameAt(
  address: number,
  model: PoolModel,
  pool: PoolUnderTest,
): boolean {
  const busy = model.open.filter(each => each.address === address);
  return (
    pool.getIdle(address).length === model.idle[address]?.length &&
    pool.countBusy(address) === busy.length
  );
}

type PoolCommand = fc.AsyncCommand<PoolModel, PoolUnderTest>;

class SendCommand implements PoolCommand {
  constructor(
    private readonly address: number,
    private readonly id: string,
  ) {}

  check({open}: Readonly<PoolModel>): boolean {
    return open.length < MAX_OPEN;
  }

  async run(model: PoolModel, pool: PoolUnderTest): Promise<void> {
    const {connection, carried} = model.send(this.address, this.id);
    const attempt = await pool.send(this.address, this.id);
    expect(attempt.getConnectionUse()).toEqual({
      connection,
      connectionUses: carried.length,
      idUses: 1,
    });
    await expectSameState(model, pool);
  }

  toString(): string {
    return `send ${this.id} to ${this.address}`;
  }
}

class EndCommand implements PoolCommand {
  constructor(
    private readonly choice: number,
    private readonly end: RequestEnd,
  ) {}

  check({open}: Readonly<PoolModel>): boolean {
    return open.length > 0;
  }

  async run(model: PoolModel, pool: PoolUnderTest): Promise<void> {
    const index = this.choice % model.open.length;
    const address = model.open[index]?.address ?? 0;
    model.end(index, this.end);
    await pool.end(index, this.end, address);
    await expectSameState(model, pool);
  }

  toString(): string {
    return `end request ${this.choice}: ${this.end}`;
  }
}

class EndIdleCommand implements PoolCommand {
  constructor(
    private readonly address: number,
    private readonly choice: number,
    private readonly end: IdleEnd,
  ) {}

  check({idle}: Readonly<PoolModel>): boolean {
    return (idle[this.address]?.length ?? 0) > 0;
  }

  async run(model: PoolModel, pool: PoolUnderTest): Promise<void> {
    const idle = model.idle[this.address] ?? [];
    const index = this.choice % idle.length;
    idle.splice(index, 1);
    pool.endIdle(this.address, index, this.end);
    await expectSameState(model, pool);
  }

  toString(): string {
    return `end idle ${this.choice} of ${this.address}: ${this.end}`;
  }
}

describe('EndpointAgent beside a plain model', () => {
  const stubs = ADDRESSES.map(address => new EndpointStub(`e${address}`));

  beforeAll(() => Promise.all(stubs.map(stub => stub.start())));

  afterAll(async () => {
    for (const stub of stubs) await stub[Symbol.asyncDispose]();
  });

  const addresses = fc.constantFrom(...ADDRESSES);
  const choices = fc.nat(MAX_OPEN);
  const sends = fc
    .tuple(addresses, fc.constantFrom(...IDS))
    .map(([address, id]) => new SendCommand(address, id));
  const ends = fc
    .tuple(
      choices,
      fc.oneof(
        {weight: 6, arbitrary: fc.constant(RequestEnd.Refused)},
        {weight: 6, arbitrary: fc.constant(RequestEnd.Answered)},
        fc.constantFrom(RequestEnd.Closed, RequestEnd.Broken),
      ),
    )
    .map(([choice, end]) => new EndCommand(choice, end));
  const idleEnds = fc
    .tuple(addresses, choices, fc.constantFrom(...Object.values(IdleEnd)))
    .map(([address, choice, end]) => new EndIdleCommand(address, choice, end));

  // Guards against an id that goes out twice on a connection, a connection or record that is left,
  // and a request that waits while it could use a connection.
  it('chooses, keeps and closes connections as the model does', async () => {
    const commands = fc.commands([sends, sends, sends, ends, ends, idleEnds], {
      maxCommands: MAX_COMMANDS,
      size: 'max',
    });
    await fc.assert(
      fc.asyncProperty(commands, async each => {
        await using pool = new PoolUnderTest(stubs);
        await fc.asyncModelRun(
          () => ({model: new PoolModel(), real: pool}),
          each,
        );
      }),
      {seed: SEED, numRuns: RUNS, endOnFailure: true},
    );
  });
});
