import type {IdempotencyKey} from './idempotency_key.js';
import {type KeyRecord, KeyState, type RecordedAnswer} from './key_record.js';

/** Length of an epoch in milliseconds. */
export const KEY_EPOCH_MS = 300_000;
/** Epochs before the current one whose keys are accepted. */
const ACCEPTED_OLD_EPOCHS = 2;
/** Longest body that is kept. */
export const MAX_RECORDED_BODY_BYTES = 64 * 1024;

/** Configures a key table. */
export interface KeyTableOptions {
  home: string;
  incarnation: number;
  /** Begin of epoch 0 in monotonic milliseconds. */
  startedAt: number;
  maxRecords: number;
  /** Most bytes of bodies; running requests reserve the longest body each. */
  maxBytes: number;
  /** Last epoch whose keys exist; set in a table that was handed over. */
  lastEpoch?: number;
}

/** Names what the home does with a request that carries a key. */
export enum KeyAction {
  /** Nothing ran under the key: run it. */
  Run = 'run',
  /** The first execution still runs: wait for its end. */
  Wait = 'wait',
  Replay = 'replay',
  RefuseUnknown = 'refuse-unknown',
  RefuseNotRun = 'refuse-not-run',
  /** The key was never given out, or was used for another request. */
  RefuseInvalid = 'refuse-invalid',
}

/** Holds the decision on a request that carries a key. */
export interface KeyDecision {
  readonly action: KeyAction;
  /** Reason of a refusal. */
  readonly reason?: string;
  /** The answer to replay. */
  readonly answer?: RecordedAnswer;
}

/** Describes a request that carries a key. */
export interface KeyRequest {
  readonly key: IdempotencyKey;
  /** Team and service, which the record belongs to. */
  readonly scope: string;
  readonly fingerprint: string;
  readonly isFirstAttempt: boolean;
}

/**
 * Keeps the records of one home. Its methods change the table in place, because a copy per
 * request would cost time in proportion to all records; they take the time as an argument.
 */
export class KeyTable {
  private readonly records = new Map<string, KeyRecord>();
  private recordedBytes = 0;
  private runningRequests = 0;
  private oldestEpoch = 0;

  constructor(readonly options: KeyTableOptions) {}

  /** Requests that run under a key. */
  get runningCount(): number {
    return this.runningRequests;
  }

  /** Records of all states. */
  get size(): number {
    return this.records.size;
  }

  /**
   * Gets the current epoch.
   * @param now - Monotonic time in milliseconds.
   */
  getEpoch(now: number): number {
    return Math.floor((now - this.options.startedAt) / KEY_EPOCH_MS);
  }

  /**
   * Decides on a request; `Run` records it as running.
   * @param request - The request.
   * @param now - Monotonic time in milliseconds.
   */
  begin(request: KeyRequest, now: number): KeyDecision {
    const {key} = request;
    const {home, incarnation, lastEpoch} = this.options;
    if (key.home !== home || key.incarnation !== incarnation) {
      return this.refuse(request, `${key.home} has restarted since the lookup`);
    }
    this.expire(now);
    const epoch = this.getEpoch(now);
    if (key.epoch > Math.min(epoch, lastEpoch ?? epoch)) {
      return refuseInvalid(`epoch ${key.epoch} of the key has not begun`);
    }
    if (key.epoch < epoch - ACCEPTED_OLD_EPOCHS) {
      return this.refuse(request, `epoch ${key.epoch} of the key has expired`);
    }
    const id = getRecordId(request);
    const record = this.records.get(id);
    if (record) return decideOnRecord(record, request);
    if (this.isFull()) {
      return {
        action: KeyAction.RefuseNotRun,
        reason: `the table of ${this.records.size} keys is full`,
      };
    }
    this.records.set(id, {
      state: KeyState.Running,
      epoch: key.epoch,
      fingerprint: request.fingerprint,
    });
    this.runningRequests++;
    return {action: KeyAction.Run};
  }

  /**
   * Records the answer of a running request.
   * @param request - The request.
   * @param answer - Its answer; the body is dropped where it is too long.
   */
  recordAnswer(request: KeyRequest, answer: RecordedAnswer): void {
    this.finish(request, {state: KeyState.Answered, answer});
  }

  /**
   * Records that a running request may have run.
   * @param request - The request.
   */
  recordUnknown(request: KeyRequest): void {
    this.finish(request, {state: KeyState.Unknown});
  }

  /**
   * Removes the record of a running request that did not run.
   * @param request - The request.
   */
  recordNotRun(request: KeyRequest): void {
    if (this.records.delete(getRecordId(request))) this.runningRequests--;
  }

  /** Lists the records by id, for a handover. */
  list(): IterableIterator<[string, KeyRecord]> {
    return this.records.entries();
  }

  /**
   * Adds a record that was handed over; one that was running has an unknown end.
   * @param id - Its id.
   * @param record - The record.
   */
  adopt(id: string, record: KeyRecord): void {
    const state =
      record.state === KeyState.Running ? KeyState.Unknown : record.state;
    this.records.set(id, {...record, state});
    this.recordedBytes += record.answer?.body?.length ?? 0;
  }

  /**
   * Removes records whose keys are no longer accepted, except of running requests.
   * @param now - Monotonic time in milliseconds.
   */
  expire(now: number): void {
    const oldest = this.getEpoch(now) - ACCEPTED_OLD_EPOCHS;
    if (oldest <= this.oldestEpoch) return;
    this.oldestEpoch = oldest;
    for (const [id, record] of this.records) {
      if (record.epoch >= oldest || record.state === KeyState.Running) continue;
      this.records.delete(id);
      this.recordedBytes -= record.answer?.body?.length ?? 0;
    }
  }

  private isFull(): boolean {
    const {maxRecords, maxBytes} = this.options;
    const reservedBytes = (this.runningRequests + 1) * MAX_RECORDED_BODY_BYTES;
    return (
      this.records.size >= maxRecords ||
      this.recordedBytes + reservedBytes > maxBytes
    );
  }

  private finish(
    request: KeyRequest,
    outcome: Pick<KeyRecord, 'state' | 'answer'>,
  ): void {
    const id = getRecordId(request);
    const record = this.records.get(id);
    if (record?.state !== KeyState.Running) return;
    this.runningRequests--;
    this.recordedBytes += outcome.answer?.body?.length ?? 0;
    this.records.set(id, {...record, ...outcome});
  }

  /** Refuses a key of which there is no record although its request may have run. */
  private refuse(request: KeyRequest, reason: string): KeyDecision {
    return {
      action: request.isFirstAttempt
        ? KeyAction.RefuseNotRun
        : KeyAction.RefuseUnknown,
      reason,
    };
  }
}

function decideOnRecord(record: KeyRecord, request: KeyRequest): KeyDecision {
  if (record.fingerprint !== request.fingerprint) {
    return refuseInvalid('the key was used for another request');
  }
  switch (record.state) {
    case KeyState.Running:
      return {action: KeyAction.Wait};
    case KeyState.Answered:
      return {action: KeyAction.Replay, answer: record.answer};
    case KeyState.Unknown:
      return {
        action: KeyAction.RefuseUnknown,
        reason: 'an earlier attempt under the key may have run',
      };
  }
}

function getRecordId({scope, key}: KeyRequest): string {
  return `${scope}/${key.epoch}.${key.unique}`;
}

function refuseInvalid(reason: string): KeyDecision {
  return {action: KeyAction.RefuseInvalid, reason};
}
