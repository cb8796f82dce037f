import type {ClientAccount} from './client_account.js';
import type {Route} from './route.js';

/** Least urgent priority of a route that is distinguished from others. */
const MAX_PRIORITY = 1_000;

/** How the account of a request was determined. */
export enum AccountStatus {
  /** The deployment has no accounts, so that keys have no meaning. */
  NotUsed = 'not-used',
  /** The request belongs to an account. */
  Known = 'known',
  /** The route is public and the request belongs to no account. */
  Anonymous = 'anonymous',
  /** The route requires an account, and the key is missing or unknown. */
  Unknown = 'unknown',
}

/** The account of a request. */
export type AccountLookup =
  | {readonly status: AccountStatus.Known; readonly account: ClientAccount}
  | {
      readonly status: Exclude<AccountStatus, AccountStatus.Known>;
      readonly account?: undefined;
    };

/** Conditions that the route and the account set for a request together. */
export interface RequestTerms {
  /**
   * Priority under overload; 0 is the most urgent. Requests whose accounts have the same priority
   * are ordered by their routes.
   */
  priority: number;
  /** Regions in which the request may run; empty for all regions, undefined for none. */
  homeRegions: readonly string[] | undefined;
}

/** Finds the accounts of one configuration by their keys, in constant time. */
export class AccountTable {
  private readonly accountsByKey = new Map<string, ClientAccount>();
  private readonly limitedByName = new Map<string, ClientAccount>();

  /**
   * Creates the table.
   * @param accounts - All accounts; undefined in a deployment without accounts.
   */
  constructor(private readonly accounts?: readonly ClientAccount[]) {
    for (const account of accounts ?? []) {
      for (const key of account.keys) this.accountsByKey.set(key, account);
      if (account.ratePerSecond > 0) {
        this.limitedByName.set(account.name, account);
      }
    }
  }

  /** Whether an account has a rate limit. */
  get hasLimits(): boolean {
    return this.limitedByName.size > 0;
  }

  /**
   * Returns an account that has a rate limit.
   * @param name - Name of the account.
   */
  getLimited(name: string): ClientAccount | undefined {
    return this.limitedByName.get(name);
  }

  /**
   * Determines the account of a request.
   * @param key - Key in the request; undefined if it has none.
   * @param route - Route of the request.
   */
  find(key: string | undefined, route: Route): AccountLookup {
    if (!this.accounts) return {status: AccountStatus.NotUsed};
    const account = key === undefined ? undefined : this.accountsByKey.get(key);
    if (account) return {status: AccountStatus.Known, account};
    return {
      status: route.isPublic ? AccountStatus.Anonymous : AccountStatus.Unknown,
    };
  }
}

/**
 * Combines the conditions of a route and an account. The account's priority precedes that of the
 * route, and the home regions of both apply.
 * @param route - The route.
 * @param account - The account; undefined if the request has none.
 */
export function getRequestTerms(
  route: Route,
  account: ClientAccount | undefined,
): RequestTerms {
  return {
    priority: combinePriorities(
      account?.priority ?? route.priority,
      route.priority,
    ),
    homeRegions: intersectRegions(
      route.homeRegions,
      account?.homeRegions ?? [],
    ),
  };
}

function combinePriorities(first: number, second: number): number {
  return first * MAX_PRIORITY + Math.min(second, MAX_PRIORITY - 1);
}

function intersectRegions(
  a: readonly string[],
  b: readonly string[],
): readonly string[] | undefined {
  if (a.length === 0) return b;
  if (b.length === 0) return a;
  const common = a.filter(region => b.includes(region));
  return common.length > 0 ? common : undefined;
}
