/** Time for which a notice is kept after the last sign of its endpoint, in milliseconds. */
const NOTICE_MEMORY_MS = 600_000;

/** One process of an endpoint: a restart begins a new one, an address may be used by several. */
export interface EndpointProcess {
  readonly id: string;
  /** Time of its start in milliseconds since the Unix epoch. */
  readonly bornAt: number;
}

/** What an endpoint states of itself in one of its responses. */
export interface EndpointNotice {
  /** Whether it leaves and wants no new requests. */
  readonly isLeaving: boolean;
  /** Time for which it wants no requests from this instance, in milliseconds. */
  readonly waitMs?: number;
}

/** What changed with a notice. */
export enum NoticeChange {
  Leaving = 'leaving',
  Waiting = 'waiting',
}

interface NoticeState {
  isLeaving: boolean;
  waitUntil: number;
  observedAt: number;
}

/**
 * Holds what endpoints stated in their responses to this instance. A notice holds for the process of
 * the endpoint that stated it, whatever its entry in the registry says. A response without one ends
 * nothing.
 */
export class EndpointNotices {
  private readonly states = new Map<string, NoticeState>();

  /**
   * Records a notice.
   * @param process - The process that stated it.
   * @param notice - What it stated.
   * @param now - Monotonic time in milliseconds.
   * @returns What is new.
   */
  observe(
    process: EndpointProcess,
    {isLeaving, waitMs}: EndpointNotice,
    now: number,
  ): NoticeChange[] {
    const waitUntil = waitMs === undefined ? -Infinity : now + waitMs;
    if (!isLeaving && waitUntil <= now) return [];
    const state = this.states.get(getKey(process)) ?? {
      isLeaving: false,
      waitUntil: -Infinity,
      observedAt: now,
    };
    const changes: NoticeChange[] = [];
    if (isLeaving && !state.isLeaving) changes.push(NoticeChange.Leaving);
    if (waitUntil > Math.max(now, state.waitUntil)) {
      changes.push(NoticeChange.Waiting);
    }
    this.states.set(getKey(process), {
      isLeaving: isLeaving || state.isLeaving,
      // A shorter wait does not end a longer one.
      waitUntil: Math.max(waitUntil, state.waitUntil),
      observedAt: now,
    });
    return changes;
  }

  /**
   * Returns for how long an endpoint wants no requests from this instance.
   * @param process - The process of the endpoint.
   * @param now - Monotonic time in milliseconds.
   * @returns Milliseconds; Infinity if it leaves, 0 if it takes requests.
   */
  getWaitMs(process: EndpointProcess, now: number): number {
    if (this.states.size === 0) return 0;
    const state = this.states.get(getKey(process));
    if (!state) return 0;
    return state.isLeaving ? Infinity : Math.max(0, state.waitUntil - now);
  }

  /**
   * Counts the endpoints that leave or wait.
   * @param now - Monotonic time in milliseconds.
   */
  count(now: number): Record<NoticeChange, number> {
    const states = [...this.states.values()];
    return {
      [NoticeChange.Leaving]: states.filter(each => each.isLeaving).length,
      [NoticeChange.Waiting]: states.filter(each => each.waitUntil > now)
        .length,
    };
  }

  /**
   * Forgets notices that are over.
   * @param now - Monotonic time in milliseconds.
   * @param isKnown - Whether the endpoint with an id is still known.
   */
  prune(now: number, isKnown: (process: EndpointProcess) => boolean): void {
    for (const [key, state] of this.states) {
      if (isKnown(parseKey(key))) {
        if (state.isLeaving || state.waitUntil > now) state.observedAt = now;
      }
      const isWaitOver = !state.isLeaving && state.waitUntil <= now;
      if (isWaitOver || now - state.observedAt > NOTICE_MEMORY_MS) {
        this.states.delete(key);
      }
    }
  }
}

function getKey({id, bornAt}: EndpointProcess): string {
  return `${bornAt} ${id}`;
}

function parseKey(key: string): EndpointProcess {
  const space = key.indexOf(' ');
  return {id: key.slice(space + 1), bornAt: Number(key.slice(0, space))};
}
