import type http from 'node:http';
import {
  type ConnectFunction,
  createAgent,
  getErrorMessage,
  startHttpRequest,
  type TimerService,
} from '@primrosestage/common';
import PQueue from 'p-queue';
import {z} from 'zod';
import {
  InstanceState,
  type ListedInstance,
  type Store,
  type StoreEntry,
  type WatchOptions,
  type WatchResult,
} from './store.js';
import {StoreError, StoreFailure} from './store_error.js';

/** Maximum number of concurrent calls besides watches; an instance needs one or two at a time. */
const MAX_CONCURRENT_CALLS = 4;
/** Time beyond the timeout of a watch after which the client gives up on a response. */
const WATCH_GRACE_MS = 1_000;

const ENTRY_SCHEMA = z.object({value: z.unknown(), version: z.number()});
const VERSION_SCHEMA = z.object({version: z.number()});
const FENCE_SCHEMA = z.object({fence: z.number()});
const WATCH_SCHEMA = z.object({
  entries: z.array(
    z.object({key: z.string(), value: z.unknown(), version: z.number()}),
  ),
  version: z.number(),
});
const INSTANCES_SCHEMA = z.object({
  instances: z.array(
    z.object({
      id: z.string(),
      zone: z.string(),
      region: z.string(),
      internal: z.string(),
      public: z.string(),
      state: z.enum(InstanceState),
    }),
  ),
});

/** Configures the store client. */
export interface HttpStoreOptions {
  /** `host:port` of the store. */
  address: string;
  /** Timeout of a call in milliseconds; a watch has its own. */
  timeoutMs: number;
  connect: ConnectFunction;
  timers: TimerService;
}

interface CallOptions {
  method: string;
  path: string;
  body?: unknown;
  timeoutMs: number;
  signal?: AbortSignal;
  /**
   * Pool of kept connections; without one, the call opens a connection of its own. Responses carry
   * no identity, so that a late one on a kept connection could stand for the response to the next
   * call. A late response to a watch only repeats what the watch has delivered.
   */
  agent?: http.Agent;
}

interface StoreResponse {
  status: number;
  text: string;
}

/** Calls the platform's store over HTTP. */
export class HttpStore implements Store, AsyncDisposable {
  private readonly queue = new PQueue({concurrency: MAX_CONCURRENT_CALLS});
  private watchAgent: http.Agent;

  constructor(private readonly options: HttpStoreOptions) {
    this.watchAgent = createAgent(options);
  }

  async get(key: string): Promise<StoreEntry | undefined> {
    const response = await this.callQueued('GET', `/kv/${encodeKey(key)}`);
    if (response.status === 404) return undefined;
    const {value, version} = this.parseResponse(response, ENTRY_SCHEMA);
    return {key, value, version};
  }

  async put(
    key: string,
    value: unknown,
    expectedVersion: number,
  ): Promise<number | undefined> {
    const body = {value, expectedVersion};
    const response = await this.callQueued(
      'PUT',
      `/kv/${encodeKey(key)}`,
      body,
    );
    if (response.status === 409) return undefined;
    return this.parseResponse(response, VERSION_SCHEMA).version;
  }

  async watch(options: WatchOptions): Promise<WatchResult> {
    const {prefix, after, timeoutMs, signal} = options;
    const query = new URLSearchParams({
      prefix,
      after: String(after),
      timeoutMs: String(timeoutMs),
    });
    const response = await this.call({
      method: 'GET',
      path: `/watch?${query.toString()}`,
      timeoutMs: timeoutMs + WATCH_GRACE_MS,
      signal,
      agent: this.watchAgent,
    });
    const {entries, version} = this.parseResponse(response, WATCH_SCHEMA);
    return {
      entries: entries.map(entry => ({...entry, value: entry.value ?? null})),
      version,
    };
  }

  async acquireLease(
    name: string,
    holder: string,
    ttlMs: number,
  ): Promise<number | undefined> {
    const path = `/leases/${encodeKey(name)}`;
    const response = await this.callQueued('PUT', path, {holder, ttlMs});
    if (response.status === 409) return undefined;
    return this.parseResponse(response, FENCE_SCHEMA).fence;
  }

