import type http from 'node:http';
import {
  type ConnectFunction,
  createAgent,
  getErrorMessage,
  type InvariantMonitor,
  type Logger,
  Outcome,
  Step,
  type TimerService,
} from '@primrosestage/common';
import {
  formatKeyPrefix,
  getSuccessors,
  type Hash64,
  type IdempotencyKey,
  type InstanceInfo,
  KeyTable,
  parseIdempotencyKey,
  type Topology,
} from '@primrosestage/steering';
import type {AttemptResult} from '../exchange/index.js';
import type {RequestBody} from '../http/index.js';
import {
  type Dispatcher,
  InstanceRole,
  NO_RECORDS_STATUS,
  type RelayTask,
} from '../relay/index.js';
import type {RequestContext} from '../request_context.js';
import {createPeerClient, procedure, router} from '../rpc/index.js';
import {createHandoverMessages} from './handover.js';
import {type HandedOverOptions, HandoverReceiver} from './handover_receiver.js';
import {HANDOVER_SCHEMA, type HandoverMessage} from './handover_schema.js';
import {HomeTask} from './home_task.js';

/** Limits of one table; a full table refuses new keys. */
const MAX_RECORDS = 50_000;
const MAX_BYTES = 128 * 1024 * 1024;
/** Number of successors to try for a key's records; the second is used if the first has failed. */
const MAX_SUCCESSORS = 2;
const HANDOVER_TIMEOUT_MS = 5_000;

/** Configures the routing of requests to the homes of their keys. */
export interface HomeRouterOptions {
  topology: Topology;
  self: InstanceInfo;
  /** Start time of this instance in milliseconds since the Unix epoch. */
  incarnation: number;
  hash: Hash64;
  dispatcher: Dispatcher;
  relay: RelayTask;
  timers: TimerService;
  logger: Logger;
  monitor: InvariantMonitor;
  connect: ConnectFunction;
  /** Gets the instances that may hold records of others. */
  getLiveInstances(): readonly InstanceInfo[];
}

/** Sends requests to the homes of their keys, and runs those whose records this instance holds. */
export class HomeRouter implements AsyncDisposable {
  private readonly tables = new Map<string, KeyTable>();
  private readonly receiver = new HandoverReceiver(options =>
    this.createTable(options),
  );
  private readonly task: HomeTask;
  private readonly agent: http.Agent;
  private readonly ownTable: KeyTable;
  private runningHandover?: Promise<void>;

  constructor(private readonly options: HomeRouterOptions) {
    const {self, incarnation, timers} = options;
    this.task = new HomeTask({...options, selfId: self.id});
    this.agent = createAgent({connect: options.connect});
    this.ownTable = this.createTable({
      home: self.id,
      incarnation,
      startedAt: timers.now(),
    });
    this.tables.set(getTableId(this.ownTable.options), this.ownTable);
  }

  /** Gets the current epoch of this instance's keys. */
  getEpoch(): number {
    return this.ownTable.getEpoch(this.options.timers.now());
  }

  /** Gets the prefix of the keys whose home is this instance. */
  getKeyPrefix(): string {
    const {self, incarnation} = this.options;
    return formatKeyPrefix(self.id, incarnation, this.getEpoch());
  }

  /** Creates the router of the calls that receive a handover. */
  createRouter() {
    return router({
      adoptKeys: procedure
        .input(HANDOVER_SCHEMA)
        .mutation(({input}) => this.receiveHandover(input)),
    });
  }

