import {Gauge, type Registry} from 'prom-client';
import type {RoutingTask} from './routing_task.js';

/**
 * Registers the metrics of routing; values are read when the metrics are collected.
 * @param task - The task.
 * @param registry - The registry of the instance.
 */
export function registerRoutingMetrics(
  task: RoutingTask,
  registry: Registry,
): void {
  const registers = [registry];
  const share = new Gauge({
    name: 'primrose_share',
    help: 'Traffic weight of a target region.',
    labelNames: ['service', 'source', 'target'],
    registers,
    // The registry collects metrics in order of registration, so this first one sets all values.
    collect() {
      const status = task.getStatus();
      for (const entry of status.shares) {
        const labels = {service: entry.service, source: entry.sourceRegion};
        shift.set(labels, entry.shift);
        spilled.set(labels, entry.spilled);
        for (const [target, weight] of Object.entries(entry.shares)) {
          share.set({...labels, target}, weight);
        }
      }
      for (const {service, region, freeSlots, ageMs} of status.headroom) {
        if (ageMs !== null) free.set({service, region}, freeSlots);
      }
      for (const {from, to, use, used} of status.links) {
        link.set({from, to, use}, used);
      }
      refused.set(status.refused);
    },
  });
  const shift = new Gauge({
    name: 'primrose_shift',
    help: 'Traffic moved in the last shift interval, as total variation.',
    labelNames: ['service', 'source'],
    registers,
  });
  const spilled = new Gauge({
    name: 'primrose_spilled',
    help: 'Fraction of requests that left their selected region in the last shift interval.',
    labelNames: ['service', 'source'],
    registers,
  });
  const free = new Gauge({
    name: 'primrose_region_free_slots',
    help: 'Free slots of a service in a region by the last measurement.',
    labelNames: ['service', 'region'],
    registers,
  });
  const link = new Gauge({
    name: 'primrose_link_used',
    help: 'Used part of this instance’s bucket of a direction of a link.',
    labelNames: ['from', 'to', 'use'],
    registers,
  });
  const refused = new Gauge({
    name: 'primrose_selection_refused',
    help: 'Requests for which shares, caps and links allowed no target.',
    registers,
  });
}
