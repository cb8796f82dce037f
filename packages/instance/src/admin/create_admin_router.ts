import {z} from 'zod';
import {procedure, router} from '../rpc/index.js';
import type {InstanceStatus} from './instance_status.js';

/**
 * Creates the RPC router of the administration task.
 * @param getStatus - Gets this instance's status of a team.
 * @returns The router with the query `getStatus`.
 */
export function createAdminRouter(getStatus: (team: string) => InstanceStatus) {
  return router({
    getStatus: procedure
      .input(z.object({team: z.string()}))
      .query(({input}) => getStatus(input.team)),
  });
}

/** Router type of the administration task, for clients. */
export type AdminRouter = ReturnType<typeof createAdminRouter>;
