import type {RequestListener} from 'node:http';
import type {AnyRouter} from '@trpc/server';
import {createHTTPHandler} from '@trpc/server/adapters/standalone';

/** Path prefix of control calls on the internal listener. */
export const RPC_PATH = '/rpc/';

/**
 * Creates the handler of control calls for the internal listener.
 * @param appRouter - The router that merges the routers of all tasks.
 * @returns The handler for paths under `RPC_PATH`.
 */
export function createRpcHandler(appRouter: AnyRouter): RequestListener {
  return createHTTPHandler({router: appRouter, basePath: RPC_PATH});
}
