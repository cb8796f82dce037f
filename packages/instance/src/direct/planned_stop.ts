import type {Server} from 'node:http';
import net, {type Socket} from 'node:net';
import type {EventLogger, TimerService} from '@primrosestage/common';

/** Part of the time of a stop after which no new connections are accepted. */
const ACCEPT_PART = 0.5;
/** Time kept for the end of the process, in milliseconds. */
const EXIT_RESERVE_MS = 500;
const CHECK_MS = 25;
/**
 * Time without a request after which a connection is closed: one that was opened or answered
 * just now may carry a request that is on its way.
 */
const QUIET_MS = 300;

interface ConnectionUse {
  openRequests: number;
  usedAt: number;
}

/** Tracks the open connections of a server and whether a request is open on each. */
export class ConnectionTracker {
  private readonly open = new Map<Socket, ConnectionUse>();
  private isStopping = false;

  /**
   * Watches a server.
   * @param server - The server.
   * @param timers - The clock.
   */
  constructor(
    private readonly server: Server,
    private readonly timers: TimerService,
  ) {
    server.on('connection', (socket: Socket) => {
      this.open.set(socket, {openRequests: 0, usedAt: timers.now()});
      socket.once('close', () => this.open.delete(socket));
    });
    server.prependListener('request', (req, res) => {
      const use = this.open.get(req.socket);
      if (!use) return;
      use.openRequests++;
      if (this.isStopping) res.setHeader('connection', 'close');
      res.once('close', () => {
        use.openRequests--;
        use.usedAt = timers.now();
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

  /** Stops accepting connections; open ones stay. */
  stopAccepting(): void {
    // The close of http.Server would end idle connections at once.
    net.Server.prototype.close.call(this.server);
  }

  /**
   * Closes quiet connections. They are destroyed, not ended: a request that arrives after the end
   * would still be read, and its answer could not be sent.
   * @returns Whether no connection is left.
   */
  closeQuiet(): boolean {
    const quietSince = this.timers.now() - QUIET_MS;
    for (const [socket, {openRequests, usedAt}] of this.open) {
      if (openRequests === 0 && usedAt <= quietSince) socket.destroy();
    }
    return this.open.size === 0;
  }
}

/** Configures a planned stop. */
export interface PlannedStopOptions {
  tracker: ConnectionTracker;
  timers: TimerService;
  logger: EventLogger;
  stopTimeoutMs: number;
  /** Counts the requests that are not answered to the end. */
  getOpenRequests: () => number;
  /** Tells the others that this instance no longer serves. */
  announce: () => Promise<void>;
}

/**
 * Stops serving without cutting a request: callers that hold an old answer of the directory are
 * served for half of the time, then connections close as their requests end.
 * @param options - What is stopped and how long it may take.
 */
export async function runPlannedStop(
  options: PlannedStopOptions,
): Promise<void> {
  const {tracker, timers, logger, stopTimeoutMs} = options;
  const startedAt = timers.now();
  logger.info('stop started', {
    openRequests: options.getOpenRequests(),
    connections: tracker.size,
    stopTimeoutMs,
  });
  tracker.startStopping();
  await options.announce();
  await timers.sleep(
    Math.max(0, startedAt + stopTimeoutMs * ACCEPT_PART - timers.now()),
  );
  tracker.stopAccepting();
  const endAt = startedAt + stopTimeoutMs - EXIT_RESERVE_MS;
  while (timers.now() < endAt) {
    if (tracker.closeQuiet() && options.getOpenRequests() === 0) break;
    await timers.sleep(CHECK_MS);
  }
  logger.info('stop done', {
    openRequests: options.getOpenRequests(),
    connections: tracker.size,
    ms: Math.round(timers.now() - startedAt),
  });
}
