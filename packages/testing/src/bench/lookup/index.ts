import type {FigureSink} from '../figure.js';
import {measureHttp} from './measure_http.js';
import {measureTable} from './measure_table.js';

/**
 * Measures lookups: the block table by itself and over HTTP.
 * @param sink - Receives the figures.
 */
export async function runLookupBench(sink: FigureSink): Promise<void> {
  await measureTable(sink);
  await measureHttp(sink);
}
