import type {
  AnnouncementDigests,
  ControlChanges,
  Heartbeats,
  MemberInfo,
  MembershipReply,
  RouteConfiguration,
  SharedLimit,
} from '@primrosestage/steering';
import type {PeerState} from './gossip_message.js';

/** Request and response of an exchange between two instances. */
export interface PeerMessage extends PeerState {
  /** Last heartbeats of the instances that the receiver may not know. */
  heartbeats: Heartbeats;
  /** Announcements that the receiver lacks. */
  members: MemberInfo[];
  /** In a response: what its sender says of the membership. */
  membership?: MembershipReply;
  /** Rate limits of endpoints; earlier versions send none. */
  limits?: SharedLimit[];
  /** Digests of the announcements that the sender has, if it requests those that it lacks. */
  announcementDigests?: AnnouncementDigests;
  /** Changes that the receiver may lack. */
  changes?: Omit<ControlChanges, 'configuration'>;
  configuration?: WireConfiguration;
}

/** A configuration in a form that JSON can represent. */
export interface WireConfiguration extends Omit<
  RouteConfiguration,
  'services'
> {
  services: Array<
    RouteConfiguration['services'] extends ReadonlyMap<string, infer S>
      ? S
      : never
  >;
}

/**
 * Converts a configuration for another instance.
 * @param configuration - The configuration.
 */
export function toWireConfiguration(
  configuration: RouteConfiguration,
): WireConfiguration {
  return {...configuration, services: [...configuration.services.values()]};
}

/**
 * Converts a configuration of another instance.
 * @param wire - The configuration as it was received.
 */
export function fromWireConfiguration(
  wire: WireConfiguration,
): RouteConfiguration {
  const services = new Map(
    wire.services.map(service => [service.name, service]),
  );
  return {...wire, services};
}
