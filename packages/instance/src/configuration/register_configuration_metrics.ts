import {Gauge, type Registry} from 'prom-client';
import type {ConfigurationTask} from './configuration_task.js';

/**
 * Registers the metrics of the configuration task.
 * @param task - The configuration task.
 * @param teams - Teams from the settings.
 * @param registry - Registry of the metrics.
 */
export function registerConfigurationMetrics(
  task: ConfigurationTask,
  teams: ReadonlyArray<{name: string}>,
  registry: Registry,
): void {
  new Gauge({
    name: 'primrose_configuration_revision',
    help: 'Revision of the team document in force; 0 where there is none.',
    labelNames: ['team'],
    registers: [registry],
    collect() {
      for (const {name} of teams) {
        this.set({team: name}, task.getStatus(name)?.revision ?? 0);
      }
    },
  });
  new Gauge({
    name: 'primrose_configuration_age_seconds',
    help: 'Time since the team document came into force at this instance.',
    labelNames: ['team'],
    registers: [registry],
    collect() {
      for (const {name} of teams) {
        const status = task.getStatus(name);
        if (status) this.set({team: name}, status.ageMs / 1_000);
      }
    },
  });
}
