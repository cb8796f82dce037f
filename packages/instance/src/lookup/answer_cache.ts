/** Most queries that are kept; a query is a team and a service, so that only unknown ones are many. */
const MAX_QUERIES = 1024;

/** Holds an answer as bytes, ready to be sent. */
export interface LookupAnswer {
  body: Buffer;
  headers: {'content-type': string; 'content-length': number};
}

interface CachedAnswers {
  answers: readonly LookupAnswer[];
  next: number;
  builtAtMs: number;
}

/** Keeps serialized answers for a short time and takes the variants of one in turn. */
export class AnswerCache {
  private readonly cached = new Map<string, CachedAnswers>();

  /**
   * Creates the cache.
   * @param validMs - Time for which an answer is used, in milliseconds.
   */
  constructor(private readonly validMs: number) {}

  /**
   * Gets the next variant of an answer.
   * @param key - Team, service and region.
   * @param nowMs - Present time in milliseconds.
   * @param build - Builds the variants, at least one.
   * @returns The answer.
   */
  getAnswer(
    key: string,
    nowMs: number,
    build: () => unknown[],
  ): LookupAnswer | undefined {
    let entry = this.cached.get(key);
    if (!entry || nowMs - entry.builtAtMs >= this.validMs) {
      if (this.cached.size >= MAX_QUERIES) this.cached.clear();
      const answers = build().map(serialize);
      entry = {answers, next: entry?.next ?? 0, builtAtMs: nowMs};
      this.cached.set(key, entry);
    }
    return entry.answers[entry.next++ % entry.answers.length];
  }
}

function serialize(value: unknown): LookupAnswer {
  const body = Buffer.from(JSON.stringify(value));
  return {
    body,
    headers: {
      'content-type': 'application/json',
      'content-length': body.length,
    },
  };
}
