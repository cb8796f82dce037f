import {getErrorMessage, type EventLogger} from '@primrosestage/common';
import type {RegistryItem, RegistryItems} from '@primrosestage/control';
import type {ControlChanges, MemberInfo} from '@primrosestage/steering';
import type {ControlSource, DecodedItem} from './control_source.js';

/** What the items of the registry mean. */
export interface DecodedItems {
  changes: ControlChanges;
  /** Registrations of instances. */
  registrations: MemberInfo[];
}

/**
 * Decodes items of the registry. What cannot be decoded is logged and left out.
 * @param read - The items and the revision up to which they were read.
 * @param isFull - Whether they are a full listing.
 * @param options - The source that decodes them, and the log.
 */
export function decodeItems(
  {items, revision}: RegistryItems,
  isFull: boolean,
  {source, logger}: {source: ControlSource; logger: EventLogger},
): DecodedItems {
  const changes: ControlChanges = {
    revision,
    isFull,
    isFromRegistry: true,
    endpoints: [],
    evacuations: [],
  };
  const registrations: MemberInfo[] = [];
  for (const item of items) {
    const decoded = decode(item, source);
    if (!decoded) continue;
    if (decoded.fault !== undefined) {
      logger.warn('registry item ignored', {
        key: item.key,
        revision: item.revision,
        fault: decoded.fault,
      });
    }
    if (decoded.configuration) changes.configuration = decoded.configuration;
    if (decoded.endpoint) changes.endpoints.push(decoded.endpoint);
    if (decoded.evacuation) changes.evacuations.push(decoded.evacuation);
    if (decoded.member) registrations.push(decoded.member);
  }
  return {changes, registrations};
}

/** An item that cannot be decoded must not keep this instance from following the others. */
function decode(
  item: RegistryItem,
  source: ControlSource,
): DecodedItem | undefined {
  try {
    return source.decode(item);
  } catch (err) {
    return {fault: getErrorMessage(err)};
  }
}
