import {chooseCoordinator} from './choose_coordinator.js';
import {hash32} from './hash_fraction.js';
import type {MemberInfo} from './member_info.js';

/** Serving instances per group of accounts, which bounds what one coordinator answers. */
const INSTANCES_PER_GROUP = 32;

/** A group of accounts, and the instance that coordinates it. */
export interface QuotaGroup {
  /** Name that differs for another number of groups, whose members are other accounts. */
  name: string;
  /** Undefined if no instance serves. */
  coordinator: MemberInfo | undefined;
}

/**
 * Divides the accounts into groups and chooses a coordinator for each.
 * @param serving - The live instances that serve callers.
 */
export function chooseQuotaGroups(
  serving: readonly MemberInfo[],
): QuotaGroup[] {
  const count = Math.max(1, Math.ceil(serving.length / INSTANCES_PER_GROUP));
  const largest = getLargest(serving);
  return Array.from({length: count}, (_, index) => {
    const name = `${index}/${count}`;
    const coordinator = chooseCoordinator(
      largest,
      hash32(`quota ${name}`),
      undefined,
    );
    return {name, coordinator};
  });
}

/**
 * Returns the instances with at least half of the largest capacity. Callers are directed to them, so
 * that a coordinator among them decides some requests itself.
 */
function getLargest(serving: readonly MemberInfo[]): readonly MemberInfo[] {
  const capacities = serving.map(({capacity = 0}) => capacity);
  const minCapacity = Math.max(0, ...capacities) / 2;
  return serving.filter(({capacity = 0}) => capacity >= minCapacity);
}

/**
 * Returns the index of the group of an account.
 * @param account - Name of the account.
 * @param count - Number of groups.
 */
export function getQuotaGroupIndex(account: string, count: number): number {
  return hash32(account) % count;
}
