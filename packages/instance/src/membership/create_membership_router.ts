import {z} from 'zod';
import {procedure, router} from '../rpc/index.js';
import {type Envelope, ENVELOPE_SCHEMA} from './membership_schema.js';

/** Handles the control calls of membership. */
export interface MembershipHandlers {
  /** Handles a heartbeat or goodbye and returns its acknowledgement. */
  receive(envelope: Envelope): Envelope;
  /** Returns whether this instance can reach another one. */
  canReach(address: string): Promise<boolean>;
}

/**
 * Creates the router of the control calls of membership.
 * @param handlers - Their handlers.
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

/** Router of a peer, as far as membership calls it. */
export type MembershipPeerRouter = ReturnType<
  typeof router<{membership: ReturnType<typeof createMembershipRouter>}>
>;
