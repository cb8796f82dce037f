import {
  type PermitMessage,
  isPermitMessage,
  isSharedLimit,
} from '../limits/permit_message.js';
import {isQuotaMessage, type QuotaMessage} from '../limits/quota_message.js';
import type {
  ConfigurationDelta,
  ControlChanges,
  Heartbeats,
  MemberInfo,
  SharedLimit,
} from '@primrosestage/steering';

/** State of an instance, as it reports it in datagrams and exchanges. */
export interface PeerState {
  /** The sender's own announcement. */
  sender: MemberInfo;
  /** Digest of the announcements of all instances of which the sender has a recent heartbeat. */
  digest: number;
  /** Revision up to which the sender's view is complete; 0 if it has no view. */
  revision: number;
  /** Highest revision of a change that the sender knows. */
  changedRevision: number;
  /** Version of the sender's configuration; 0 if it has none. */
  configurationVersion: number;
}

/** Changes made after a revision. */
export interface GossipChanges extends Omit<ControlChanges, 'configuration'> {
  /** Revision up to which a receiver's view must be complete for it to apply them. */
  since: number;
}

/** Content of a datagram, which has no response. */
export interface GossipMessage extends PeerState {
  /** Last heartbeats of some instances. */
  heartbeats: Heartbeats;
  /** Announcements that changed recently. */
  members: MemberInfo[];
  changes?: GossipChanges;
  /** The latest changes that led to the sender's configuration, earliest first. */
  configurationDeltas: ConfigurationDelta[];
  /** Rate limits of endpoints, the recently changed ones first; earlier versions send none. */
  limits?: SharedLimit[];
  /** Number of members after the receiver on the region's ring that are reached through it. */
  reach: number;
}

/** A datagram between instances. */
export type Datagram = GossipMessage | PermitMessage | QuotaMessage;

/**
 * Encodes a message for a datagram.
 * @param message - The message.
 */
export function encodeDatagram(message: Datagram): Buffer {
  return Buffer.from(JSON.stringify(message));
}

/**
 * Decodes a datagram. Checks only its outline, since only instances of one version communicate.
 * @param bytes - The datagram.
 * @returns The message, or undefined if the datagram is malformed.
 */
export function decodeDatagram(bytes: Buffer): Datagram | undefined {
  let message: unknown;
  try {
    message = JSON.parse(bytes.toString('utf8'));
  } catch {
    return undefined;
  }
  if (typeof message !== 'object' || message === null) return undefined;
  if (isPermitMessage(message) || isQuotaMessage(message)) return message;
  if (isGossipMessage(message)) return message;
  return undefined;
}

function isGossipMessage(message: object): message is GossipMessage {
  const gossip = message as Partial<GossipMessage>;
  const {sender, heartbeats, members, limits, configurationDeltas} = gossip;
  return (
    typeof sender?.id === 'string' &&
    typeof sender.gossipAddress === 'string' &&
    typeof heartbeats === 'object' &&
    heartbeats !== null &&
    Array.isArray(members) &&
    Array.isArray(configurationDeltas) &&
    (limits === undefined ||
      (Array.isArray(limits) && limits.every(isSharedLimit))) &&
    [gossip.digest, gossip.revision, gossip.changedRevision].every(
      Number.isFinite,
    ) &&
    Number.isFinite(gossip.configurationVersion) &&
    Number.isInteger(gossip.reach)
  );
}
