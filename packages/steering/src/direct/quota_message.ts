/**
 * What an instance states of an account: its name, the credit held, the credit needed, and the
 * credit that it gives back with this request because it does not need it.
 */
export type StatedCredit = readonly [
  account: string,
  held: number,
  target: number,
  returned: number,
];

/**
 * What the coordinator decides for an account: the credit granted, the time until more is expected
 * if it is less than needed (0 otherwise), in milliseconds, and the
 * credit that the instance may hold in reserve.
 */
export type GrantedCredit = readonly [
  account: string,
  granted: number,
  retryAfterMs: number,
  reserve: number,
];

/** Asks the coordinator of a group of accounts for credit, and says that the sender is alive. */
export interface QuotaRequest {
  /** Name of the group. */
  group: string;
  /** Id of the instance that asks. */
  from: string;
  /** Number of its process, which differs from that of an earlier process of the id. */
  process: number;
  /** Increases with each request of the process for the group. */
  number: number;
  /** Process of the coordinator of which a reply was received last; 0 if there is none. */
  receivedFrom: number;
  /** Number of the last reply received from that process; 0 if there is none. */
  received: number;
  /** Whether the reply counts as acknowledged, so that the coordinator hears the sender. */
  isCounted: boolean;
  accounts: readonly StatedCredit[];
}

/** Reply of the coordinator. */
export interface QuotaReply {
  group: string;
  /** Id of the coordinator. */
  from: string;
  /** Number of the coordinator's process. */
  process: number;
  /** Increases with each reply of the process. */
  number: number;
  /** Number of the request. */
  request: number;
  accounts: readonly GrantedCredit[];
}