  /**
   * Sends a caller's request to the home of its key.
   * @param ctx - The request's context, with a key.
   * @param body - Its body.
   * @param signal - Cancels the request.
   */
  async route(
    ctx: RequestContext,
    body: RequestBody,
    signal: AbortSignal,
  ): Promise<AttemptResult> {
    const {topology, relay, self} = this.options;
    const key = parseIdempotencyKey(ctx.idempotencyKey ?? '');
    if (!key) return this.refuseMalformed();
    if (!(await this.waitForHandover(ctx)))
      return this.refuseDuringHandover(ctx);
    const table = this.tables.get(getTableId(key));
    if (table) return this.task.execute(table, key, ctx, body, signal);
    const home = topology.getInstance(key.home);
    if (!home) return this.refuseWithoutRecords(ctx, `no instance ${key.home}`);
    if (home.id === self.id) {
      return this.sendToSuccessors(home, ctx, body, signal, 'restarted');
    }
    const result = await relay.send(home, InstanceRole.Home, ctx, body, signal);
    const {refusal} = result;
    // `not-run` by the relay itself means that no byte reached the home.
    const isUnreachable =
      refusal?.step === Step.Relay && refusal.outcome === Outcome.NotRun;
    return isUnreachable && !signal.aborted
      ? this.sendToSuccessors(home, ctx, body, signal, refusal.message)
      : withoutPromise(result);
  }

  /**
   * Runs a request that another instance sent here as the home of its key.
   * @param ctx - The request's context, with a key.
   * @param body - Its body.
   * @param signal - Cancels the request.
   */
  async executeAsHome(
    ctx: RequestContext,
    body: RequestBody,
    signal: AbortSignal,
  ): Promise<AttemptResult> {
    const {self} = this.options;
    const key = parseIdempotencyKey(ctx.idempotencyKey ?? '');
    if (!key) return this.refuseMalformed();
    if (!(await this.waitForHandover(ctx)))
      return this.refuseDuringHandover(ctx);
    const table = this.tables.get(getTableId(key));
    if (table) return this.task.execute(table, key, ctx, body, signal);
    return key.home === self.id
      ? this.sendToSuccessors(self, ctx, body, signal, 'restarted')
      : this.refuseWithoutRecords(
          ctx,
          `no records of ${key.home}`,
          NO_RECORDS_STATUS,
        );
  }

  /**
   * Hands all records over to a successor after the last request that carries a key has ended.
   * Requests that arrive in the meantime wait and are then forwarded.
   */
  handOver(): Promise<void> {
    this.runningHandover ??= this.runHandover();
    return this.runningHandover;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.task[Symbol.asyncDispose]();
    this.agent.destroy();
  }

  /** Waits for a running handover; false if the request's deadline passes first. */
  private async waitForHandover(ctx: RequestContext): Promise<boolean> {
    if (!this.runningHandover) return true;
    const {timers} = this.options;
    const abort = new AbortController();
    const remainingMs = Math.max(0, ctx.deadlineAt - timers.now());
    const isDone = await Promise.race([
      this.runningHandover.then(() => true),
      timers.sleep(remainingMs, abort.signal).then(() => false),
    ]);
    abort.abort();
    return isDone;
  }

  private refuseDuringHandover(ctx: RequestContext): AttemptResult {
    return this.refuseWithoutRecords(
      ctx,
      'the key records are being handed over',
    );
  }

  private async runHandover(): Promise<void> {
    await this.task.waitUntilIdle();
    for (const [id, table] of this.tables) {
      const isDone = await this.handOverTable(table);
      if (isDone) this.tables.delete(id);
    }
  }

  private async handOverTable(table: KeyTable): Promise<boolean> {
    const {hash, getLiveInstances, timers, logger, self} = this.options;
    const home = {id: table.options.home, region: self.region};
    const successors = getSuccessors(home, getLiveInstances(), hash)
      .filter(({id}) => id !== self.id)
      .slice(0, MAX_SUCCESSORS);
    for (const successor of successors) {
      try {
        for (const message of createHandoverMessages(table, timers.now())) {
          await this.sendMessage(successor, message);
        }
        logger.info('key records handed over', {
          step: Step.Shutdown,
          peer: successor.id,
          home: home.id,
          records: table.size,
        });
        return true;
      } catch (err) {
        logger.warn('handover of key records failed', {
          step: Step.Shutdown,
          peer: successor.id,
          home: home.id,
          message: getErrorMessage(err),
        });
      }
    }
    return false;
  }

