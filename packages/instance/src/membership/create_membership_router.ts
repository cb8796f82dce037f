import {z} from 'zod';
import {procedure, router} from '../rpc/index.js';
import {type Envelope, ENVELOPE_SCHEMA} from './membership_schema.js';

/** Handles the RPC calls of membership. */
export interface MembershipHandlers {
  /** Handles a heartbeat or goodbye and returns its acknowledgement. */
  receive(envelope: Envelope): Envelope;
  /** Returns whether this instance can reach another one. */
  canReach(address: string): Promise<boolean>;
}

/**
 * Creates the RPC router of membership.
 * @param handlers - Handlers of the calls.
 * @returns The router.
 */
export function createMembershipRouter(handlers: MembershipHandlers) {
  return router({
    ping: procedure
      .input(ENVELOPE_SCHEMA)
      .mutation(({input}) => handlers.receive(input)),
    reach: procedure
      .input(z.object({address: z.string()}))
      .mutation(({input}) => handlers.canReach(input.address)),
    probe: procedure.query(() => true),
  });
}

/** The part of a peer's router that membership calls. */
export type MembershipPeerRouter = ReturnType<
  typeof router<{membership: ReturnType<typeof createMembershipRouter>}>
>;
