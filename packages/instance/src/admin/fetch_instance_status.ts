import type http from 'node:http';
import type {InstanceInfo} from '@primrosestage/steering';
import {createPeerClient} from '../rpc/index.js';
import type {AdminRouter} from './create_admin_router.js';
import {
  INSTANCE_STATUS_SCHEMA,
  type InstanceStatus,
} from './instance_status.js';

/** Timeout of a call, which may cross regions, in milliseconds. */
const CALL_TIMEOUT_MS = 1_000;

interface AdminRpcClient {
  admin: {getStatus: {query(input: {team: string}): Promise<unknown>}};
}

/**
 * Fetches the status of an instance.
 * @param instance - The instance.
 * @param team - Name of the team.
 * @param agent - Connection pool.
 * @returns The status.
 * @throws StepError if the instance does not respond in time.
 */
export async function fetchInstanceStatus(
  instance: InstanceInfo,
  team: string,
  agent: http.Agent,
): Promise<InstanceStatus> {
  const client = createPeerClient<AdminRouter>({
    address: instance.internalAddress,
    agent,
    timeoutMs: CALL_TIMEOUT_MS,
  }) as unknown as AdminRpcClient;
  return INSTANCE_STATUS_SCHEMA.parse(
    await client.admin.getStatus.query({team}),
  );
}
