import {type ConnectFunction, createAgent} from '@primrosestage/common';
import type {InstanceInfo, MembershipMessage} from '@primrosestage/steering';
import type {TRPCClient} from '@trpc/client';
import {createPeerClient} from '../rpc/index.js';
import type {MembershipPeerRouter} from './create_membership_router.js';
import type {Envelope} from './membership_schema.js';

/** Makes the RPC calls of membership to other instances. */
export class MembershipPeers implements Disposable {
  private readonly agent;
  private readonly clients = new Map<
    string,
    TRPCClient<MembershipPeerRouter>
  >();

  /**
   * Creates the clients' connection pool.
   * @param connect - Opens connections.
   * @param timeoutMs - Timeout of a call in milliseconds.
   */
  constructor(
    connect: ConnectFunction,
    private readonly timeoutMs: number,
  ) {
    this.agent = createAgent({connect});
  }

  /**
   * Sends a message and returns the acknowledgement.
   * @throws StepError if the target does not respond in time.
   */
  async send(
    target: InstanceInfo,
    message: MembershipMessage,
    payload: unknown,
  ): Promise<Envelope> {
    const client = this.getClient(target.internalAddress);
    return client.membership.ping.mutate({message, payload});
  }

  /** Returns whether this instance can reach another one. */
  async canReach(address: string): Promise<boolean> {
    try {
      return await this.getClient(address).membership.probe.query();
    } catch {
      return false;
    }
  }

  /**
   * Returns whether an instance is reachable from another one, for indirect probes.
   * @throws StepError if the instance given as `via` does not respond in time.
   */
  async canReachVia(via: InstanceInfo, address: string): Promise<boolean> {
    const client = this.getClient(via.internalAddress);
    return client.membership.reach.mutate({address});
  }

  [Symbol.dispose](): void {
    this.agent.destroy();
  }

  private getClient(address: string): TRPCClient<MembershipPeerRouter> {
    const cached = this.clients.get(address);
    if (cached) return cached;
    const client = createPeerClient<MembershipPeerRouter>({
      address,
      agent: this.agent,
      timeoutMs: this.timeoutMs,
    });
    this.clients.set(address, client);
    return client;
  }
}
