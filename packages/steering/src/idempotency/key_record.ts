/** Names what is known of the request of a key. */
export enum KeyState {
  Running = 'running',
  Answered = 'answered',
  Unknown = 'unknown',
}

/** Holds an answer for repeats of its request. */
export interface RecordedAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[]>>;
  /** Undefined where the body was too long to keep. */
  readonly body?: Uint8Array;
}

/** Holds what the home knows of the request of a key. */
export interface KeyRecord {
  readonly state: KeyState;
  readonly epoch: number;
  /** Describes the request, to tell a repeat from another request under the same key. */
  readonly fingerprint: string;
  /** Set in the state `Answered`. */
  readonly answer?: RecordedAnswer;
}
