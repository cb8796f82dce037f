import type http from 'node:http';
import type {InstanceInfo} from '@primrosestage/steering';
import {createPeerClient} from '../rpc/index.js';
import type {RoutingRouter} from './create_routing_router.js';
import {ROUTING_REPORT_SCHEMA, type RoutingReport} from './routing_report.js';

/** Timeout of a call between regions, in milliseconds. */
const CALL_TIMEOUT_MS = 1_000;

interface AppClient {
  routing: {getReport: {query(): Promise<unknown>}};
}

/**
 * Fetches the routing report of an instance.
 * @param instance - The instance.
 * @param agent - Agent that pools the connections.
 * @returns The report, or undefined if the instance does not answer with a valid one.
 */
export async function fetchRoutingReport(
  instance: InstanceInfo,
  agent: http.Agent,
): Promise<RoutingReport | undefined> {
  const client = createPeerClient<RoutingRouter>({
    address: instance.internalAddress,
    agent,
    timeoutMs: CALL_TIMEOUT_MS,
  }) as unknown as AppClient;
  try {
    return ROUTING_REPORT_SCHEMA.parse(await client.routing.getReport.query());
  } catch {
    return undefined;
  }
}
