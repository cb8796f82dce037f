import {findSlotExcesses} from './find_slot_excesses.js';
import {groupBy} from './group_by.js';
import {
  type AttemptRecord,
  AttemptResult,
  getRequestId,
  type RunRecord,
} from './records.js';

/**
 * Time in which a backend server may still receive requests after it first reported that it is
 * draining, or after an operator's drain of it was accepted.
 */
const MAX_WORK_AFTER_DRAIN_MS = 3_000;

/** Kinds of broken guarantees that the records can show. */
export enum FindingKind {
  Wrong = 'wrong',
  Duplicate = 'duplicate',
  InterruptedByPlannedStop = 'cut by planned stop',
  FalseNotRun = 'false not-run',
  OverSlots = 'over slots',
  WorkAfterDrain = 'work after leaving',
}

/** Describes one broken guarantee. */
export interface Finding {
  kind: FindingKind;
  atMs: number;
  detail: string;
}

/** Describes a planned stop of an instance. */
export interface PlannedStop {
  instance: string;
  startMs: number;
  endMs: number;
}

/** Describes a drain of an endpoint by an operator; it begins when the change is accepted. */
export interface EndpointDrain {
  endpoint: string;
  startMs: number;
  endMs: number;
}

/** Data that the checks need in addition to the records. */
export interface CheckContext {
  getSlots: (endpoint: string) => number;
  plannedStops: PlannedStop[];
  drains: EndpointDrain[];
  /** Returns whether a fault that may itself interrupt requests was active between two times. */
  hasOtherFault: (startMs: number, endMs: number) => boolean;
}

/** Summarizes the records. */
export interface HistorySummary {
  requests: number;
  answered: number;
  notRun: number;
  unknown: number;
  /** Attempts, not requests, whose body ended early with a connection error. */
  truncated: number;
  longestWorkAfterDrainMs: number;
  findings: Finding[];
}

/** Collects the attempts of callers and the runs of backend servers, and compares them. */
export class RequestHistory {
  private readonly attempts: AttemptRecord[] = [];
  private readonly runs: RunRecord[] = [];

  /** Adds a record. */
  add(record: AttemptRecord | RunRecord): void {
    if (record.kind === 'run') this.runs.push(record);
    else this.attempts.push(record);
  }

  /** All attempts so far. */
  get allAttempts(): readonly AttemptRecord[] {
    return this.attempts;
  }

  /**
   * Compares the attempts of callers with the runs of backend servers.
   * @param context - Slots, planned stops, drains and faults.
   * @returns Counts and broken guarantees.
   */
  summarize(context: CheckContext): HistorySummary {
    const runsByRequest = groupBy(this.runs, run => getRequestId(run.id));
    const requests = groupBy(this.attempts, a => getRequestId(a.id));
    const workAfterDrain = this.measureWorkAfterDrain(context.drains);
    const counts = {answered: 0, notRun: 0, unknown: 0, truncated: 0};
    const findings: Finding[] = [
      ...this.findDuplicates(runsByRequest),
      ...this.findSlotExcesses(context),
      ...this.findWorkAfterDrain(workAfterDrain),
    ];
    for (const [request, attempts] of requests) {
      const runs = runsByRequest.get(request) ?? [];
      findings.push(...findAttemptViolations(attempts, runs, context));
      const hasResult = (...results: AttemptResult[]) =>
        attempts.some(({result}) => results.includes(result));
      if (hasResult(AttemptResult.Answered)) counts.answered++;
      else if (hasResult(AttemptResult.Wrong)) continue;
      else if (hasResult(AttemptResult.Unknown, AttemptResult.Truncated)) {
        counts.unknown++;
      } else counts.notRun++;
    }
    counts.truncated = this.attempts.filter(
      ({result}) => result === AttemptResult.Truncated,
    ).length;
    return {
      requests: requests.size,
      ...counts,
      longestWorkAfterDrainMs: [...workAfterDrain.values()].reduce(
        (longest, ms) => Math.max(longest, ms),
        0,
      ),
      findings: findings.sort((a, b) => a.atMs - b.atMs),
    };
  }

  private findDuplicates(runsByRequest: Map<string, RunRecord[]>): Finding[] {
    const findings: Finding[] = [];
    for (const [request, runs] of runsByRequest) {
      const last = runs.at(-1);
      if (!last || last.isIdempotent || runs.length < 2) continue;
      findings.push({
        kind: FindingKind.Duplicate,
        atMs: last.startMs,
        detail: `${request} ran ${runs.length} times: ${runs.map(formatRun).join('; ')}`,
      });
    }
    return findings;
  }

