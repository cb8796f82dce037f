import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {getErrorMessage} from '@primrosestage/common';
import {formatTime} from '../history/index.js';
import {BACKEND_FAULTS} from './backend_faults.js';
import {CONTROL_FAULTS} from './control_faults.js';
import type {FaultContext, FaultKind} from './fault_context.js';
import {NETWORK_FAULTS} from './network_faults.js';
import {PROCESS_FAULTS} from './process_faults.js';

/** Time without faults after each step, in which recovery is measured. */
const RECOVERY_MS = 7_000;
/** Probability that two faults are active at once. */
const PAIR_PROBABILITY = 0.4;

/** All kinds of faults. */
export const FAULT_KINDS: readonly FaultKind[] = [
  ...PROCESS_FAULTS,
  ...NETWORK_FAULTS,
  ...BACKEND_FAULTS,
  ...CONTROL_FAULTS,
];

/** Records one fault; times are wall-clock milliseconds. */
export interface FaultRecord {
  name: string;
  mayInterruptRequests: boolean;
  detail: string;
  startMs: number;
  endMs: number;
}

/**
 * Runs faults, one or two at a time, in an order that the seed determines.
 * @param context - What the faults act on.
 * @param names - Kinds to draw from; all if empty.
 * @param endMs - Wall-clock time after which no fault begins.
 * @param faults - Receives the records, including those of faults that are still active.
 */
export async function runFaults(
  context: FaultContext,
  names: string[],
  endMs: number,
  faults: FaultRecord[],
): Promise<void> {
  const kinds = FAULT_KINDS.filter(
    ({name}) => names.length === 0 || names.includes(name),
  );
  let undrawnKinds: FaultKind[] = [];
  const drawKind = () => {
    // Each kind is drawn once before any is drawn again.
    if (undrawnKinds.length === 0)
      undrawnKinds = context.random.sample(kinds, kinds.length);
    return undrawnKinds.pop() as FaultKind;
  };
  while (Date.now() < endMs) {
    const running = [runFault(context, drawKind(), faults)];
    if (context.random.chance(PAIR_PROBABILITY)) {
      await sleep(context.drawMs(0, 4));
      running.push(runFault(context, drawKind(), faults));
    }
    await Promise.all(running);
    await sleep(RECOVERY_MS);
  }
}

async function runFault(
  context: FaultContext,
  kind: FaultKind,
  faults: FaultRecord[],
): Promise<void> {
  const {name, mayInterruptRequests} = kind;
  const record: FaultRecord = {
    name,
    mayInterruptRequests,
    detail: '',
    startMs: Date.now(),
    endMs: Infinity,
  };
  faults.push(record);
  try {
    const active = await kind.start(context);
    record.detail = active.detail;
    await sleep(active.holdMs);
    await active.end();
  } catch (err) {
    record.detail += ` failed: ${getErrorMessage(err)}`;
  }
  record.endMs = Date.now();
  process.stdout.write(
    `${formatTime(record.startMs)} to ${formatTime(record.endMs)} ${name}: ${record.detail}\n`,
  );
}
