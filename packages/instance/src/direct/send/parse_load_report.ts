import type {LoadReport} from '@primrosestage/steering';

const DECIMAL = /^\s*\d+(\.\d+)?\s*$/;

/**
 * Parses the load header of an endpoint: running, waiting, slots and optionally the duration of
 * work in percent of the usual one.
 * @param header - Value of the header.
 * @returns The load without a work factor if the fourth figure is missing or invalid; undefined if
 *     one of the others is.
 */
export function parseLoadReport(
  header: string | undefined,
): LoadReport | undefined {
  if (header === undefined) return undefined;
  const [running, waiting, slots, percent] = header.split(',');
  const [runningCount, waitingCount, slotCount] = [running, waiting, slots].map(
    Number,
  );
  const isValid = [runningCount, waitingCount, slotCount].every(
    value => value !== undefined && Number.isFinite(value) && value >= 0,
  );
  if (!isValid) return undefined;
  return {
    running: runningCount ?? 0,
    waiting: waitingCount ?? 0,
    slots: slotCount ?? 0,
    workFactor: parseWorkFactor(percent),
  };
}

function parseWorkFactor(percent: string | undefined): number | undefined {
  if (percent === undefined || !DECIMAL.test(percent)) return undefined;
  const factor = Number(percent) / 100;
  return factor > 0 && Number.isFinite(factor) ? factor : undefined;
}
