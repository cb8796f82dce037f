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

/** Time to look for the effect of a write whose reply was lost before fencing it (design 4.6). */
const FENCE_WRITE_AFTER_MS = 2_000;
/** Time after which the outcome is reported unknown; allows one fence whose own reply is lost. */
const RESOLVE_TIMEOUT_MS = 4_500;
/** Time for which reads and unsent writes are retried. */
const RETRY_WINDOW_MS = 1_000;
const RETRY_DELAY_MS = 100;

/** Says how the commit of a change ended. */
export enum CommitOutcome {
  /** The store contains the change. */
  Accepted = 'accepted',
  /** The change is based on another revision. */
  Conflict = 'conflict',
  Invalid = 'invalid',
  /** This attempt wrote nothing and cannot take effect later. */
  NotApplied = 'not-made',
  /** The write may have taken effect or may still do so. */
  Unknown = 'unknown',
}

/** Holds the result of a change. */
export interface CommitResult {
  outcome: CommitOutcome;
  /** Revision created by the change, or the current one, if known. */
  revision?: number;
  /** The store's document, if the outcome is known. */
  document?: TeamDocument;
  issues: ValueIssue[];
  /** What failed, if the change was not applied or its outcome is unknown. */
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
   * Commits a change, or finds that it was committed before.
   * @param team - Name of the team.
   * @param change - The change, already checked against its schema.
   * @returns The outcome; never throws.
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
        // Only reads and writes that had no effect throw, so the attempt may be retried.
        if (isRetryWindowOver || isRefused(err))
          return createNotAppliedResult(getErrorMessage(err));
      }
      await timers.sleep(RETRY_DELAY_MS);
    }
  }

  /** Returns undefined if another write came first and the document must be read again. */
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
   * Determines whether a write whose reply was lost took effect. Any later version of the document
   * settles this, because the write is conditional on the earlier version.
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
        // The store is unreachable; try again until it responds or the timeout expires.
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
  return {outcome: CommitOutcome.NotApplied, issues: [], message};
}

function isReplyLost(err: unknown): boolean {
  return !(err instanceof StoreError && err.failure !== StoreFailure.ReplyLost);
}

function isRefused(err: unknown): boolean {
  return err instanceof StoreError && err.failure === StoreFailure.Refused;
}
