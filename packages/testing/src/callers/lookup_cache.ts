import {fetchText} from '../http/index.js';
import type {SeededRandom} from '../random/index.js';

/** Probability that an expired lookup answer is used again. */
const STALE_USE_PROBABILITY = 0.3;
const LOOKUP_TIMEOUT_MS = 1_500;

/** Describes an instance in a lookup answer. */
export interface LookupTarget {
  id: string;
  url: string;
  /** Absent while the answering instance has not received a message from this one. */
  keyPrefix?: string;
}

interface LookupAnswer {
  ttlSeconds: number;
  instances: LookupTarget[];
}

/** Configures the lookups of one caller. */
export interface LookupCacheOptions {
  localAddress: string;
  team: string;
  /** Public addresses of instances to ask. */
  addresses: string[];
  random: SeededRandom;
}

/** Caches lookup answers and sometimes uses them past their TTL, as real callers do. */
export class LookupCache {
  private readonly answers = new Map<
    string,
    {expiresAt: number; instances: LookupTarget[]}
  >();

  constructor(private readonly options: LookupCacheOptions) {}

  /**
   * Gets the instances for a service.
   * @param service - Name of the service.
   * @returns The instances, best first; a stale answer or an empty list if no instance answers.
   */
  async get(service: string): Promise<LookupTarget[]> {
    const {random, addresses} = this.options;
    const cached = this.answers.get(service);
    if (
      cached &&
      (Date.now() < cached.expiresAt || random.chance(STALE_USE_PROBABILITY))
    ) {
      return cached.instances;
    }
    for (const address of random.sample(addresses, 3)) {
      const answer = await this.fetchAnswer(address, service);
      if (!answer || answer.instances.length === 0) continue;
      const expiresAt = Date.now() + answer.ttlSeconds * 1_000;
      this.answers.set(service, {expiresAt, instances: answer.instances});
      return answer.instances;
    }
    return cached?.instances ?? [];
  }

  private async fetchAnswer(
    address: string,
    service: string,
  ): Promise<LookupAnswer | undefined> {
    const {team, localAddress} = this.options;
    const answer = await fetchText(
      `http://${address}/v1/lookup?team=${team}&service=${service}`,
      {localAddress, timeoutMs: LOOKUP_TIMEOUT_MS},
    );
    if (answer?.status !== 200) return undefined;
    return JSON.parse(answer.text) as LookupAnswer;
  }
}
