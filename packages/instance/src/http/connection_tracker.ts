import type {Server, ServerResponse} from 'node:http';
import net, {type Socket} from 'node:net';
import type {Duplex} from 'node:stream';
import type {TimerService} from '@primrosestage/common';

/**
 * Time without a new connection before listening stops, in milliseconds. On close, the kernel
 * resets connections that it has established but that were not accepted yet; the wait makes it
 * unlikely that there are any.
 */
const ACCEPT_IDLE_MS = 300;
/** Interval at which the connections are checked, in milliseconds. */
const POLL_INTERVAL_MS = 25;

/** Configures the tracking of connections. */
export interface ConnectionTrackerOptions {
  timers: TimerService;
  /**
   * Idle time after which a connection is closed while stopping, in milliseconds. On a connection
   * that was opened or used more recently, a request may be in transit.
   */
  closeIdleMs: number;
  /** Timeout in the `keep-alive` header of answers, in seconds; no header if undefined. */
  keepAliveSeconds?: number;
  /** Closes an idle connection, whose caller may still be reading its last response. */
  close: (connection: Duplex) => void;
}

interface ConnectionUse {
  openRequests: number;
  lastUsedAt: number;
  /** The response that is to close the connection while stopping. */
  closing?: ServerResponse;
}

/** Tracks the open connections of a server and closes them without interrupting requests. */
export class ConnectionTracker {
  private readonly open = new Map<Duplex, ConnectionUse>();
  private isDraining = false;
  private acceptedAt = -Infinity;

  /**
   * Starts tracking the connections of a server.
   * @param server - The server.
   * @param options - Clock, idle time and keep-alive timeout.
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
      if (this.isDraining) closeWith(res, use);
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

  /**
   * Returns whether a request on a connection awaits its response.
   * @param connection - The connection.
   */
  isInUse(connection: Duplex): boolean {
    return (this.open.get(connection)?.openRequests ?? 0) > 0;
  }

  /** Closes each connection with the response to the last request on it, if any arrives. */
  startDraining(): void {
    this.isDraining = true;
  }

  /**
   * Stops listening once no connection has arrived for a while; open connections stay open.
   * @param timeoutMs - Maximum wait in milliseconds, in case callers continue to connect.
   */
  async stopAccepting(timeoutMs: number): Promise<void> {
    const {timers} = this.options;
    const startedAt = timers.now();
    const isAcceptIdle = () =>
      timers.now() - Math.max(this.acceptedAt, startedAt) >= ACCEPT_IDLE_MS;
    while (!isAcceptIdle() && timers.now() - startedAt < timeoutMs) {
      await timers.sleep(POLL_INTERVAL_MS);
    }
    // An immediate runs after the event loop has accepted the connections in the backlog.
    await new Promise(resolve => setImmediate(resolve));
    // http.Server.close() would close idle connections immediately.
    net.Server.prototype.close.call(this.server);
  }

  /**
   * Closes each connection once it has been idle long enough.
   * @param timeoutMs - Maximum wait in milliseconds.
   * @param isDone - Returns whether no other work is open; true by default.
   */
  async closeWhenIdle(timeoutMs: number, isDone = () => true): Promise<void> {
    const {timers} = this.options;
    const endAt = timers.now() + timeoutMs;
    while (timers.now() < endAt) {
      if (this.closeIdleNow() && isDone()) return;
      await timers.sleep(POLL_INTERVAL_MS);
    }
  }

  private closeIdleNow(): boolean {
    const idleBefore = this.options.timers.now() - this.options.closeIdleMs;
    for (const [socket, {openRequests, lastUsedAt: usedAt}] of this.open) {
      if (openRequests === 0 && usedAt <= idleBefore)
        this.options.close(socket);
    }
    return this.open.size === 0;
  }
}

/**
 * Makes a response close its connection in place of the one before it, whose caller has pipelined
 * this request: a response that closes the connection takes those behind it from the caller.
 */
function closeWith(res: ServerResponse, use: ConnectionUse): void {
  const {closing} = use;
  if (closing && !closing.headersSent) closing.shouldKeepAlive = true;
  if (!res.shouldKeepAlive) return;
  res.shouldKeepAlive = false;
  use.closing = res;
}
