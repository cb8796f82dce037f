import type {Priority, TimerService} from '@primrosestage/common';
import {type InstanceInfo, LinkUse} from '@primrosestage/steering';
import type {LinkPacer} from '../relay/index.js';
import type {LinkMeter} from './link_meter.js';

/** Configures the pacing of transfers. */
export interface LinkPacerOptions {
  links: LinkMeter;
  self: InstanceInfo;
  timers: TimerService;
}

/** Shortest wait for link capacity, so that an almost empty bucket does not cause a busy loop. */
const MIN_WAIT_MS = 1;

/**
 * Creates the function that delays bytes until this instance's part of a link has room for them.
 * @param options - Meter, this instance and clock.
 * @returns The function; within the region of this instance nothing waits.
 */
export function createLinkPacer(options: LinkPacerOptions): LinkPacer {
  const {links, self, timers} = options;

  async function waitForBits(
    region: string,
    use: LinkUse,
    bits: number,
    priority: Priority,
  ): Promise<void> {
    let leftBits = bits;
    for (;;) {
      leftBits -= links.takeBits(region, use, leftBits, priority, timers.now());
      if (leftBits <= 0) return;
      const waitMs = links.getWaitMs(
        region,
        use,
        leftBits,
        priority,
        timers.now(),
      );
      await timers.sleep(Math.max(MIN_WAIT_MS, waitMs));
    }
  }

  return ({fromRegion, toRegion, priority, bytes}) => {
    if (fromRegion === toRegion) return undefined;
    const isRequest = fromRegion === self.region;
    const region = isRequest ? toRegion : fromRegion;
    const use = isRequest ? LinkUse.Request : LinkUse.Response;
    const bits = bytes * 8;
    const taken = links.takeBits(region, use, bits, priority, timers.now());
    if (taken >= bits) return undefined;
    return waitForBits(region, use, bits - taken, priority);
  };
}
