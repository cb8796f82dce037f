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

/** Stands in for a caller: looks instances up, sends requests and tries again. */
export class Caller {
  private readonly agent = new http.Agent({keepAlive: true, timeout: 20_000});
  private readonly lookupCache: LookupCache;

  constructor(private readonly options: CallerOptions) {
    this.lookupCache = new LookupCache(options);
  }

  /**
   * Sends one request with its retries.
   * @param service - The service; bookings and orders are not idempotent and carry a key.
   * @param requestId - Unique id of the request.
   */
  async sendRequest(service: Service, requestId: string): Promise<void> {
    const {random} = this.options;
    const isIdempotent = service.priority !== Priority.Normal;
    const isBulk = service.priority === Priority.Bulk;
    const sizeBytes = isBulk ? random.int(16, 1024) * 1024 : 0;
    const readPauseMs = isBulk && random.chance(0.2) ? random.int(1, 20) : 0;
    // Without any lookup answer the attempts go to a closed port and are counted.
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
        // Any instance passes a request on to the home of its key.
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
      // After an attempt that certainly did not run a new key may be used; an older
      // key stays in use half of the time, because callers do that too.
      if (isKnownNotRun && attemptsWithKey === 1 && random.chance(0.5))
        key = '';
      await sleep(random.int(20, 60) * 2 ** attemptNumber);
    }
  }
}