  async listInstances(): Promise<ListedInstance[]> {
    const response = await this.callQueued('GET', '/instances');
    return this.parseResponse(response, INSTANCES_SCHEMA).instances;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.watchAgent.destroy();
  }

  private callQueued(
    method: string,
    path: string,
    body?: unknown,
  ): Promise<StoreResponse> {
    const {timeoutMs} = this.options;
    return this.queue.add(() => this.call({method, path, body, timeoutMs}));
  }

  private call(options: CallOptions): Promise<StoreResponse> {
    const {address, timers, connect} = this.options;
    const colon = address.lastIndexOf(':');
    const host = address.slice(0, colon);
    const port = Number(address.slice(colon + 1));
    const text =
      options.body === undefined ? undefined : JSON.stringify(options.body);
    return new Promise((resolve, reject) => {
      let isConnected = false;
      const req = startHttpRequest({
        host,
        port,
        method: options.method,
        path: options.path,
        agent: options.agent,
        createConnection: options.agent
          ? undefined
          : () => connect({host, port}),
        signal: options.signal,
        headers:
          text === undefined
            ? {}
            : {
                'content-type': 'application/json',
                'content-length': Buffer.byteLength(text),
              },
      });
      const deadline = timers.after(options.timeoutMs, () =>
        req.destroy(
          this.createError(
            StoreFailure.ReplyLost,
            `no answer within ${options.timeoutMs} ms`,
          ),
        ),
      );
      const fail = (err: unknown) => {
        deadline[Symbol.dispose]();
        if (options.agent === this.watchAgent) this.replaceWatchAgent();
        const failure = isConnected
          ? StoreFailure.ReplyLost
          : StoreFailure.NotSent;
        const {method, path} = options;
        reject(
          this.createError(
            failure,
            `${method} ${path}: ${getErrorMessage(err)}`,
            err,
          ),
        );
      };
      req.on('socket', socket => {
        if (!socket.connecting) isConnected = true;
        else socket.once('connect', () => (isConnected = true));
      });
      req.on('error', fail);
      req.on('response', res => {
        const chunks: Buffer[] = [];
        res.on('data', (chunk: Buffer) => chunks.push(chunk));
        res.on('error', fail);
        res.on('end', () => {
          deadline[Symbol.dispose]();
          resolve({
            status: res.statusCode ?? 500,
            text: Buffer.concat(chunks).toString('utf8'),
          });
        });
      });
      req.end(text);
    });
  }

  /**
   * Replaces the connection pool after a failure, because its idle connections may be unresponsive
   * too. Calls in progress on the old pool end by their own timeouts.
   */
  private replaceWatchAgent(): void {
    const oldAgent = this.watchAgent;
    this.watchAgent = createAgent(this.options);
    for (const sockets of Object.values(oldAgent.freeSockets)) {
      for (const socket of sockets ?? []) socket.destroy();
    }
  }

  private parseResponse<S extends z.ZodType>(
    response: StoreResponse,
    schema: S,
  ): z.infer<S> {
    const {status, text} = response;
    if (status >= 400) {
      // A server error may follow a write that took effect; only a client error rules that out.
      throw this.createError(
        status < 500 ? StoreFailure.Refused : StoreFailure.ReplyLost,
        `status ${status}: ${text.slice(0, 200)}`,
      );
    }
    try {
      return schema.parse(JSON.parse(text));
    } catch (err) {
      throw this.createError(
        StoreFailure.ReplyLost,
        `unreadable answer: ${text.slice(0, 200)}`,
        err,
      );
    }
  }

  private createError(
    failure: StoreFailure,
    message: string,
    cause?: unknown,
  ): StoreError {
    return new StoreError(
      {failure, peer: this.options.address, cause},
      `store ${this.options.address}: ${message}`,
    );
  }
}

function encodeKey(key: string): string {
  return key.split('/').map(encodeURIComponent).join('/');
}
