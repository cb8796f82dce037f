import {procedure, router} from '../rpc/index.js';
import type {RoutingTask} from './routing_task.js';

/**
 * Creates the control calls of routing.
 * @param task - The task that answers.
 * @returns The router with the query `getReport`.
 */
export function createRoutingRouter(task: RoutingTask) {
  return router({getReport: procedure.query(() => task.getReport())});
}

/** Types the control calls of routing for clients. */
export type RoutingRouter = ReturnType<typeof createRoutingRouter>;
