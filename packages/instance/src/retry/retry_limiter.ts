import {Step, type TimerService} from '@primrosestage/common';
import {
  createRetryBudget,
  creditFirstAttempt,
  decideRetry,
  type FailedAttempt,
  type RetryBudget,
  RetryObstacle,
  takeToken,
  getServiceKey,
} from '@primrosestage/steering';
import type {RequestContext} from '../request_context.js';
import type {RequestMetrics, ServiceTimes} from '../telemetry/index.js';

/** Configures the retry budgets of an instance. */
export interface RetryLimiterOptions {
  timers: TimerService;
  times: ServiceTimes;
  metrics: RequestMetrics;
}

/** Holds the retry budget of each service; its retries and hedged requests share the budget. */
export class RetryLimiter {
  private readonly budgets = new Map<string, RetryBudget>();

  constructor(private readonly options: RetryLimiterOptions) {}

  /**
   * Credits the service's retry budget for a first attempt.
   * @param ctx - The request's context.
   */
  creditFirstAttempt(ctx: RequestContext): void {
    this.budgets.set(
      getServiceKey(ctx.service),
      creditFirstAttempt(this.getBudget(ctx)),
    );
  }

  /**
   * Decides whether a request may be retried, and takes a token from the budget if so.
   * @param ctx - The request's context.
   * @param step - The step that would retry it.
   * @param attempt - The failed attempt.
   */
  acquireRetry(
    ctx: RequestContext,
    step: Step,
    attempt: Pick<FailedAttempt, 'mayHaveRun' | 'canResend' | 'attempts'>,
  ): boolean {
    const {timers, times, metrics} = this.options;
    const key = getServiceKey(ctx.service);
    const {obstacle, budget} = decideRetry(
      {
        ...attempt,
        requestClass: ctx.requestClass,
        remainingMs: ctx.deadlineAt - timers.now(),
        medianMs: times.getPercentiles(key).medianMs,
      },
      this.getBudget(ctx),
    );
    this.budgets.set(key, budget);
    const labels = {team: ctx.service.team, service: ctx.service.name};
    if (obstacle === RetryObstacle.None) metrics.retries.inc({...labels, step});
    else metrics.retryObstacles.inc({...labels, obstacle});
    return obstacle === RetryObstacle.None;
  }

  /**
   * Takes a token from the retry budget for a hedged request.
   * @param ctx - The request's context.
   * @returns Whether the budget allows it.
   */
  acquireHedge(ctx: RequestContext): boolean {
    const budget = takeToken(this.getBudget(ctx));
    if (!budget) return false;
    this.budgets.set(getServiceKey(ctx.service), budget);
    this.options.metrics.hedges.inc({
      team: ctx.service.team,
      service: ctx.service.name,
    });
    return true;
  }

  private getBudget(ctx: RequestContext): RetryBudget {
    return this.budgets.get(getServiceKey(ctx.service)) ?? createRetryBudget();
  }
}
