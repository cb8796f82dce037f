import type {RequestListener} from 'node:http';
import type {AnyRouter} from '@trpc/server';
import {createHTTPHandler} from '@trpc/server/adapters/standalone';

/** Path prefix of RPC calls on the internal listener. */
export const RPC_PATH = '/rpc/';

/**
 * Creates the handler of RPC calls for the internal listener.
 * @param appRouter - The router that merges the routers of all tasks.
 * @returns The handler for paths under `RPC_PATH`.
 */
export function createRpcHandler(appRouter: AnyRouter): RequestListener {
  return createHTTPHandler({router: appRouter, basePath: RPC_PATH});
}
