import type http from 'node:http';
import type {Outcome, Step} from '@primrosestage/common';

/** Holds an answer whose body has not been read yet. */
export interface Answer {
  readonly status: number;
  /** End-to-end headers. */
  readonly headers: http.OutgoingHttpHeaders;
  /**
   * The body. Reading throws a StepError if it is truncated or stalls.
   */
  readonly chunks: AsyncIterable<Buffer>;
  /** Discards the unread part of the body; must be called unless `chunks` is read to its end. */
  cancel(): void;
  /** Free slots that the owner reported. */
  readonly freeSlots?: number;
  /** Status of the first answer, if its body cannot be replayed for a repeated request. */
  readonly originalStatus?: string;
}

/** Describes why an attempt was not answered. */
export interface Refusal {
  readonly outcome: Outcome.NotRun | Outcome.Unknown;
  /** HTTP status for the caller. */
  readonly status: number;
  readonly step: Step;
  readonly peer: string;
  readonly message: string;
  readonly freeSlots?: number;
}

/** Holds the result of an attempt. */
export type AttemptResult =
  | {readonly answer: Answer; readonly refusal?: undefined}
  | {readonly answer?: undefined; readonly refusal: Refusal};
