import type {FigureSink} from '../figure.js';
import {measureFleet} from './measure_fleet.js';
import {measureRouting} from './measure_routing.js';

const CURRENT_ZONES = ['n-a', 'n-b', 'e-a', 'e-b', 'w-a', 'w-b'];

/** The 26 zones in 10 regions that are planned for two years ahead. */
const PLANNED_ZONES = Array.from(
  {length: 26},
  (_, i) => `r${i % 10}-${'abc'[Math.floor(i / 10)]}`,
);

/** Fleet sizes; the slope between them shows the cost of one more peer. */
const FLEETS = [
  {instances: 7, zones: CURRENT_ZONES},
  {instances: 52, zones: PLANNED_ZONES},
  {instances: 104, zones: PLANNED_ZONES},
];

/**
 * Measures the control plane overhead per instance. Each source of overhead is measured in its own
 * file, which records `control.SOURCE.FIGURE.SIZE`.
 * @param sink - Receives the figures.
 */
export async function runControlBench(sink: FigureSink): Promise<void> {
  measureRouting(sink);
  for (const fleet of FLEETS) await measureFleet(sink, fleet);
}
