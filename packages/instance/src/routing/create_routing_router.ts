import {procedure, router} from '../rpc/index.js';
import type {RoutingTask} from './routing_task.js';

/**
 * Creates the router of the routing calls between instances.
 * @param task - The task that answers the calls.
 * @returns The router with the query `getReport`.
 */
export function createRoutingRouter(task: RoutingTask) {
  return router({getReport: procedure.query(() => task.getReport())});
}

/** Type of the routing router, for clients. */
export type RoutingRouter = ReturnType<typeof createRoutingRouter>;
