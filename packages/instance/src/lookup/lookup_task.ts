import type {IncomingMessage, ServerResponse} from 'node:http';
import {getErrorMessage, Step, type TimerService} from '@primrosestage/common';
import type {
  Block,
  BlockTable,
  InstanceInfo,
  Liveness,
  Topology,
} from '@primrosestage/steering';
import {sendJson} from '../http/index.js';
import {type LookupResponse, ResponseCache} from './response_cache.js';
import {rankInstances} from './rank_instances.js';

/**
 * Time for which a response is reused, in milliseconds. Callers cache responses for seconds, so
 * this adds little to the age of the data that they use.
 */
const RESPONSE_CACHE_TTL_MS = 100;

/** Maximum number of cached parsed query strings. */
const MAX_PARSED_QUERIES = 1024;

/** Maximum number of cached client regions; parsing an address is the costliest step of a lookup. */
const MAX_CACHED_CLIENTS = 4096;

/** Configures lookups. */
export interface LookupTaskOptions {
  topology: Topology;
  self: InstanceInfo;
  timers: TimerService;
  blocks: BlockTable;
  trustedPeers: readonly string[];
  getTtlSeconds(team: string): number;
  /** Gets the liveness of an instance in the view of this one. */
  getLiveness(instanceId: string): Liveness;
  isDrained(instance: InstanceInfo): boolean;
  /** Gets the start time of an instance, or undefined if the instance is unknown. */
  getIncarnation(instanceId: string): number | undefined;
  /** Gets the prefix of an instance's idempotency keys, or undefined if the instance is unknown. */
  getKeyPrefix(instanceId: string): string | undefined;
}

interface Query {
  team: string;
  service: string;
  client: string | undefined;
}

/** Handles lookups, by which callers find the instances to use. */
export class LookupTask {
  private readonly responses = new ResponseCache(RESPONSE_CACHE_TTL_MS);
  private readonly queriesByUrl = new Map<string, Query>();
  private readonly regionsByClient = new Map<string, string>();
  private readonly defaultTeam: string | undefined;

  constructor(private readonly options: LookupTaskOptions) {
    const teams = new Set(options.topology.services.map(({team}) => team));
    this.defaultTeam = teams.size === 1 ? [...teams][0] : undefined;
  }

  /** Handles `GET /v1/lookup?team=T&service=S[&client=IP]`. */
  handle(req: IncomingMessage, res: ServerResponse): void {
    const query = this.parseQuery(req.url ?? '/');
    let response: LookupResponse | undefined;
    try {
      response = this.getResponse(query, this.getClientAddress(req, query));
    } catch (err) {
      sendJson(res, 404, {
        step: Step.Lookup,
        peer: this.options.self.id,
        message: getErrorMessage(err),
      });
      return;
    }
    if (!response) return void res.destroy();
    res.writeHead(200, response.headers);
    res.end(response.body);
  }

  /** Adds or replaces a block in the block table. */
  setBlock(block: Block): void {
    this.options.blocks.set(block);
    this.regionsByClient.clear();
  }

  /** Removes a block from the block table. */
  deleteBlock(prefix: string): void {
    this.options.blocks.delete(prefix);
    this.regionsByClient.clear();
  }

  private getResponse(
    query: Query,
    client: string,
  ): LookupResponse | undefined {
    const {topology, timers} = this.options;
    const {team, service} = query;
    const region = this.getRegion(client);
    const key = `${team}/${service}/${region}`;
    return this.responses.getResponse(key, timers.now(), () => {
      topology.getServiceOrThrow(team, service);
      return rankInstances({...this.options, region}).map(instances => ({
        ttlSeconds: this.options.getTtlSeconds(team),
        instances: instances.map(instance =>
          this.describeInstance(instance, team, service),
        ),
      }));
    });
  }

  private getRegion(client: string): string {
    const cached = this.regionsByClient.get(client);
    if (cached !== undefined) return cached;
    const {blocks, self} = this.options;
    const region = blocks.getRegion(client) ?? self.region;
    if (this.regionsByClient.size >= MAX_CACHED_CLIENTS)
      this.regionsByClient.clear();
    this.regionsByClient.set(client, region);
    return region;
  }

  private describeInstance(
    instance: InstanceInfo,
    team: string,
    service: string,
  ) {
    const {id, publicAddress} = instance;
    return {
      id,
      url: `http://${publicAddress}/v1/requests/${team}/${service}`,
      incarnation: this.options.getIncarnation(id),
      keyPrefix: this.options.getKeyPrefix(id),
    };
  }

  private parseQuery(url: string): Query {
    const cached = this.queriesByUrl.get(url);
    if (cached) return cached;
    const {searchParams} = new URL(url, 'http://instance');
    const query = {
      team: searchParams.get('team') ?? this.defaultTeam ?? '',
      service: searchParams.get('service') ?? '',
      client: searchParams.get('client') ?? undefined,
    };
    if (this.queriesByUrl.size >= MAX_PARSED_QUERIES) this.queriesByUrl.clear();
    this.queriesByUrl.set(url, query);
    return query;
  }

  private getClientAddress(req: IncomingMessage, query: Query): string {
    const peer = req.socket.remoteAddress ?? '';
    const isTrusted = this.options.trustedPeers.includes(peer);
    return query.client !== undefined && isTrusted ? query.client : peer;
  }
}
