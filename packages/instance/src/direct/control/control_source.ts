import type {RegistryItem, RegistryStore} from '@primrosestage/control';
import type {
  EndpointChange,
  EvacuationChange,
  MemberInfo,
  RouteConfiguration,
} from '@primrosestage/steering';

/** Decoded content of one registry item. */
export interface DecodedItem {
  configuration?: RouteConfiguration;
  endpoint?: EndpointChange;
  evacuation?: EvacuationChange;
  member?: MemberInfo;
  /** Why the item, or a part of it, cannot be read. */
  fault?: string;
}

/** Connects an instance to the registry, which stores the durable control state. */
export interface ControlSource {
  store: RegistryStore;
  /** Prefix of all keys that an instance reads. */
  prefix: string;
  /** Key under which an instance registers itself. */
  getMemberKey: (id: string) => string;
  /** Decodes an item; returns undefined for a key that instances do not use. */
  decode: (item: RegistryItem) => DecodedItem | undefined;
}
