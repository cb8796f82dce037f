import type {Registry} from 'prom-client';
import {Counter} from 'prom-client';
import type {Logger} from './create_logger.js';
import type {Invariant} from './invariant.js';

/** Checks invariants at run time; a violation is logged and counted, never thrown. */
export class InvariantMonitor {
  private readonly violations: Counter<'name'>;
  private count = 0;

  constructor(
    private readonly logger: Logger,
    registry: Registry,
  ) {
    this.violations = new Counter({
      name: 'primrose_invariant_violations_total',
      help: 'Violations of invariants asserted inside the program; any value above 0 is a fault.',
      labelNames: ['name'],
      registers: [registry],
    });
  }

  /** The number of violations so far. */
  get violationCount(): number {
    return this.count;
  }

  /**
   * Checks one invariant.
   * @param name - The invariant.
   * @param holds - Whether it holds.
   * @param details - Fields for the log line of a violation.
   * @returns Whether it holds.
   */
  check(
    name: Invariant,
    holds: boolean,
    details: Record<string, unknown>,
  ): boolean {
    if (holds) return true;
    this.count++;
    this.violations.inc({name});
    this.logger.error('invariant violated', {invariant: name, ...details});
    return false;
  }
}
