import type {Server} from 'node:http';
import net, {type Socket} from 'node:net';
import type {EventLogger, TimerService} from '@primrosestage/common';

/** Part of the time of a stop after which no new connections are accepted. */
const ACCEPT_PART = 0.5;
/** Time kept for the end of the process, in milliseconds. */
const EXIT_RESERVE_MS = 500;
const CHECK_MS = 25;

/** Tracks the open connections of a server and whether a request is open on each. */
export class ConnectionTracker {
  private readonly open = new Map<Socket, number>();
  private isStopping = false;

  /**
   * Watches a server.
   * @param server - The server.
   */
  constructor(private readonly server: Server) {
    server.on('connection', (socket: Socket) => {
      this.open.set(socket, 0);
      socket.once('close', () => this.open.delete(socket));
    });
    server.prependListener('request', (req, res) => {
      const {socket} = req;
      this.open.set(socket, (this.open.get(socket) ?? 0) + 1);
      if (this.isStopping) res.setHeader('connection', 'close');
      res.once('close', () => {
        const count = this.open.get(socket);
        if (count !== undefined) this.open.set(socket, count - 1);
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

  /** Closes connections without an open request; returns whether none is left. */
  closeIdle(): boolean {
    for (const [socket, requests] of this.open) {
      if (requests === 0) socket.end();
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
    if (tracker.closeIdle() && options.getOpenRequests() === 0) break;
    await timers.sleep(CHECK_MS);
  }
  logger.info('stop done', {
    openRequests: options.getOpenRequests(),
    connections: tracker.size,
    ms: Math.round(timers.now() - startedAt),
  });
}
