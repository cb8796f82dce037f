/** Time for which a reply that an instance has acknowledged counts it as heard, in milliseconds. */
export const HEARD_MS = 1_250;
/**
 * Time without a reply after which an instance discards its lent credit and uses its fixed share,
 * in milliseconds. It is longer than `HEARD_MS`, so that no instance is heard and uses its fixed
 * share at the same time.
 */
export const SILENCE_MS = 1_500;
/** Time after its request from which a reply is ignored, in milliseconds. */
export const REPLY_VALIDITY_MS = 1_000;
/**
 * Time since the last reply to a holder after which it has certainly discarded its credit, in
 * milliseconds.
 */
export const HOLD_MS = REPLY_VALIDITY_MS + SILENCE_MS;
/** Time until another try if the coordinator or its reply cannot decide, in milliseconds. */
export const UNDECIDED_RETRY_MS = 300;
/** Time without a request after which the state of an account is dropped, in milliseconds. */
export const UNUSED_MS = 10_000;
