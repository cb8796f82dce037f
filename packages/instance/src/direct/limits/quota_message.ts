import type {QuotaReply, QuotaRequest} from '@primrosestage/steering';

/** Type of a datagram about the quotas of accounts. */
export enum QuotaMessageType {
  Request = 'quota-request',
  Reply = 'quota-reply',
}

/** Asks the coordinator of a group of accounts for credit. */
export interface QuotaRequestMessage extends QuotaRequest {
  type: QuotaMessageType.Request;
  /** Address for the reply, `host:port`. */
  replyAddress: string;
}

/** Reply of the coordinator. */
export interface QuotaReplyMessage extends QuotaReply {
  type: QuotaMessageType.Reply;
}

/** A datagram about quotas. */
export type QuotaMessage = QuotaRequestMessage | QuotaReplyMessage;

/**
 * Checks the outline of a datagram about quotas.
 * @param message - The decoded datagram.
 */
export function isQuotaMessage(message: object): message is QuotaMessage {
  const {type, group, from, process, number, accounts} =
    message as Partial<QuotaMessage>;
  const hasOutline =
    typeof group === 'string' &&
    typeof from === 'string' &&
    Number.isInteger(process) &&
    Number.isInteger(number) &&
    Array.isArray(accounts) &&
    accounts.every(isAccountCredit);
  if (!hasOutline) return false;
  switch (type) {
    case QuotaMessageType.Request: {
      const {replyAddress, receivedFrom, received, isCounted} =
        message as Partial<QuotaRequestMessage>;
      return (
        typeof replyAddress === 'string' &&
        Number.isInteger(receivedFrom) &&
        Number.isInteger(received) &&
        typeof isCounted === 'boolean'
      );
    }
    case QuotaMessageType.Reply:
      return Number.isInteger((message as Partial<QuotaReplyMessage>).request);
    default:
      return false;
  }
}

function isAccountCredit(credit: unknown): boolean {
  if (!Array.isArray(credit) || credit.length !== 4) return false;
  const [name, ...amounts] = credit as unknown[];
  return (
    typeof name === 'string' &&
    amounts.every(amount => Number.isInteger(amount) && (amount as number) >= 0)
  );
}
