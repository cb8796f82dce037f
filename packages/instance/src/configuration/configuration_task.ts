import {
  getErrorMessage,
  Invariant,
  type InvariantMonitor,
  type Logger,
  type TimerService,
} from '@primrosestage/common';
import {
  ChangeCommitter,
  CommitOutcome,
  type CommitResult,
  type ConfigurationView,
  type DocumentChange,
  type Drain,
  type InitialPresets,
  parseTeamDocument,
  type Preset,
  type Store,
  type StoreEntry,
  TEAM_KEY_PREFIX,
  type TeamDocument,
} from '@primrosestage/control';
import {
  type AppliedDocument,
  chooseWatchers,
  computeDigest,
  ConfigurationSource,
  type ConfigurationState,
  findNewerTeams,
  getRevisions,
  type Hash64,
  type InstanceInfo,
  reduceConfiguration,
  type Topology,
} from '@primrosestage/steering';
import type {
  PullMessage,
  PushMessage,
  TeamUpdate,
} from './configuration_messages.js';
import type {ConfigurationPeers} from './configuration_peers.js';
import {createConfigurationRouter} from './configuration_router.js';
import {loadDocuments} from './load_documents.js';
import {pushThroughTree} from './push_through_tree.js';
import {watchStore} from './watch_store.js';

/** Interval of pulls from a random peer while no digests arrive. */
const RANDOM_PULL_INTERVAL_MS = 1_000;
/** Time without a digest after which pulls from random peers start. */
const DIGEST_TIMEOUT_MS = 5_000;
/** Minimum interval between pulls from one peer; the digest of an outdated peer differs too. */
const MIN_PULL_INTERVAL_MS = 500;
const MAX_TRACKED_PULLS = 8_192;
/** Time that the second watcher waits for the push of the first one. */
const SECOND_WATCHER_DELAY_MS = 300;
const LOAD_RETRY_DELAY_MS = 500;
/** Number of peers to pull from if the store is unavailable at start. */
const LOAD_PEER_COUNT = 3;

/** Configures the configuration task. */
export interface ConfigurationTaskOptions {
  self: InstanceInfo;
  topology: Topology;
  /** Teams with their initial presets from the settings. */
  teams: ReadonlyArray<InitialPresets & {name: string}>;
  store: Store;
  peers: ConfigurationPeers;
  timers: TimerService;
  hash: Hash64;
  monitor: InvariantMonitor;
  logger: Logger;
  /** Gets the live instances, including this one. */
  getLiveInstances: () => readonly InstanceInfo[];
  /** Returns a random integer from 0 up to, but not including, the bound. */
  randomInt: (bound: number) => number;
}

/** The configuration in force at this instance. */
export interface ConfigurationStatus {
  revision: number;
  /** Name of the preset in force. */
  active: string;
  /** Time since the document came into force here, in milliseconds. */
  ageMs: number;
  source: ConfigurationSource;
  drains: readonly Drain[];
}

/** Holds the team documents in force and synchronizes them with the store and other instances. */
export class ConfigurationTask implements ConfigurationView, AsyncDisposable {
  private state: ConfigurationState<TeamDocument> = new Map();
  private drains: readonly Drain[] = [];
  private readonly abort = new AbortController();
  private readonly committer: ChangeCommitter;
  /** Highest revision per team that this instance received from a peer or pushed itself. */
  private readonly disseminatedRevisions = new Map<string, number>();
  private readonly lastPullAtByPeer = new Map<string, number>();
  private lastDigestAt = -Infinity;
  private backgroundTasks: Promise<unknown> = Promise.resolve();

  constructor(private readonly options: ConfigurationTaskOptions) {
    this.committer = new ChangeCommitter(options);
  }

  /**
   * Starts to load, watch and pull documents in the background.
   * @returns A promise that resolves after the first load attempt, whether or not it succeeded.
   */
  async start(): Promise<void> {
    const {signal} = this.abort;
    const {store, timers, logger} = this.options;
    const firstAttempt = this.load();
    this.backgroundTasks = Promise.all([
      firstAttempt.then(isLoaded => (isLoaded ? undefined : this.retryLoad())),
      watchStore({
        store,
        timers,
        logger,
        signal,
        isWatcher: () => this.getWatcherRank() >= 0,
        handleEntry: entry => void this.handleEntry(entry),
      }),
      this.pullPeriodically(),
    ]);
    await firstAttempt;
  }

