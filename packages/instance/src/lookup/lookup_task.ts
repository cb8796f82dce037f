import type {IncomingMessage, ServerResponse} from 'node:http';
import {getErrorMessage, Step} from '@primrosestage/common';
import type {InstanceInfo, Topology} from '@primrosestage/steering';
import ipaddr from 'ipaddr.js';
import {sendJson} from '../http/index.js';

/** Maps an address prefix to a region. */
export interface Block {
  prefix: string;
  region: string;
}

/** Configures lookups. */
export interface LookupTaskOptions {
  topology: Topology;
  self: InstanceInfo;
  incarnation: number;
  blocks: readonly Block[];
  trustedPeers: readonly string[];
  getTtlSeconds(team: string): number;
  /** Says whether this instance is leaving, and no longer named in answers. */
  isLeaving(): boolean;
  /** Gets the prefix of the keys whose home is an instance. */
  getKeyPrefix(instance: InstanceInfo): string;
}

/** Tells callers which instances to use. */
export class LookupTask {
  constructor(private readonly options: LookupTaskOptions) {}

  /** Answers `GET /v1/lookup?team=T&service=S[&client=IP]`. */
  handle(req: IncomingMessage, res: ServerResponse): void {
    const url = new URL(req.url ?? '/', 'http://instance');
    const service = url.searchParams.get('service') ?? '';
    const team = url.searchParams.get('team') ?? this.getOnlyTeam() ?? '';
    try {
      this.options.topology.getServiceOrThrow(team, service);
    } catch (err) {
      sendJson(res, 404, {
        step: Step.Lookup,
        peer: this.options.self.id,
        message: getErrorMessage(err),
      });
      return;
    }
    const region =
      this.getRegion(this.getClientAddress(req, url)) ??
      this.options.self.region;
    sendJson(res, 200, {
      ttlSeconds: this.options.getTtlSeconds(team),
      instances: this.rankInstances(region).map(instance => ({
        id: instance.id,
        url: `http://${instance.publicAddress}/v1/requests/${team}/${service}`,
        incarnation: this.options.incarnation,
        keyPrefix: this.options.getKeyPrefix(instance),
      })),
    });
  }

  private getOnlyTeam(): string | undefined {
    const teams = new Set(this.options.topology.services.map(s => s.team));
    return teams.size === 1 ? [...teams][0] : undefined;
  }

  private getClientAddress(req: IncomingMessage, url: URL): string {
    const peer = req.socket.remoteAddress ?? '';
    const named = url.searchParams.get('client');
    const isTrusted = this.options.trustedPeers.includes(peer);
    return named !== null && isTrusted ? named : peer;
  }

  private getRegion(client: string): string | undefined {
    if (!ipaddr.isValid(client)) return undefined;
    const address = ipaddr.process(client);
    return this.options.blocks.find(({prefix}) => {
      const [range, bits] = ipaddr.parseCIDR(prefix);
      return address.kind() === range.kind() && address.match(range, bits);
    })?.region;
  }

  private rankInstances(region: string): InstanceInfo[] {
    const {topology, self, isLeaving} = this.options;
    const rank = (instance: InstanceInfo) =>
      instance.region === region ? 0 : 1;
    return topology.instances
      .filter(({id}) => id !== self.id || !isLeaving())
      .sort((a, b) => rank(a) - rank(b));
  }
}
