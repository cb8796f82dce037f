/** State of the request that was sent under a key. */
export enum KeyState {
  Running = 'running',
  Answered = 'answered',
  /** The request may have run; its response is not known. */
  Unknown = 'unknown',
}

/** A recorded response that is replayed to repeats of its request. */
export interface RecordedResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[]>>;
  /** Undefined if the body was too long to record. */
  readonly body?: Uint8Array;
}

/** Record that the home instance keeps of the request under a key. */
export interface KeyRecord {
  readonly state: KeyState;
  readonly epoch: number;
  /** Identifies the request, to distinguish a repeat from another request under the same key. */
  readonly fingerprint: string;
  /** Set in the state `Answered`. */
  readonly answer?: RecordedResponse;
}
