import type {FigureSink} from '../figure.js';
import {measureFleet} from './measure_fleet.js';
import {measureRouting} from './measure_routing.js';

const CURRENT_ZONES = ['n-a', 'n-b', 'e-a', 'e-b', 'w-a', 'w-b'];

/** Zones of 10 regions, 26 in all. */
const PLANNED_ZONES = Array.from(
  {length: 26},
  (_, i) => `r${i % 10}-${'abc'[Math.floor(i / 10)]}`,
);

/** Numbers of instances; the slope tells the cost of one more peer. */
const FLEETS = [
  {instances: 7, zones: CURRENT_ZONES},
  {instances: 52, zones: PLANNED_ZONES},
  {instances: 104, zones: PLANNED_ZONES},
];

/**
 * Measures the cost of control per instance. Each source of cost has a file of its own that
 * records `control.SOURCE.FIGURE.SIZE`.
 * @param sink - Takes the figures.
 */
export async function runControlBench(sink: FigureSink): Promise<void> {
  measureRouting(sink);
  for (const fleet of FLEETS) await measureFleet(sink, fleet);
}
