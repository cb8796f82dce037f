import type {RunRecord} from './records.js';

/**
 * Minimum duration of a reported excess. The close of one connection and the opening of the next
 * may be observed in either order, so that shorter excesses need not be real.
 */
const MIN_EXCESS_MS = 20;

/** Period in which an endpoint ran more requests than it has slots. */
export interface SlotExcess {
  endpoint: string;
  startMs: number;
  endMs: number;
  /** Maximum number of simultaneous runs. */
  peak: number;
}

/**
 * Finds the periods in which an endpoint ran more requests than it has slots.
 * @param runs - Runs of one endpoint, in any order.
 * @param slots - Slots of the endpoint.
 * @returns Excesses of at least 20 ms.
 */
export function findSlotExcesses(
  runs: RunRecord[],
  slots: number,
): SlotExcess[] {
  const changes = runs
    .flatMap(({startMs, endMs}) => [
      {atMs: startMs, delta: 1},
      {atMs: endMs, delta: -1},
    ])
    .sort((a, b) => a.atMs - b.atMs || a.delta - b.delta);
  const excesses: SlotExcess[] = [];
  let count = 0;
  let open: SlotExcess | undefined;
  for (const {atMs, delta} of changes) {
    count += delta;
    if (count > slots) {
      open ??= {
        endpoint: runs[0]?.endpoint ?? '',
        startMs: atMs,
        endMs: atMs,
        peak: count,
      };
      open.peak = Math.max(open.peak, count);
    } else if (open) {
      if (atMs - open.startMs >= MIN_EXCESS_MS) {
        excesses.push({...open, endMs: atMs});
      }
      open = undefined;
    }
  }
  return excesses;
}
