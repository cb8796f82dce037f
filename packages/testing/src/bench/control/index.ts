import type {FigureSink} from '../figure.js';
import {measureFleet} from './measure_fleet.js';
import {measureRouting} from './measure_routing.js';

const ZONES_TODAY = ['n-a', 'n-b', 'e-a', 'e-b', 'w-a', 'w-b'];

/** Zones of 10 regions, 26 in all. */
const ZONES_OF_TWO_YEARS = Array.from(
  {length: 26},
  (_, i) => `r${i % 10}-${'abc'[Math.floor(i / 10)]}`,
);

/** Numbers of instances; the slope tells the cost of one more peer. */
const FLEETS = [
  {instances: 7, zones: ZONES_TODAY},
  {instances: 52, zones: ZONES_OF_TWO_YEARS},
  {instances: 104, zones: ZONES_OF_TWO_YEARS},
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