  private async sendMessage(
    successor: InstanceInfo,
    message: HandoverMessage,
  ): Promise<void> {
    const client = createPeerClient<AppRouter>({
      address: successor.internalAddress,
      agent: this.agent,
      timeoutMs: HANDOVER_TIMEOUT_MS,
    });
    await client.keys.adoptKeys.mutate(message);
  }

  private receiveHandover(message: HandoverMessage): {isAdopted: true} {
    const table = this.receiver.receive(message, this.options.timers.now());
    if (table) this.tables.set(getTableId(message), table);
    return {isAdopted: true};
  }

  private async sendToSuccessors(
    home: InstanceInfo,
    ctx: RequestContext,
    body: RequestBody,
    signal: AbortSignal,
    reason: string,
  ): Promise<AttemptResult> {
    const {hash, getLiveInstances, relay, self} = this.options;
    const successors = getSuccessors(home, getLiveInstances(), hash)
      .slice(0, MAX_SUCCESSORS)
      .filter(({id}) => id !== self.id);
    for (const successor of successors) {
      if (!body.canSend() || signal.aborted) break;
      const result = await relay.send(
        successor,
        InstanceRole.Home,
        ctx,
        body,
        signal,
      );
      if (!hasNoRecords(result, ctx)) return withoutPromise(result);
    }
    return this.refuseWithoutRecords(
      ctx,
      `records of ${home.id} are lost: ${reason}`,
    );
  }

  private createTable(options: HandedOverOptions): KeyTable {
    return new KeyTable({
      ...options,
      maxRecords: MAX_RECORDS,
      maxBytes: MAX_BYTES,
    });
  }

  private refuseMalformed(): AttemptResult {
    return {
      refusal: {
        status: 400,
        outcome: Outcome.NotRun,
        step: Step.Ingress,
        peer: this.options.self.id,
        message:
          'malformed idempotency-key, expected keyPrefix of a lookup answer, a dot and a unique part',
      },
    };
  }

  /**
   * Refuses a request whose key's records are not available. The outcome of a repeat is unknown,
   * because an earlier attempt may have run.
   */
  private refuseWithoutRecords(
    ctx: RequestContext,
    message: string,
    status?: number,
  ): AttemptResult {
    const outcome = ctx.isFirstAttempt ? Outcome.NotRun : Outcome.Unknown;
    return {
      refusal: {
        status: status ?? (ctx.isFirstAttempt ? 503 : 502),
        outcome,
        step: Step.Ingress,
        peer: this.options.self.id,
        message,
      },
    };
  }
}

/** The procedures of an instance's router that a handover calls. */
type AppRouter = ReturnType<
  typeof router<{keys: ReturnType<HomeRouter['createRouter']>}>
>;

/** Returns whether a successor has no records of a key or could not be reached. */
function hasNoRecords(
  {refusal}: AttemptResult,
  {isFirstAttempt}: RequestContext,
): boolean {
  if (!refusal) return false;
  const {status, step, outcome} = refusal;
  if (status !== NO_RECORDS_STATUS) {
    return step === Step.Relay && outcome === Outcome.NotRun;
  }
  // An instance without records states of a first attempt that it has not run.
  return outcome === Outcome.NotRun || !isFirstAttempt;
}

/** Replaces the status of an instance without records where the outcome is unknown. */
function withoutPromise(result: AttemptResult): AttemptResult {
  const {refusal} = result;
  const isPromise =
    refusal?.outcome === Outcome.Unknown &&
    refusal.status === NO_RECORDS_STATUS;
  return isPromise ? {refusal: {...refusal, status: 502}} : result;
}

function getTableId(table: Pick<IdempotencyKey, 'home' | 'incarnation'>) {
  return `${table.home}.${table.incarnation}`;
}
