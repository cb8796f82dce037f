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
import {AnswerCache, type LookupAnswer} from './answer_cache.js';
import {rankInstances} from './rank_instances.js';

/**
 * Time for which an answer is sent again, in milliseconds. Callers keep answers for seconds, so
 * that this adds little to the age of what they use.
 */
const ANSWER_VALID_MS = 100;

/** Most query strings that are kept parsed. */
const MAX_PARSED_QUERIES = 1024;

/** Most client addresses whose region is kept; parsing an address costs more than all else here. */
const MAX_KNOWN_CLIENTS = 4096;

/** Configures lookups. */
export interface LookupTaskOptions {
  topology: Topology;
  self: InstanceInfo;
  timers: TimerService;
  blocks: BlockTable;
  trustedPeers: readonly string[];
  getTtlSeconds(team: string): number;
  /** Gets what this instance believes of another one. */
  getLiveness(instanceId: string): Liveness;
  isDrained(instance: InstanceInfo): boolean;
  /** Gets the start time of an instance, or undefined where it was never heard. */
  getIncarnation(instanceId: string): number | undefined;
  /** Gets the prefix of an instance's idempotency keys, or undefined where it was never heard. */
  getKeyPrefix(instanceId: string): string | undefined;
}

interface Query {
  team: string;
  service: string;
  client: string | undefined;
}

/** Tells callers which instances to use. */
export class LookupTask {
  private readonly answers = new AnswerCache(ANSWER_VALID_MS);
  private readonly queries = new Map<string, Query>();
  private readonly regions = new Map<string, string>();
  private readonly onlyTeam: string | undefined;

  constructor(private readonly options: LookupTaskOptions) {
    const teams = new Set(options.topology.services.map(({team}) => team));
    this.onlyTeam = teams.size === 1 ? [...teams][0] : undefined;
  }

  /** Answers `GET /v1/lookup?team=T&service=S[&client=IP]`. */
  handle(req: IncomingMessage, res: ServerResponse): void {
    const query = this.parseQuery(req.url ?? '/');
    let answer: LookupAnswer | undefined;
    try {
      answer = this.getAnswer(query, this.getClientAddress(req, query));
    } catch (err) {
      sendJson(res, 404, {
        step: Step.Lookup,
        peer: this.options.self.id,
        message: getErrorMessage(err),
      });
      return;
    }
    if (!answer) return void res.destroy();
    res.writeHead(200, answer.headers);
    res.end(answer.body);
  }

  /** Changes the block table. */
  setBlock(block: Block): void {
    this.options.blocks.set(block);
    this.regions.clear();
  }

  /** Removes a block from the block table. */
  deleteBlock(prefix: string): void {
    this.options.blocks.delete(prefix);
    this.regions.clear();
  }

  private getAnswer(query: Query, client: string): LookupAnswer | undefined {
    const {topology, timers} = this.options;
    const {team, service} = query;
    const region = this.getRegion(client);
    const key = `${team}/${service}/${region}`;
    return this.answers.getAnswer(key, timers.now(), () => {
      topology.getServiceOrThrow(team, service);
      return rankInstances({...this.options, region}).map(instances => ({
        ttlSeconds: this.options.getTtlSeconds(team),
        instances: instances.map(instance =>
          this.describe(instance, team, service),
        ),
      }));
    });
  }

  private getRegion(client: string): string {
    const known = this.regions.get(client);
    if (known !== undefined) return known;
    const {blocks, self} = this.options;
    const region = blocks.getRegion(client) ?? self.region;
    if (this.regions.size >= MAX_KNOWN_CLIENTS) this.regions.clear();
    this.regions.set(client, region);
    return region;
  }

  private describe(instance: InstanceInfo, team: string, service: string) {
    const {id, publicAddress} = instance;
    return {
      id,
      url: `http://${publicAddress}/v1/requests/${team}/${service}`,
      incarnation: this.options.getIncarnation(id),
      keyPrefix: this.options.getKeyPrefix(id),
    };
  }

  private parseQuery(url: string): Query {
    const known = this.queries.get(url);
    if (known) return known;
    const {searchParams} = new URL(url, 'http://instance');
    const query = {
      team: searchParams.get('team') ?? this.onlyTeam ?? '',
      service: searchParams.get('service') ?? '',
      client: searchParams.get('client') ?? undefined,
    };
    if (this.queries.size >= MAX_PARSED_QUERIES) this.queries.clear();
    this.queries.set(url, query);
    return query;
  }

  private getClientAddress(req: IncomingMessage, query: Query): string {
    const peer = req.socket.remoteAddress ?? '';
    const isTrusted = this.options.trustedPeers.includes(peer);
    return query.client !== undefined && isTrusted ? query.client : peer;
  }
}