  /** Returns whether every team has a document in force. */
  isReady(): boolean {
    return this.options.teams.every(({name}) => this.state.has(name));
  }

  getPreset(team: string): Preset | undefined {
    const document = this.getDocument(team);
    return document?.presets[document.active];
  }

  getDrains(): readonly Drain[] {
    return this.drains;
  }

  /** Gets the document in force; one received from a peer has no change identifiers. */
  getDocument(team: string): TeamDocument | undefined {
    return this.state.get(team)?.document;
  }

  /** Gets the status of a team's document, such as its revision and age. */
  getStatus(team: string): ConfigurationStatus | undefined {
    const applied = this.state.get(team);
    return applied && toStatus(applied, this.options.timers.now());
  }

  /** Gets the digest of all revisions in force, which heartbeats carry. */
  getDigest(): string {
    return computeDigest(getRevisions(this.state), this.options.hash);
  }

  /**
   * Handles the digest of another instance and pulls from it if the digests differ.
   * @param instanceId - Id of the sender.
   * @param digest - Digest of the sender's documents.
   */
  handleDigest(instanceId: string, digest: string): void {
    const nowMs = this.options.timers.now();
    this.lastDigestAt = nowMs;
    if (digest === this.getDigest()) return;
    const lastPullAt = this.lastPullAtByPeer.get(instanceId) ?? -Infinity;
    if (nowMs - lastPullAt < MIN_PULL_INTERVAL_MS) return;
    // Bounds the map, as ids of replaced instances accumulate. Pulling too early is harmless.
    if (this.lastPullAtByPeer.size > MAX_TRACKED_PULLS)
      this.lastPullAtByPeer.clear();
    this.lastPullAtByPeer.set(instanceId, nowMs);
    void this.pull(instanceId);
  }

  /**
   * Commits an operator's change; an accepted one takes effect at this instance immediately.
   * @param team - Name of the team.
   * @param change - The change.
   * @returns The result of the commit.
   */
  async commit(team: string, change: DocumentChange): Promise<CommitResult> {
    const result = await this.committer.commit(team, change);
    const hasDocument =
      result.outcome === CommitOutcome.Accepted ||
      result.outcome === CommitOutcome.Conflict;
    if (hasDocument)
      this.apply(team, result.document, ConfigurationSource.Change);
    return result;
  }

  /** Creates the router of the RPC calls that other instances make. */
  createRouter() {
    return createConfigurationRouter(this);
  }

  /** Applies a pushed document and forwards it to the subtree of this instance. */
  handlePush(message: PushMessage): void {
    const {team, document, rest} = message;
    this.recordDissemination(team, document.revision);
    this.apply(team, document, ConfigurationSource.Push);
    void pushThroughTree(this.options.peers, {team, document}, rest);
  }

  /** Returns the documents that have a higher revision at this instance. */
  handlePull(message: PullMessage): TeamUpdate[] {
    const teams = findNewerTeams(getRevisions(this.state), message.revisions);
    return teams.flatMap(team => this.createUpdate(team) ?? []);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.abort.abort();
    await this.backgroundTasks;
  }

  private apply(
    team: string,
    value: unknown,
    source: ConfigurationSource,
  ): void {
    const {timers, logger, monitor} = this.options;
    const document = parseTeamDocument(value);
    if (!document) {
      logger.error('invalid team document; keeping the last valid one', {
        team,
        source,
      });
      return;
    }
    const before = this.getDocument(team)?.revision ?? 0;
    const next = reduceConfiguration(
      this.state,
      {team, document, source},
      timers.now(),
    );
    if (next === this.state) return;
    this.state = next;
    this.drains = [...next.values()].flatMap(
      applied => applied.document.drains,
    );
    const {revision, active} = document;
    const details = {team, before, revision, source};
    monitor.check(Invariant.RevisionIncreases, revision > before, details);
    logger.info('configuration in force', {...details, active});
  }

