import {
  type Finding,
  FindingKind,
  formatTime,
  type RequestHistory,
} from '../history/index.js';
import type {FaultContext} from './fault_context.js';
import type {InstanceMonitor} from './instance_monitor.js';
import {measureRecovery} from './measure_recovery.js';
import type {FaultRecord} from './run_faults.js';

/**
 * Time after a fault in which it may still interrupt requests: the progress timeout and the retries
 * after it.
 */
const RESIDUAL_EFFECT_MS = 8_000;
/** Maximum number of findings of a kind that are printed individually. */
const MAX_FINDINGS_PER_KIND = 10;

/** Data that a soak test collected. */
export interface ReportOptions {
  history: RequestHistory;
  context: FaultContext;
  monitor: InstanceMonitor;
  faults: FaultRecord[];
  /** Errors of the soak test itself. */
  testErrors: string[];
}

/** Report of a soak test. */
export interface Report {
  text: string;
  isPassed: boolean;
}

/**
 * Creates the report of a soak test.
 * @param options - Data that the test collected.
 * @returns The text of the report and whether all guarantees held.
 */
export function createReport(options: ReportOptions): Report {
  const {history, context, monitor, faults, testErrors} = options;
  const {cluster, operator} = context;
  const summary = history.summarize({
    getSlots: id => cluster.topology.getEndpoint(id)?.slots ?? 0,
    plannedStops: context.plannedStops,
    drains: context.drains,
    hasOtherFault: (startMs, endMs) =>
      faults.some(
        fault =>
          fault.mayInterruptRequests &&
          fault.startMs <= endMs &&
          fault.endMs + RESIDUAL_EFFECT_MS >= startMs,
      ),
  });
  let maxPropagationMs = 0;
  const lateInstances = operator.accepted.flatMap(change => {
    const propagation = monitor.measurePropagation(change, context.exemptions);
    maxPropagationMs = Math.max(maxPropagationMs, propagation.propagationMs);
    return propagation.late.map(
      text =>
        `revision ${change.revision} of ${formatTime(change.atMs)}: ${text}`,
    );
  });
  const violations = monitor.countViolations();
  const capViolations = violations.get('shift_under_cap') ?? 0;
  const otherViolations =
    [...violations.values()].reduce((sum, count) => sum + count, 0) -
    capViolations;
  const failures = [
    ...testErrors,
    ...context.failedStops.map(text => `planned stop: ${text}`),
    ...lateInstances.map(text => `slow configuration: ${text}`),
    ...monitor.reverts.map(text => `configuration reverted: ${text}`),
    ...operator.contradictions.map(text => `conflicting changes: ${text}`),
    ...(operator.changeAttempts > 0 && operator.accepted.length === 0
      ? ['no change of the configuration was accepted']
      : []),
    ...findDivergence(options),
    ...[...violations].map(([name, n]) => `invariant ${name}: ${n}`),
    ...Object.values(FindingKind).flatMap(kind =>
      formatFindings(kind, summary.findings),
    ),
  ];
  const count = (kind: FindingKind) =>
    summary.findings.filter(finding => finding.kind === kind).length;
  const rows: [string, string | number][] = [
    ['requests', summary.requests],
    ['answered', summary.answered],
    ['not-run', summary.notRun],
    ['unknown', summary.unknown],
    ['wrong', count(FindingKind.Wrong)],
    ['truncated (connection error)', summary.truncated],
    ['duplicate', count(FindingKind.Duplicate)],
    ['cut by planned stop', count(FindingKind.InterruptedByPlannedStop)],
    ['false not-run', count(FindingKind.FalseNotRun)],
    ['over slots', count(FindingKind.OverSlots)],
    ['cap violations', capViolations],
    ['other invariant violations', otherViolations],
    ['work after leaving', count(FindingKind.WorkAfterDrain)],
    ['longest work after leaving', `${summary.longestWorkAfterDrainMs} ms`],
    ['changes accepted', operator.accepted.length],
    ['slowest configuration spread', `${maxPropagationMs} ms`],
    ['planned stops', context.plannedStops.length],
  ];
  const lines = [
    ...rows.map(([name, value]) => `${name.padEnd(30)}${value}`),
    '',
    'began         ended         recovered  fault',
    ...faults.map(fault => formatFault(fault, history)),
    '',
    ...failures,
    failures.length > 0 ? 'FAILED' : 'passed',
  ];
  return {text: lines.join('\n'), isPassed: failures.length === 0};
}

function formatFindings(kind: FindingKind, findings: Finding[]): string[] {
  const found = findings.filter(finding => finding.kind === kind);
  const omittedCount = found.length - MAX_FINDINGS_PER_KIND;
  return [
    ...found
      .slice(0, MAX_FINDINGS_PER_KIND)
      .map(({atMs, detail}) => `${kind} at ${formatTime(atMs)}: ${detail}`),
    ...(omittedCount > 0 ? [`${kind}: ${omittedCount} more`] : []),
  ];
}

function findDivergence({context, monitor}: ReportOptions): string[] {
  const newest = Math.max(
    0,
    ...context.operator.accepted.map(({revision}) => revision),
  );
  return [...monitor.getLastRevisions()]
    .filter(([, revision]) => revision < newest)
    .map(
      ([id, revision]) =>
        `configuration lost: ${id} ended at revision ${revision}, accepted was ${newest}`,
    );
}

function formatFault(fault: FaultRecord, history: RequestHistory): string {
  const recoveryMs = measureRecovery(history.allAttempts, fault.endMs);
  const recovery = recoveryMs === undefined ? '> 20 s' : `${recoveryMs} ms`;
  return `${formatTime(fault.startMs)}  ${formatTime(fault.endMs)}  ${recovery.padEnd(9)}  ${fault.name}: ${fault.detail}`;
}
