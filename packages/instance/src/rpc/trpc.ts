import {initTRPC} from '@trpc/server';

const t = initTRPC.create();

/** Creates a router of control calls between instances. */
export const router = t.router;

/** Starts the definition of a control call. */
export const procedure = t.procedure;
