import type {ServerResponse} from 'node:http';

/** Counts the requests that this instance has not answered to the end. */
export class RequestTracker {
  private readonly active = new Set<ServerResponse>();
  private readonly waiters = new Set<() => void>();
  private isLeaving = false;

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
    if (this.isLeaving) res.setHeader('connection', 'close');
    res.once('close', () => {
      this.active.delete(res);
      if (this.active.size > 0) return;
      for (const resolve of this.waiters) resolve();
      this.waiters.clear();
    });
  }

  /** Asks callers with every further answer to open their next connection elsewhere. */
  startLeaving(): void {
    this.isLeaving = true;
    for (const res of this.active) {
      if (!res.headersSent) res.setHeader('connection', 'close');
    }
  }

  /** Waits until no request is open. */
  async waitUntilIdle(): Promise<void> {
    if (this.active.size === 0) return;
    await new Promise<void>(resolve => this.waiters.add(resolve));
  }
}
