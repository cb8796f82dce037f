import {once} from 'node:events';
import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import {getErrorMessage, RealTimerService} from '@primrosestage/common';
import {type ListedInstance, MemoryStore} from '@primrosestage/control';
import type {SeededRandom} from '../random/index.js';
import {InstanceList} from './instance_list.js';
import {
  NO_STORE_FAULTS,
  type StoreFaults,
  StoreOutage,
} from './store_faults.js';

/** Configures the simulated store. */
export interface StoreServerOptions {
  host: string;
  port: number;
  random: SeededRandom;
  instances: ListedInstance[];
}

interface StoreResponse {
  status: number;
  body: unknown;
}

/** Simulates the platform's store; its content survives an outage. */
export class StoreServer implements AsyncDisposable {
  readonly instanceList: InstanceList;
  /** Number of calls received so far, by method and resource. */
  readonly callCounts: Record<string, number> = {};
  private readonly timers = new RealTimerService();
  private readonly store: MemoryStore;
  private readonly server: http.Server;
  private faults: StoreFaults = {...NO_STORE_FAULTS};

  constructor(private readonly options: StoreServerOptions) {
    this.instanceList = new InstanceList(options.instances);
    this.store = new MemoryStore({
      timers: this.timers,
      getInstances: () => this.instanceList.get(this.faults.listAgeMs),
    });
    this.server = http.createServer(
      (req, res) => void this.handleRequest(req, res),
    );
  }

  /** Starts listening. */
  async start(): Promise<void> {
    this.server.listen(this.options.port, this.options.host, 1024);
    await once(this.server, 'listening');
  }

  /** Replaces all faults with the given ones. */
  setFaults(faults: Partial<StoreFaults>): void {
    this.faults = {...NO_STORE_FAULTS, ...faults};
    if (this.faults.outage === StoreOutage.Refuse)
      this.server.closeAllConnections();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    const closed = new Promise(resolve => this.server.close(resolve));
    this.server.closeAllConnections();
    await closed;
  }

  private async handleRequest(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    const url = new URL(req.url ?? '/', 'http://store');
    const kind = `${req.method} ${url.pathname.split('/')[1]}`;
    this.callCounts[kind] = (this.callCounts[kind] ?? 0) + 1;
    if (this.faults.outage === StoreOutage.Refuse)
      return void req.socket.destroy();
    const chunks: Buffer[] = [];
    for await (const chunk of req) chunks.push(chunk as Buffer);
    const text = Buffer.concat(chunks).toString('utf8');
    if (this.faults.addedLatencyMs > 0) {
      await this.timers.sleep(this.faults.addedLatencyMs);
    }
    if (this.isDown()) return;
    if (
      req.method === 'PUT' &&
      this.options.random.chance(this.faults.delayedWriteFraction)
    ) {
      this.timers.after(this.faults.writeDelayMs, () => {
        void this.execute(req, url, text).catch(() => {});
      });
      req.socket.destroy();
      return;
    }
    let response: StoreResponse;
    try {
      response = await this.execute(req, url, text, res);
    } catch (err) {
      response = {status: 400, body: {message: getErrorMessage(err)}};
    }
    const isLost = this.options.random.chance(this.faults.lostReplyFraction);
    if (req.method === 'PUT' && isLost) {
      req.socket.destroy();
      return;
    }
    // A call during which an outage began, such as a watch, must not be answered.
    if (this.isDown()) return;
    const body = JSON.stringify(response.body);
    res.writeHead(response.status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(body),
    });
    res.end(body);
  }

  private isDown(): boolean {
    return this.faults.outage !== StoreOutage.None;
  }

  private async execute(
    req: IncomingMessage,
    url: URL,
    text: string,
    res?: ServerResponse,
  ): Promise<StoreResponse> {
    const [, resource = '', ...rest] = url.pathname.split('/');
    const key = rest.map(decodeURIComponent).join('/');
    switch (`${req.method} ${resource}`) {
      case 'GET kv': {
        const entry = await this.store.get(key);
        return entry ? {status: 200, body: entry} : {status: 404, body: {}};
      }
      case 'PUT kv': {
        const {value, expectedVersion} = JSON.parse(text);
        const version = await this.store.put(key, value, expectedVersion);
        return version === undefined
          ? {status: 409, body: {}}
          : {status: 200, body: {version}};
      }
      case 'GET watch': {
        const abort = new AbortController();
        res?.once('close', () => abort.abort());
        const body = await this.store.watch({
          prefix: url.searchParams.get('prefix') ?? '',
          after: Number(url.searchParams.get('after') ?? 0),
          timeoutMs: Number(url.searchParams.get('timeoutMs') ?? 0),
          signal: abort.signal,
        });
        return {status: 200, body};
      }
      case 'PUT leases': {
        const {holder, ttlMs} = JSON.parse(text);
        const fence = await this.store.acquireLease(key, holder, ttlMs);
        return fence === undefined
          ? {status: 409, body: {}}
          : {status: 200, body: {fence}};
      }
      case 'GET instances':
        return {
          status: 200,
          body: {instances: await this.store.listInstances()},
        };
      default:
        return {status: 404, body: {message: `no resource ${url.pathname}`}};
    }
  }
}
