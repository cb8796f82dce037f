import type {ServerResponse} from 'node:http';

/** Counts the requests that this instance has not answered to the end. */
export class RequestTracker {
  private readonly active = new Set<ServerResponse>();
  private readonly idleWaiters = new Set<() => void>();
  private isDraining = false;

  /** Requests that are open on any listener. */
  get activeCount(): number {
    return this.active.size;
  }

  /**
   * Counts a request until its response is closed.
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

  /** Asks callers with every further answer to open their next connection elsewhere. */
  startLeaving(): void {
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
