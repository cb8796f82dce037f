import {initTRPC} from '@trpc/server';

const t = initTRPC.create();

/** Creates a router of RPC calls between instances. */
export const router = t.router;

/** Starts the definition of an RPC call. */
export const procedure = t.procedure;
