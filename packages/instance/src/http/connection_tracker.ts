import type {Server} from 'node:http';
import net, {type Socket} from 'node:net';
import type {TimerService} from '@primrosestage/common';

/**
 * Time without a new connection after which listening stops: the kernel resets connections that it
 * has opened and that were not accepted, so that none may be on its way.
 */
const ACCEPT_IDLE_MS = 300;
/** Time between two looks at the connections, in milliseconds. */
const POLL_INTERVAL_MS = 25;

/** Configures how connections are tracked. */
export interface ConnectionTrackerOptions {
  timers: TimerService;
  /**
   * Time without a request after which a connection is closed, in milliseconds: one that was
   * opened or answered just now may carry a request that is on its way.
   */
  quietMs: number;
  /** Idle time that callers are told to keep a connection for; undefined for no hint. */
  keepAliveSeconds?: number;
}

interface ConnectionUse {
  openRequests: number;
  lastUsedAt: number;
}

/** Tracks the open connections of a server and closes them without cutting a request. */
export class ConnectionTracker {
  private readonly open = new Map<Socket, ConnectionUse>();
  private isStopping = false;
  private acceptedAt = -Infinity;

  /**
   * Watches a server.
   * @param server - The server.
   * @param options - Clock and quiet time.
   */
  constructor(
    private readonly server: Server,
    private readonly options: ConnectionTrackerOptions,
  ) {
    const {timers, keepAliveSeconds} = options;
    server.on('connection', (socket: Socket) => {
      this.acceptedAt = timers.now();
      this.open.set(socket, {openRequests: 0, lastUsedAt: timers.now()});
      socket.once('close', () => this.open.delete(socket));
    });
    server.prependListener('request', (req, res) => {
      const use = this.open.get(req.socket);
      if (!use) return;
      use.openRequests++;
      if (this.isStopping) res.setHeader('connection', 'close');
      else if (keepAliveSeconds !== undefined) {
        res.setHeader('keep-alive', `timeout=${keepAliveSeconds}`);
      }
      res.once('close', () => {
        use.openRequests--;
        use.lastUsedAt = timers.now();
      });
    });
  }

  /** The number of open connections. */
  get size(): number {
    return this.open.size;
  }

  /** Answers requests with a note that the connection closes. */
  startStopping(): void {
    this.isStopping = true;
  }

  /**
   * Stops accepting connections once none has arrived for a while; open ones stay.
   * @param timeoutMs - Longest wait, where callers do not stop connecting, in milliseconds.
   */
  async stopAccepting(timeoutMs: number): Promise<void> {
    const {timers} = this.options;
    const startedAt = timers.now();
    const isAcceptIdle = () =>
      timers.now() - Math.max(this.acceptedAt, startedAt) >= ACCEPT_IDLE_MS;
    while (!isAcceptIdle() && timers.now() - startedAt < timeoutMs) {
      await timers.sleep(POLL_INTERVAL_MS);
    }
    // An immediate runs right after the event loop has accepted what waits.
    await new Promise(resolve => setImmediate(resolve));
    // The close of http.Server would end idle connections at once.
    net.Server.prototype.close.call(this.server);
  }

  /**
   * Closes each connection once it has been quiet. They are destroyed, not ended: a request that
   * arrives after the end would still be read, and its answer could not be sent.
   * @param timeoutMs - Longest wait in milliseconds.
   * @param isDone - Says whether nothing else is open; true by default.
   */
  async closeQuietly(timeoutMs: number, isDone = () => true): Promise<void> {
    const {timers} = this.options;
    const endAt = timers.now() + timeoutMs;
    while (timers.now() < endAt) {
      if (this.closeIdleNow() && isDone()) return;
      await timers.sleep(POLL_INTERVAL_MS);
    }
  }

  private closeIdleNow(): boolean {
    const idleBefore = this.options.timers.now() - this.options.quietMs;
    for (const [socket, {openRequests, lastUsedAt: usedAt}] of this.open) {
      if (openRequests === 0 && usedAt <= idleBefore) socket.destroy();
    }
    return this.open.size === 0;
  }
}
