/** Time after its last request for which an object is assumed to be cached, in milliseconds. */
const WARM_MS = 20_000;
/** Maximum number of objects tracked per endpoint. */
const MAX_OBJECTS_PER_ENDPOINT = 200;

/** Tracks which objects one endpoint has recently handled. */
export class WarmObjects {
  private readonly handledAt = new Map<string, number>();

  /**
   * Records that the endpoint has handled an object.
   * @param object - Key of the object.
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
   * Returns whether an object is likely to be cached.
   * @param object - Key of the object.
   * @param now - Monotonic time in milliseconds.
   */
  has(object: string, now: number): boolean {
    return now - (this.handledAt.get(object) ?? -Infinity) < WARM_MS;
  }
}
