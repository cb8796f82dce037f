import type http from 'node:http';
import type {Outcome, Step} from '@primrosestage/common';

/** Holds an answer whose body is still to be read. */
export interface Answer {
  readonly status: number;
  /** End-to-end headers. */
  readonly headers: http.OutgoingHttpHeaders;
  /**
   * The body. Reading fails with a StepError where it is truncated or stops.
   */
  readonly chunks: AsyncIterable<Buffer>;
  /** Gives up the rest of the body; needed where `chunks` is not read to its end. */
  cancel(): void;
  /** Free slots that the owner reported. */
  readonly freeSlots?: number;
  /** Status of the first answer, where a repeat cannot have its body. */
  readonly originalStatus?: string;
}

/** Describes why an attempt gave no answer. */
export interface Refusal {
  readonly outcome: Outcome.NotRun | Outcome.Unknown;
  /** HTTP status for the caller. */
  readonly status: number;
  readonly step: Step;
  readonly peer: string;
  readonly message: string;
  readonly freeSlots?: number;
}

/** Holds the end of an attempt. */
export type AttemptResult =
  | {readonly answer: Answer; readonly refusal?: undefined}
  | {readonly answer?: undefined; readonly refusal: Refusal};
