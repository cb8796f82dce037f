import type {RegistryItem, RegistryStore} from '@primrosestage/control';
import type {
  EndpointChange,
  EvacuationChange,
  MemberInfo,
  RouteConfiguration,
} from '@primrosestage/steering';

/** Holds what one item of the registry says. */
export interface DecodedItem {
  configuration?: RouteConfiguration;
  endpoint?: EndpointChange;
  evacuation?: EvacuationChange;
  member?: MemberInfo;
  /** Why the item, or a part of it, cannot be read. */
  fault?: string;
}

/** Connects an instance to the registry that holds what lasts. */
export interface ControlSource {
  store: RegistryStore;
  /** Prefix of all keys that matter to an instance. */
  prefix: string;
  /** Key under which an instance registers itself. */
  memberKey: (id: string) => string;
  /** Decodes an item; undefined where its key is of no interest. */
  decode: (item: RegistryItem) => DecodedItem | undefined;
}
