/** Time after its last request for which an object counts as cached, in milliseconds. */
const WARM_MS = 20_000;
/** Most objects remembered per endpoint. */
const MAX_OBJECTS_PER_ENDPOINT = 200;

/** Remembers which objects one endpoint has handled lately. */
export class WarmObjects {
  private readonly handledAt = new Map<string, number>();

  /**
   * Notes that the endpoint has handled an object.
   * @param object - The object.
   * @param now - Monotonic time in milliseconds.
   */
  add(object: string, now: number): void {
    this.handledAt.delete(object);
    this.handledAt.set(object, now);
    if (this.handledAt.size <= MAX_OBJECTS_PER_ENDPOINT) return;
    const [oldest] = this.handledAt.keys();
    if (oldest !== undefined) this.handledAt.delete(oldest);
  }

  /**
   * Says whether an object is likely to be cached.
   * @param object - The object.
   * @param now - Monotonic time in milliseconds.
   */
  has(object: string, now: number): boolean {
    return now - (this.handledAt.get(object) ?? -Infinity) < WARM_MS;
  }
}
