/** Maximum number of cached queries; only queries for unknown teams or services are numerous. */
const MAX_QUERIES = 1024;

/** A serialized response. */
export interface LookupResponse {
  body: Buffer;
  headers: {'content-type': string; 'content-length': number};
}

interface CachedResponses {
  responses: readonly LookupResponse[];
  next: number;
  builtAtMs: number;
}

/** Caches serialized responses for a short time and returns their variants in round-robin order. */
export class ResponseCache {
  private readonly cached = new Map<string, CachedResponses>();

  /**
   * Creates the cache.
   * @param ttlMs - Time for which a response is reused, in milliseconds.
   */
  constructor(private readonly ttlMs: number) {}

  /**
   * Gets the next variant of a response.
   * @param key - Team, service and region.
   * @param nowMs - Current time in milliseconds.
   * @param build - Builds the variants of the response body, at least one.
   * @returns The response.
   */
  getResponse(
    key: string,
    nowMs: number,
    build: () => unknown[],
  ): LookupResponse | undefined {
    let entry = this.cached.get(key);
    if (!entry || nowMs - entry.builtAtMs >= this.ttlMs) {
      if (this.cached.size >= MAX_QUERIES) this.cached.clear();
      const responses = build().map(serialize);
      entry = {responses, next: entry?.next ?? 0, builtAtMs: nowMs};
      this.cached.set(key, entry);
    }
    return entry.responses[entry.next++ % entry.responses.length];
  }
}

function serialize(value: unknown): LookupResponse {
  const body = Buffer.from(JSON.stringify(value));
  return {
    body,
    headers: {
      'content-type': 'application/json',
      'content-length': body.length,
    },
  };
}
