import type {EventLogger} from '@primrosestage/common';
import type {ClientAccount, QuotaSource} from '@primrosestage/steering';
import type {DirectMetrics} from '../direct_metrics.js';

/** What became of a request of an account with a quota. */
export enum QuotaEvent {
  Granted = 'granted',
  /** It waited for a reply of the coordinator; counted beside its result. */
  Waited = 'waited',
  Denied = 'denied',
}

/** Where the credit of an account comes from. */
export interface QuotaOrigin {
  share: QuotaSource;
  coordinator: string | undefined;
}

interface Use {
  account: ClientAccount;
  granted: number;
  waited: number;
  denied: number;
}

/** Counts the requests of accounts with a quota, and logs those accounts that were denied some. */
export class QuotaUse {
  private readonly uses = new Map<string, Use>();

  constructor(
    private readonly metrics: Pick<DirectMetrics, 'quotas'>,
    private readonly logger: EventLogger,
  ) {}

  /**
   * Counts an event.
   * @param account - The account.
   * @param event - The event.
   */
  count(account: ClientAccount, event: QuotaEvent): void {
    this.metrics.quotas.inc({result: event});
    let use = this.uses.get(account.name);
    if (!use) {
      use = {account, granted: 0, waited: 0, denied: 0};
      this.uses.set(account.name, use);
    }
    use.account = account;
    use[event]++;
  }

  /**
   * Logs the accounts of which requests were denied since the last call.
   * @param getOrigin - Returns where the credit of an account comes from.
   */
  report(getOrigin: (account: string) => QuotaOrigin): void {
    for (const [name, {account, ...counts}] of this.uses) {
      if (counts.denied === 0) continue;
      this.logger.info('quota used', {
        account: name,
        perSecond: account.ratePerSecond,
        ...getOrigin(name),
        ...counts,
      });
    }
    this.uses.clear();
  }
}
