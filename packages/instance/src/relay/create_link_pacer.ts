import type {TimerService} from '@primrosestage/common';
import {LinkUse} from '@primrosestage/steering';
import type {LinkMeter} from '../routing/index.js';
import type {LinkPacer, LinkTransfer} from './link_pacer.js';

/** Maximum delay before the budget is checked again, in milliseconds. */
const MAX_POLL_DELAY_MS = 50;

/**
 * Creates a pacer that charges the bits of bodies to the budgets of the links.
 * @param links - Meters the links and holds their budgets.
 * @param region - Region of this instance.
 * @param timers - The clock.
 */
export function createLinkPacer(
  links: LinkMeter,
  region: string,
  timers: TimerService,
): LinkPacer {
  return transfer => {
    const isRequest = transfer.fromRegion === region;
    const peer = isRequest ? transfer.toRegion : transfer.fromRegion;
    const use = isRequest ? LinkUse.Request : LinkUse.Response;
    const take = (bits: number) =>
      links.takeBits(peer, use, bits, transfer.priority, timers.now());
    const bits = transfer.bytes * 8;
    const remainingBits = bits - take(bits);
    return remainingBits > 0
      ? takeRemaining(links, {peer, use, transfer}, remainingBits, take, timers)
      : undefined;
  };
}

async function takeRemaining(
  links: LinkMeter,
  direction: {peer: string; use: LinkUse; transfer: LinkTransfer},
  leftBits: number,
  take: (bits: number) => number,
  timers: TimerService,
): Promise<void> {
  const {priority} = direction.transfer;
  let bits = leftBits;
  while (bits > 0) {
    const waitMs = links.getWaitMs(
      direction.peer,
      direction.use,
      bits,
      priority,
      timers.now(),
    );
    // An amount larger than the token bucket is never available at once, so it is taken in parts.
    await timers.sleep(Math.min(Math.max(1, waitMs), MAX_POLL_DELAY_MS));
    bits -= take(bits);
  }
}
