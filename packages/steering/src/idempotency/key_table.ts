import type {IdempotencyKey} from './idempotency_key.js';
import {type KeyRecord, KeyState, type RecordedResponse} from './key_record.js';

/** Length of an epoch in milliseconds. */
export const KEY_EPOCH_MS = 300_000;
/** Number of epochs before the current one whose keys are still accepted. */
const ACCEPTED_OLD_EPOCHS = 2;
/** Time for which a key is accepted at most after its epoch has begun, in milliseconds. */
export const KEY_LIFETIME_MS = (ACCEPTED_OLD_EPOCHS + 1) * KEY_EPOCH_MS;
/** Maximum length of a recorded response body in bytes. */
export const MAX_RECORDED_BODY_BYTES = 64 * 1024;

/** Configures a key table. */
export interface KeyTableOptions {
  home: string;
  incarnation: number;
  /** Start of epoch 0 in monotonic milliseconds. */
  startedAt: number;
  maxRecords: number;
  /** Limit on recorded bodies in bytes; each running request reserves the maximum body length. */
  maxBytes: number;
  /** Last epoch for which keys were issued; set if the table was handed over. */
  lastEpoch?: number;
}

/** Action of the home instance for a request with a key. */
export enum KeyAction {
  /** No request has run under the key: run this one. */
  Run = 'run',
  /** An earlier request under the key is still running: wait for its response. */
  Wait = 'wait',
  /** Return the recorded response. */
  Replay = 'replay',
  /** Refuse, because an earlier attempt may have run. */
  RefuseUnknown = 'refuse-unknown',
  /** Refuse and state that the request did not run. */
  RefuseNotRun = 'refuse-not-run',
  /** Refuse, because the key was never issued or was used for another request. */
  RefuseInvalid = 'refuse-invalid',
}

/** Decision on a request with a key. */
export interface KeyDecision {
  readonly action: KeyAction;
  /** Reason of a refusal. */
  readonly reason?: string;
  /** Response to replay. */
  readonly answer?: RecordedResponse;
}

/** A request with a key. */
export interface KeyRequest {
  readonly key: IdempotencyKey;
  /** Team and service that the key is scoped to. */
  readonly scope: string;
  readonly fingerprint: string;
  readonly isFirstAttempt: boolean;
}

/**
 * Keeps the key records of one home instance. Its methods change the table in place, because copying
 * it per request would take time proportional to the number of records. Callers pass the time.
 */
export class KeyTable {
  private readonly records = new Map<string, KeyRecord>();
  private recordedBytes = 0;
  private runningRequests = 0;
  private oldestEpoch = 0;

  constructor(readonly options: KeyTableOptions) {}

  /** Number of requests that are running under a key. */
  get runningCount(): number {
    return this.runningRequests;
  }

  /** Number of records in all states. */
  get size(): number {
    return this.records.size;
  }

  /**
   * Gets the current epoch.
   * @param now - Monotonic time in milliseconds.
   * @returns The number of the epoch, from 0.
   */
  getEpoch(now: number): number {
    return Math.floor((now - this.options.startedAt) / KEY_EPOCH_MS);
  }

  /**
   * Decides how to handle a request; on `Run`, records it as running.
   * @param request - The request.
   * @param now - Monotonic time in milliseconds.
   * @returns The action, with a reason or a response to replay if it has one.
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
   * Records the response to a running request.
   * @param request - The request.
   * @param answer - The response; the caller omits a body longer than `MAX_RECORDED_BODY_BYTES`.
   */
  recordResponse(request: KeyRequest, answer: RecordedResponse): void {
    this.finish(request, {state: KeyState.Answered, answer});
  }

  /**
   * Records that a request ended without a known response and may have run.
   * @param request - The request.
   */
  recordUnknown(request: KeyRequest): void {
    this.finish(request, {state: KeyState.Unknown});
  }

  /**
   * Removes the record of a request that was recorded as running but did not run.
   * @param request - The request.
   */
  recordNotRun(request: KeyRequest): void {
    if (this.records.delete(getRecordId(request))) this.runningRequests--;
  }

  /** Returns all records with their ids, for a handover. */
  list(): IterableIterator<[string, KeyRecord]> {
    return this.records.entries();
  }

  /**
   * Adds a record that was handed over; a running request is recorded as unknown.
   * @param id - Id of the record.
   * @param record - The record.
   */
  adopt(id: string, record: KeyRecord): void {
    const state =
      record.state === KeyState.Running ? KeyState.Unknown : record.state;
    this.records.set(id, {...record, state});
    this.recordedBytes += record.answer?.body?.length ?? 0;
  }

  /**
   * Removes records whose keys are no longer accepted, except those of running requests.
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

  /** Refuses a key without a record; the request may have run unless this is its first attempt. */
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
