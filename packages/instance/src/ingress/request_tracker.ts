import type {ServerResponse} from 'node:http';

/** Tracks the requests whose response is still open. */
export class RequestTracker {
  private readonly active = new Set<ServerResponse>();
  private readonly idleWaiters = new Set<() => void>();
  private isDraining = false;

  /** Number of open requests on all listeners. */
  get activeCount(): number {
    return this.active.size;
  }

  /**
   * Tracks a request until its response is closed.
   * @param res - Its response.
   */
  add(res: ServerResponse): void {
    this.active.add(res);
    if (this.isDraining) res.setHeader('connection', 'close');
    res.once('close', () => {
      this.active.delete(res);
      if (this.active.size > 0) return;
      for (const resolve of this.idleWaiters) resolve();
      this.idleWaiters.clear();
    });
  }

  /** Adds `connection: close` to all further answers, so that callers connect elsewhere. */
  startDraining(): void {
    this.isDraining = true;
    for (const res of this.active) {
      if (!res.headersSent) res.setHeader('connection', 'close');
    }
  }

  /** Waits until no request is open. */
  async waitUntilIdle(): Promise<void> {
    if (this.active.size === 0) return;
    await new Promise<void>(resolve => this.idleWaiters.add(resolve));
  }
}
