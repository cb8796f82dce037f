import type http from 'node:http';
import type {InstanceInfo} from '@primrosestage/steering';
import {createPeerClient} from '../rpc/index.js';
import type {AdminRouter} from './create_admin_router.js';
import {
  INSTANCE_STATUS_SCHEMA,
  type InstanceStatus,
} from './instance_status.js';

/** Longest time of a call between regions, in milliseconds. */
const CALL_TIMEOUT_MS = 1_000;

interface AppClient {
  admin: {getStatus: {query(input: {team: string}): Promise<unknown>}};
}

/**
 * Asks an instance for its status.
 * @param instance - The instance.
 * @param team - Name of the team.
 * @param agent - Pool of connections.
 * @returns The status.
 * @throws StepError when the instance does not answer in time.
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
  }) as unknown as AppClient;
  return INSTANCE_STATUS_SCHEMA.parse(
    await client.admin.getStatus.query({team}),
  );
}
