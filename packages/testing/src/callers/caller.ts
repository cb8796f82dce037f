import {randomUUID} from 'node:crypto';
import http from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {Priority} from '@primrosestage/common';
import type {Service} from '@primrosestage/steering';
import {type AttemptRecord, AttemptResult} from '../history/records.js';
import type {SeededRandom} from '../random/index.js';
import {LookupCache, type LookupTarget} from './lookup_cache.js';
import {sendAttempt} from './send_attempt.js';

const MAX_ATTEMPTS = 4;
const DEADLINE_MS = {urgent: 3_000, normal: 5_000, bulk: 15_000};

/** Configures a caller. */
export interface CallerOptions {
  zone: string;
  localAddress: string;
  team: string;
  /** Public addresses of instances to ask for lookups. */
  addresses: string[];
  random: SeededRandom;
  onAttempt: (attempt: AttemptRecord) => void;
}

/** Simulates a caller: looks up instances, sends requests and retries them. */
export class Caller {
  private readonly agent = new http.Agent({keepAlive: true, timeout: 20_000});
  private readonly lookupCache: LookupCache;

  constructor(private readonly options: CallerOptions) {
    this.lookupCache = new LookupCache(options);
  }

  /**
   * Sends one request with its retries.
   * @param service - Target service; requests to services of normal priority, such as bookings and
   * orders, are not idempotent and have a key.
   * @param requestId - Unique id of the request.
   */
  async sendRequest(service: Service, requestId: string): Promise<void> {
    const {random} = this.options;
    const isIdempotent = service.priority !== Priority.Normal;
    const isBulk = service.priority === Priority.Bulk;
    const sizeBytes = isBulk ? random.int(16, 1024) * 1024 : 0;
    const readPauseMs = isBulk && random.chance(0.2) ? random.int(1, 20) : 0;
    // Without a lookup answer the attempts are sent to a closed port, so that they are counted.
    const targets = [...(await this.lookupCache.get(service.name))];
    if (targets.length === 0) {
      targets.push({id: '', url: 'http://127.0.0.1:1', keyPrefix: 'none.0.0'});
    }
    let key = '';
    let attemptsWithKey = 0;
    for (
      let attemptNumber = 1;
      attemptNumber <= MAX_ATTEMPTS;
      attemptNumber++
    ) {
      const target = targets[
        (attemptNumber - 1) % targets.length
      ] as LookupTarget;
      if (!isIdempotent && !key) {
        // Any instance relays a request to the home instance of its key.
        const home = target.keyPrefix
          ? target
          : targets.find(({keyPrefix}) => keyPrefix);
        key = `${home?.keyPrefix ?? 'none.0.0'}.${randomUUID()}`;
        attemptsWithKey = 0;
      }
      attemptsWithKey++;
      const startMs = Date.now();
      const id = `${requestId}~${attemptNumber}`;
      const outcome = await sendAttempt({
        agent: this.agent,
        localAddress: this.options.localAddress,
        url: target.url,
        id,
        isIdempotent,
        key,
        attempt: attemptsWithKey,
        deadlineMs: DEADLINE_MS[service.priority],
        sizeBytes,
        readPauseMs,
      });
      const isDone =
        outcome.result === AttemptResult.Answered ||
        outcome.result === AttemptResult.Wrong;
      const isLast = isDone || attemptNumber === MAX_ATTEMPTS;
      this.options.onAttempt({
        kind: 'attempt',
        id,
        key,
        service: service.name,
        zone: this.options.zone,
        isIdempotent,
        isLast,
        instance: target.id,
        startMs,
        endMs: Date.now(),
        ...outcome,
      });
      if (isLast) return;
      const isKnownNotRun =
        outcome.result === AttemptResult.Unreachable ||
        outcome.result === AttemptResult.NotRun;
      // A new key may be used after an attempt that is known not to have run, unless an earlier
      // attempt used the key. Half of the time the key is kept, because real callers do both.
      if (isKnownNotRun && attemptsWithKey === 1 && random.chance(0.5))
        key = '';
      await sleep(random.int(20, 60) * 2 ** attemptNumber);
    }
  }
}
