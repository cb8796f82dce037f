/** Most queries that are kept; a query is a team and a service, so that only unknown ones are many. */
const MAX_CACHED_QUERIES = 1024;

/** Holds an answer as bytes, ready to be sent. */
export interface LookupResponse {
  body: Buffer;
  headers: {'content-type': string; 'content-length': number};
}

interface CachedResponses {
  responses: readonly LookupResponse[];
  nextIndex: number;
  builtAtMs: number;
}

/** Keeps serialized answers for a short time and takes the variants of one in turn. */
export class ResponseCache {
  private readonly entries = new Map<string, CachedResponses>();

  /**
   * Creates the cache.
   * @param ttlMs - Time for which an answer is used, in milliseconds.
   */
  constructor(private readonly ttlMs: number) {}

  /**
   * Gets the next variant of an answer.
   * @param key - Team, service and region.
   * @param nowMs - Present time in milliseconds.
   * @param build - Builds the variants, at least one.
   * @returns The answer.
   */
  getResponse(
    key: string,
    nowMs: number,
    build: () => unknown[],
  ): LookupResponse | undefined {
    let entry = this.entries.get(key);
    if (!entry || nowMs - entry.builtAtMs >= this.ttlMs) {
      if (this.entries.size >= MAX_CACHED_QUERIES) this.entries.clear();
      const responses = build().map(serialize);
      entry = {
        responses,
        nextIndex: entry?.nextIndex ?? 0,
        builtAtMs: nowMs,
      };
      this.entries.set(key, entry);
    }
    return entry.responses[entry.nextIndex++ % entry.responses.length];
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
