import type {
  ControlChanges,
  Heartbeats,
  MemberInfo,
  RouteConfiguration,
} from '@primrosestage/steering';

/** What an instance tells another in an exchange. */
export interface PeerHello {
  /** The sender's own announcement. */
  sender: MemberInfo;
  /** Last heartbeats of the instances that the sender has heard of lately. */
  heartbeats: Heartbeats;
  /** Digest of their announcements. */
  digest: number;
  /** Announcements that the receiver may lack. */
  members: MemberInfo[];
  /** Revision up to which the sender has followed the registry; 0 where it has no view. */
  revision: number;
  /** Version of the sender's configuration; 0 where it has none. */
  configurationVersion: number;
  /** What the receiver may lack. */
  changes?: Omit<ControlChanges, 'configuration'>;
  configuration?: WireConfiguration;
}

/** A configuration in the form that JSON can hold. */
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
