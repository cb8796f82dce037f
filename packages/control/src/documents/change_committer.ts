import {getErrorMessage, type TimerService} from '@primrosestage/common';
import type {Topology} from '@primrosestage/steering';
import {
  type Store,
  type StoreEntry,
  StoreError,
  StoreFailure,
} from '../store/index.js';
import type {ValueIssue} from '../validation/index.js';
import {applyChange, ChangeStatus} from './apply_change.js';
import type {DocumentChange} from './document_change.js';
import {parseTeamDocument, TEAM_KEY_PREFIX} from './parse_team_document.js';
import type {TeamDocument} from './team_document.js';

/** Time for which a write without a reply is looked for before it is fenced (design 4.6). */
const FENCE_WRITE_AFTER_MS = 2_000;
/** Time after which the outcome is given up as unknown: one fence with its own reply lost fits in. */
const RESOLVE_TIMEOUT_MS = 4_500;
/** Time for which reads and unsent writes are repeated. */
const RETRY_WINDOW_MS = 1_000;
const RETRY_DELAY_MS = 100;

/** Says what became of a change. */
export enum CommitOutcome {
  /** The store has the change. */
  Accepted = 'accepted',
  /** The change is based on another revision. */
  Conflict = 'conflict',
  Invalid = 'invalid',
  /** This attempt wrote nothing and never will. */
  NotMade = 'not-made',
  /** The write may have taken effect or may still do so. */
  Unknown = 'unknown',
}

/** Holds the result of a change. */
export interface CommitResult {
  outcome: CommitOutcome;
  /** Revision that the change made, or the current one where it is known. */
  revision?: number;
  /** The store's document, where the outcome is known. */
  document?: TeamDocument;
  issues: ValueIssue[];
  /** What failed, where the change was not made or is unknown. */
  message: string;
}

/** Configures a committer. */
export interface ChangeCommitterOptions {
  store: Store;
  timers: TimerService;
  topology: Topology;
}

interface CurrentDocument {
  document: TeamDocument;
  version: number;
}

/** Writes changes to team documents by compare-and-swap. */
export class ChangeCommitter {
  constructor(private readonly options: ChangeCommitterOptions) {}

  /**
   * Makes a change, or finds that it was made before.
   * @param team - Name of the team.
   * @param change - The change, whose schema holds.
   * @returns What became of it; never throws.
   */
  async commit(team: string, change: DocumentChange): Promise<CommitResult> {
    const {timers} = this.options;
    const startMs = timers.now();
    for (;;) {
      const isRetryWindowOver = timers.now() - startMs >= RETRY_WINDOW_MS;
      try {
        const result = await this.tryCommit(team, change, startMs);
        if (result) return result;
        if (isRetryWindowOver)
          return createNotAppliedResult('the document changes too often');
      } catch (err) {
        // Only reads and writes that had no effect throw, so the attempt may be repeated.
        if (isRetryWindowOver || isRefused(err))
          return createNotAppliedResult(getErrorMessage(err));
      }
      await timers.sleep(RETRY_DELAY_MS);
    }
  }

  /** Returns undefined where another write came first and the document must be read again. */
  private async tryCommit(
    team: string,
    change: DocumentChange,
    startMs: number,
  ): Promise<CommitResult | undefined> {
    const {store, topology} = this.options;
    const key = `${TEAM_KEY_PREFIX}${team}`;
    const current = parseEntry(await store.get(key));
    if (!current)
      return createNotAppliedResult(`the store has no usable document ${key}`);
    const result = applyChange(current.document, change, {team, topology});
    if (result.status !== ChangeStatus.Applied) return toCommitResult(result);
    try {
      const version = await store.put(key, result.document, current.version);
      return version === undefined ? undefined : toCommitResult(result);
    } catch (err) {
      if (!isReplyLost(err)) throw err;
    }
    return this.resolveLostReply(team, change, current, startMs);
  }

  /**
   * Finds out whether a write without a reply took effect. Any later version of the document
   * decides it, because the write expects the earlier version.
   */
  private async resolveLostReply(
    team: string,
    change: DocumentChange,
    previous: CurrentDocument,
    startMs: number,
  ): Promise<CommitResult> {
    const {store, timers, topology} = this.options;
    const key = `${TEAM_KEY_PREFIX}${team}`;
    const replyLostAtMs = timers.now();
    while (timers.now() - startMs < RESOLVE_TIMEOUT_MS) {
      try {
        const current = parseEntry(await store.get(key));
        if (current && current.version !== previous.version) {
          const result = applyChange(current.document, change, {
            team,
            topology,
          });
          return result.status === ChangeStatus.Applied
            ? createNotAppliedResult('the write was fenced by another instance')
            : toCommitResult(result);
        }
        if (timers.now() - replyLostAtMs >= FENCE_WRITE_AFTER_MS) {
          const fenceVersion = await store.put(
            key,
            previous.document,
            previous.version,
          );
          if (fenceVersion !== undefined) {
            return createNotAppliedResult('the store did not take the write');
          }
        }
      } catch {
        // The store is away; the outcome stays open until it is back or the time is over.
      }
      await timers.sleep(RETRY_DELAY_MS);
    }
    return {
      outcome: CommitOutcome.Unknown,
      issues: [],
      message: `no reply to the write of ${key}; repeat under the same changeId`,
    };
  }
}

function parseEntry(
  entry: StoreEntry | undefined,
): CurrentDocument | undefined {
  const document = entry && parseTeamDocument(entry.value);
  return document && {document, version: entry.version};
}

function toCommitResult(result: ReturnType<typeof applyChange>): CommitResult {
  const {status, revision, document, issues} = result;
  const outcomes = {
    [ChangeStatus.Applied]: CommitOutcome.Accepted,
    [ChangeStatus.AlreadyApplied]: CommitOutcome.Accepted,
    [ChangeStatus.Conflict]: CommitOutcome.Conflict,
    [ChangeStatus.Invalid]: CommitOutcome.Invalid,
  };
  const outcome = outcomes[status];
  const message =
    outcome === CommitOutcome.Conflict
      ? `the current revision is ${revision}`
      : '';
  return {outcome, revision, document, issues, message};
}

function createNotAppliedResult(message: string): CommitResult {
  return {outcome: CommitOutcome.NotMade, issues: [], message};
}

function isReplyLost(err: unknown): boolean {
  return !(err instanceof StoreError && err.failure !== StoreFailure.ReplyLost);
}

function isRefused(err: unknown): boolean {
  return err instanceof StoreError && err.failure === StoreFailure.Refused;
}