  private load(): Promise<boolean> {
    const {store, logger, teams} = this.options;
    return loadDocuments({
      store,
      logger,
      teams,
      getDocument: team => this.getDocument(team),
      apply: (team, value, source) => {
        this.apply(team, value, source);
        this.recordDissemination(team, this.getDocument(team)?.revision ?? 0);
      },
      pullFromPeers: async () => {
        const peers = Array.from({length: LOAD_PEER_COUNT}, () =>
          this.pickRandomPeer(),
        );
        await Promise.all(
          [...new Set(peers)].map(peer => peer && this.pull(peer)),
        );
      },
    });
  }

  private async retryLoad(): Promise<void> {
    const {signal} = this.abort;
    while (!signal.aborted && !this.isReady()) {
      await this.options.timers.sleep(LOAD_RETRY_DELAY_MS, signal);
      if (signal.aborted || (await this.load())) return;
    }
  }

  private async pullPeriodically(): Promise<void> {
    const {timers} = this.options;
    const {signal} = this.abort;
    while (!signal.aborted) {
      await timers.sleep(RANDOM_PULL_INTERVAL_MS, signal);
      const areDigestsMissing =
        timers.now() - this.lastDigestAt > DIGEST_TIMEOUT_MS;
      const peer =
        areDigestsMissing && !signal.aborted
          ? this.pickRandomPeer()
          : undefined;
      if (peer) await this.pull(peer);
    }
  }

  private async pull(instanceId: string): Promise<void> {
    const {peers, logger} = this.options;
    try {
      const revisions = getRevisions(this.state);
      for (const {team, document} of await peers.pull(instanceId, {
        revisions,
      })) {
        this.recordDissemination(team, document.revision);
        this.apply(team, document, ConfigurationSource.Pull);
      }
    } catch (err) {
      logger.debug('pull failed', {
        peer: instanceId,
        message: getErrorMessage(err),
      });
    }
  }

  /** Applies a document from the watch and pushes it to the zone if no other instance has. */
  private async handleEntry({key, value}: StoreEntry): Promise<void> {
    if (value === null) return;
    const {timers, peers} = this.options;
    const team = key.slice(TEAM_KEY_PREFIX.length);
    this.apply(team, value, ConfigurationSource.Store);
    if (this.isDisseminated(team)) return;
    if (this.getWatcherRank() !== 0) {
      await timers.sleep(SECOND_WATCHER_DELAY_MS, this.abort.signal);
    }
    const update = this.createUpdate(team);
    if (!update || this.isDisseminated(team) || this.abort.signal.aborted)
      return;
    this.recordDissemination(team, update.document.revision);
    const ids = this.getZoneInstanceIds().filter(
      id => id !== this.options.self.id,
    );
    await pushThroughTree(peers, update, ids);
  }

  private createUpdate(team: string): TeamUpdate | undefined {
    const document = this.getDocument(team);
    return document && {team, document: {...document, changes: []}};
  }

  private isDisseminated(team: string): boolean {
    const revision = this.getDocument(team)?.revision ?? 0;
    return revision <= (this.disseminatedRevisions.get(team) ?? 0);
  }

  private recordDissemination(team: string, revision: number): void {
    const before = this.disseminatedRevisions.get(team) ?? 0;
    this.disseminatedRevisions.set(team, Math.max(before, revision));
  }

  /** Returns 0 for the first watcher of the zone, 1 for the second, -1 for other instances. */
  private getWatcherRank(): number {
    const {self, hash} = this.options;
    return chooseWatchers(self.zone, this.getZoneInstanceIds(), hash).indexOf(
      self.id,
    );
  }

  private getZoneInstanceIds(): string[] {
    const {self, getLiveInstances} = this.options;
    const ids = getLiveInstances()
      .filter(({zone}) => zone === self.zone)
      .map(({id}) => id);
    return ids.includes(self.id) ? ids : [...ids, self.id];
  }

  private pickRandomPeer(): string | undefined {
    const {topology, self, randomInt} = this.options;
    const others = topology.instances.filter(({id}) => id !== self.id);
    return others.length === 0
      ? undefined
      : others[randomInt(others.length)]?.id;
  }
}

function toStatus(
  {document, source, appliedAt}: AppliedDocument<TeamDocument>,
  nowMs: number,
): ConfigurationStatus {
  const {revision, active, drains} = document;
  return {
    revision,
    active,
    drains,
    source,
    ageMs: Math.round(nowMs - appliedAt),
  };
}
