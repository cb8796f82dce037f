import {randomUUID} from 'node:crypto';
import type {Cluster} from '../cluster/index.js';
import {fetchText, type TextAnswer} from '../http/index.js';
import type {SeededRandom} from '../random/index.js';

const CALL_TIMEOUT_MS = 6_000;
const MAX_ATTEMPTS = 4;

/** Describes a change that the system accepted. */
export interface AcceptedChange {
  revision: number;
  /** Wall-clock time at which the operator received the response. */
  atMs: number;
}

/** Simulates an operator who uses the administration API. */
export class Operator {
  readonly accepted: AcceptedChange[] = [];
  changeAttempts = 0;
  /** Descriptions of responses that contradict each other. */
  readonly contradictions: string[] = [];
  private readonly team: string;

  constructor(
    private readonly cluster: Cluster,
    private readonly random: SeededRandom,
  ) {
    this.team = cluster.settings.teams[0]?.name ?? '';
  }

  /**
   * Makes a change; retries it with the same change id until it is accepted, in at most 4 attempts.
   * @param resource - `active` or `drains`.
   * @param fields - Fields besides `basedOn` and `changeId`.
   * @returns Whether the change was accepted.
   */
  async change(
    resource: string,
    fields: Record<string, unknown>,
  ): Promise<boolean> {
    const changeId = randomUUID();
    for (let i = 0; i < MAX_ATTEMPTS; i++) {
      const basedOn = await this.getRevision();
      if (basedOn === undefined) continue;
      const answer = await this.post(resource, {...fields, basedOn, changeId});
      if (this.recordAccepted(answer) !== undefined) return true;
    }
    return false;
  }

  /** Sends two different changes based on the same revision to random instances. */
  async makeConflictingChanges(): Promise<string> {
    const basedOn = await this.getRevision();
    const names = this.random.sample(['day', 'peak', 'maintenance'], 2);
    const revisions = await Promise.all(
      names.map(async name => {
        const body = {basedOn, changeId: randomUUID(), name};
        const answer = await this.post('active', body);
        return this.recordAccepted(answer);
      }),
    );
    const [first, second] = revisions;
    if (first !== undefined && first === second) {
      this.contradictions.push(
        `two changes based on ${basedOn} were both accepted as ${first}`,
      );
    }
    return `${names.join(' and ')} on revision ${basedOn}: ${revisions.join(' and ')}`;
  }

  private recordAccepted(answer: TextAnswer | undefined): number | undefined {
    if (answer?.status !== 200) return undefined;
    const {revision} = JSON.parse(answer.text) as {revision: number};
    this.accepted.push({revision, atMs: Date.now()});
    return revision;
  }

  private async getRevision(): Promise<number | undefined> {
    const answer = await this.call('GET', 'presets');
    if (answer?.status !== 200) return undefined;
    return (JSON.parse(answer.text) as {revision: number}).revision;
  }

  private post(resource: string, body: unknown) {
    this.changeAttempts++;
    return this.call('POST', resource, body);
  }

  private call(method: string, resource: string, body?: unknown) {
    const {adminAddress} = this.random.pick(this.cluster.topology.instances);
    return fetchText(
      `http://${adminAddress}/admin/v1/teams/${this.team}/${resource}`,
      {
        method,
        body,
        headers: {authorization: `Bearer example-token-${this.team}`},
        timeoutMs: CALL_TIMEOUT_MS,
      },
    );
  }
}
