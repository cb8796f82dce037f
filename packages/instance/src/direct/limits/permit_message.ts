import type {SharedLimit} from '@primrosestage/steering';

/** Type of a datagram about permits. */
export enum PermitMessageType {
  Request = 'permit-request',
  Reply = 'permit-reply',
}

/** Asks the coordinator of a limited endpoint for permits to send it one request each. */
export interface PermitRequest {
  type: PermitMessageType.Request;
  /** Number that the reply repeats; unique among the requests of a process. */
  number: number;
  /** Address for the reply, `host:port`. */
  replyAddress: string;
  /** Maximum number of permits. */
  max: number;
  /** What the instance that asks knows of the limit. */
  limit: SharedLimit;
}

/** Reply of the coordinator. */
export interface PermitReply {
  type: PermitMessageType.Reply;
  number: number;
  /** Id of the endpoint. */
  endpoint: string;
  /** Number of permits granted. */
  granted: number;
  /** Time until a permit is expected if none is granted, in milliseconds. */
  retryAfterMs: number;
}

/** A datagram about permits. */
export type PermitMessage = PermitRequest | PermitReply;

/**
 * Checks the outline of a datagram about permits.
 * @param message - The decoded datagram.
 */
export function isPermitMessage(message: object): message is PermitMessage {
  const {type, number} = message as Partial<PermitMessage>;
  if (!Number.isInteger(number)) return false;
  switch (type) {
    case PermitMessageType.Request: {
      const {replyAddress, max, limit} = message as Partial<PermitRequest>;
      return (
        typeof replyAddress === 'string' &&
        Number.isInteger(max) &&
        isSharedLimit(limit)
      );
    }
    case PermitMessageType.Reply: {
      const {endpoint, granted, retryAfterMs} = message as Partial<PermitReply>;
      return (
        typeof endpoint === 'string' &&
        Number.isInteger(granted) &&
        Number.isFinite(retryAfterMs)
      );
    }
    default:
      return false;
  }
}

/**
 * Checks the outline of a rate limit that another instance shares.
 * @param limit - The decoded limit.
 */
export function isSharedLimit(limit: unknown): limit is SharedLimit {
  const {id, bornAt, perSecond, ageMs, from} = (limit ??
    {}) as Partial<SharedLimit>;
  return (
    typeof id === 'string' &&
    typeof from === 'string' &&
    Number.isFinite(bornAt) &&
    Number.isFinite(ageMs) &&
    (perSecond === undefined || (Number.isFinite(perSecond) && perSecond >= 0))
  );
}