  private findSlotExcesses({getSlots}: CheckContext): Finding[] {
    const runsByEndpoint = groupBy(this.runs, run => run.endpoint);
    return [...runsByEndpoint].flatMap(([endpoint, runs]) =>
      findSlotExcesses(runs, getSlots(endpoint)).map(excess => ({
        kind: FindingKind.OverSlots,
        atMs: excess.startMs,
        detail: `${endpoint} ran ${excess.peak} with ${getSlots(endpoint)} slots for ${excess.endMs - excess.startMs} ms`,
      })),
    );
  }

  /**
   * Measures the time from the first drain signal, a report of the backend server or an operator's
   * drain, to each run that began after it.
   */
  private measureWorkAfterDrain(
    drains: EndpointDrain[],
  ): Map<RunRecord, number> {
    const workAfterDrain = new Map<RunRecord, number>();
    for (const run of this.runs) {
      const drain = drains.find(
        ({endpoint, startMs, endMs}) =>
          endpoint === run.endpoint &&
          run.startMs >= startMs &&
          run.startMs < endMs,
      );
      const afterMs = Math.max(
        run.sinceDrainReportMs ?? -1,
        drain ? run.startMs - drain.startMs : -1,
      );
      if (afterMs >= 0) workAfterDrain.set(run, afterMs);
    }
    return workAfterDrain;
  }

  private findWorkAfterDrain(
    workAfterDrain: Map<RunRecord, number>,
  ): Finding[] {
    return [...workAfterDrain]
      .filter(([, afterMs]) => afterMs > MAX_WORK_AFTER_DRAIN_MS)
      .map(([run, afterMs]) => ({
        kind: FindingKind.WorkAfterDrain,
        atMs: run.startMs,
        detail: `${formatRun(run)}, ${afterMs} ms after the first drain signal`,
      }));
  }
}

function findAttemptViolations(
  attempts: AttemptRecord[],
  runs: RunRecord[],
  context: CheckContext,
): Finding[] {
  return attempts.flatMap(attempt => {
    const report = (kind: FindingKind, reason: string): Finding[] => [
      {
        kind,
        atMs: attempt.endMs,
        detail: `${formatAttempt(attempt)}: ${reason}`,
      },
    ];
    switch (attempt.result) {
      case AttemptResult.Wrong:
        return report(FindingKind.Wrong, attempt.detail);
      case AttemptResult.Answered:
        return runs.length > 0
          ? []
          : report(FindingKind.Wrong, 'answered, but no backend server ran it');
      case AttemptResult.NotRun: {
        const run = runs.find(
          r =>
            r.id === attempt.id ||
            (attempt.key &&
              r.key === attempt.key &&
              r.startMs <= attempt.endMs),
        );
        return run ? report(FindingKind.FalseNotRun, formatRun(run)) : [];
      }
      case AttemptResult.Unknown:
      case AttemptResult.Truncated: {
        const isInterrupted =
          context.plannedStops.some(
            stop =>
              [attempt.instance, attempt.peer].includes(stop.instance) &&
              attempt.endMs >= stop.startMs &&
              attempt.startMs <= stop.endMs,
          ) && !context.hasOtherFault(attempt.startMs, attempt.endMs);
        return isInterrupted
          ? report(FindingKind.InterruptedByPlannedStop, attempt.detail)
          : [];
      }
      default:
        return [];
    }
  });
}

function formatRun(run: RunRecord): string {
  return `run of ${run.id} at ${run.endpoint} from ${formatTime(run.startMs)} to ${formatTime(run.endMs)} (${run.end})`;
}

function formatAttempt(attempt: AttemptRecord): string {
  return `${attempt.id} via ${attempt.instance} from ${formatTime(attempt.startMs)} to ${formatTime(attempt.endMs)}, status ${attempt.status}, step ${attempt.step} ${attempt.peer}`;
}

/**
 * Formats a wall-clock time as in the log lines of the processes.
 * @param timeMs - Milliseconds since the Unix epoch.
 */
export function formatTime(timeMs: number): string {
  return new Date(timeMs).toISOString().slice(11, 23);
}
