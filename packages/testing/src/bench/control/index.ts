import type {FigureSink} from '../figure.js';
import {measureIdleInstances} from './measure_idle_instances.js';
import {measureRouting} from './measure_routing.js';

/** Numbers of instances whose idle cost is measured; the slope tells the cost of one more peer. */
const INSTANCE_COUNTS = [7, 21];

/**
 * Measures the cost of control per instance. Each source of cost has a file of its own that
 * records `control.SOURCE.FIGURE.SIZE`.
 * @param sink - Takes the figures.
 */
export async function runControlBench(sink: FigureSink): Promise<void> {
  measureRouting(sink);
  for (const count of INSTANCE_COUNTS) await measureIdleInstances(sink, count);
}
