import {randomInt} from 'node:crypto';
import {
  type ConnectFunction,
  connectTcp,
  createAgent,
  createLogger,
  createTracing,
  InvariantMonitor,
  RealTimerService,
  type TimerService,
} from '@primrosestage/common';
import {
  buildTopology,
  HttpStore,
  type LoadedSettings,
  type Store,
} from '@primrosestage/control';
import {
  BlockTable,
  createHash64,
  getServiceKey,
  Liveness,
  Phase,
} from '@primrosestage/steering';
import {collectDefaultMetrics, Registry} from 'prom-client';
import {ADMIN_PATH, AdminTask, fetchInstanceStatus} from './admin/index.js';
import {
  ConfigurationTask,
  createRpcPeers,
  registerConfigurationMetrics,
} from './configuration/index.js';
import {DisposalStack} from './disposal/index.js';
import {type HeartbeatPayload, PeerHeartbeats} from './heartbeat/index.js';
import {createAdminHandler, createPublicHandler, listen} from './http/index.js';
import {LookupTask} from './lookup/index.js';
import {MembershipTask} from './membership/index.js';
import {createGuardedOwnership} from './owner/index.js';
import {createLinkPacer} from './relay/index.js';
import {createRequestPath, type RequestPath} from './request_path/index.js';
import {
  createRoutingRouter,
  fetchRoutingReport,
  registerRoutingMetrics,
  RoutingTask,
} from './routing/index.js';
import {createRpcHandler, router, RPC_PATH} from './rpc/index.js';
import {runShutdown} from './shutdown/index.js';

/** Lookup TTL while the team document is not loaded, in seconds. */
const DEFAULT_LOOKUP_TTL_SECONDS = 10;

/** Overrides dependencies of an instance, for failure tests. */
export interface ServeOptions {
  /** Opens all outgoing connections. */
  connect?: ConnectFunction;
  /** Creates the store; defaults to the store of the platform. */
  createStore?: (timers: TimerService) => Store;
}

/**
 * Starts an instance.
 * @param settings - Validated settings.
 * @param options - Dependencies to override.
 * @returns The running instance; disposal shuts it down gracefully.
 */
export async function serve(
  settings: LoadedSettings,
  options: ServeOptions = {},
): Promise<AsyncDisposable> {
  const stack = new DisposalStack();
  const {system, instance} = settings;
  const {timing} = system;
  const topology = buildTopology(system);
  const self = topology.getInstanceOrThrow(instance.id);
  const connect = options.connect ?? connectTcp;
  const timers = new RealTimerService();
  const incarnation = Math.floor(timers.wallNow());
  const logger = createLogger({
    level: instance.log.level,
    fields: {instance: self.id},
  });
  const registry = new Registry();
  collectDefaultMetrics({register: registry});
  const monitor = new InvariantMonitor(logger, registry);
  const hash = await createHash64();
  const tracing = stack.use(
    createTracing({...instance.traces, instance: self.id}),
  );
  const controlAgent = createAgent({connect});
  stack.defer(() => controlAgent.destroy());
  const store =
    options.createStore?.(timers) ??
    stack.use(new HttpStore({...system.store, connect, timers}));

  let isLeaving = false;
  const getPayload = (): HeartbeatPayload => ({
    keyPrefix: requestPath.homes.getKeyPrefix(),
    digest: configuration.getDigest(),
    freeSlots: Object.fromEntries(
      topology.services.map(service => [
        getServiceKey(service),
        requestPath.owner.getFreeSlots(service),
      ]),
    ),
  });
  const membership: MembershipTask = stack.use(
    new MembershipTask({
      topology,
      self,
      incarnation,
      hash,
      timing,
      timers,
      logger,
      connect,
      readPlatformList: () => store.listInstances(),
      getPayload,
      handlePayload: (peerId, payload) =>
        peerHeartbeats.receive(peerId, payload),
      getInFlight: endpoint => requestPath.owner.getInFlight(endpoint),
    }),
  );
  const peerHeartbeats: PeerHeartbeats = new PeerHeartbeats({
    timers,
    getIncarnation: id => membership.getIncarnation(id),
    handleDigest: (peerId, digest) =>
      configuration.handleDigest(peerId, digest),
  });
  const getLiveInstances = () => [
    self,
    ...membership.members
      .map(({info}) => info)
      .filter(({id}) => membership.getLiveness(id) === Liveness.Live),
  ];
  const configuration: ConfigurationTask = stack.use(
    new ConfigurationTask({
      self,
      topology,
      teams: system.teams,
      store,
      peers: createRpcPeers({topology, agent: controlAgent}),
      timers,
      hash,
      monitor,
      logger,
      getLiveInstances,
      randomInt: bound => randomInt(bound),
    }),
  );
  registerConfigurationMetrics(configuration, system.teams, registry);
  const ownership = createGuardedOwnership({
    ownership: membership,
    topology,
    timers,
    mayEarlierRequestsRun: id => membership.mayEarlierRequestsRun(id),
    getLoadReport: id => requestPath.owner.getLoadReport(id),
    getInFlight: endpoint => requestPath.owner.getInFlight(endpoint),
  });
  const routing = stack.use(
    new RoutingTask({
      topology,
      self,
      ownership,
      configuration,
      timers,
      monitor,
      random: Math.random,
      getLiveness: id => membership.getLiveness(id),
      getReportedFreeSlots: (id, service) =>
        peerHeartbeats.getReportedFreeSlots(id, service),
      getInstanceCount: region => topology.getInstancesOfRegion(region).length,
      fetchReport: peer => fetchRoutingReport(peer, controlAgent),
    }),
  );
  registerRoutingMetrics(routing, registry);
  const requestPath: RequestPath = stack.use(
    createRequestPath({
      topology,
      self,
      incarnation,
      timing,
      ownership,
      selector: routing,
      configuration,
      hash,
      timers,
      logger,
      registry,
      monitor,
      tracer: tracing.tracer,
      connect,
      getLiveInstances,
      pace: createLinkPacer(routing.links, self.region, timers),
    }),
  );
  const {ingress, homes, tracker} = requestPath;
  const lookup = new LookupTask({
    topology,
    self,
    timers,
    blocks: BlockTable.build(system.blocks),
    trustedPeers: system.trustedPeers,
    getTtlSeconds: team =>
      configuration.getPreset(team)?.lookupTtlSeconds ??
      DEFAULT_LOOKUP_TTL_SECONDS,
    getLiveness: id => {
      if (id !== self.id) return membership.getLiveness(id);
      return isLeaving ? Liveness.Leaving : Liveness.Live;
    },
    isDrained: peer => routing.isInstanceDrained(peer),
    getIncarnation: id => membership.getIncarnation(id),
    getKeyPrefix: id =>
      id === self.id ? homes.getKeyPrefix() : peerHeartbeats.getKeyPrefix(id),
  });
  const isReady = () =>
    configuration.isReady() && membership.phase === Phase.Active && !isLeaving;
  const admin = new AdminTask({
    self,
    topology,
    teams: system.teams,
    configuration,
    timers,
    logger,
    isReady,
    getShares: name =>
      routing.getStatus().shares.filter(({team}) => team === name),
    getHeadroom: name =>
      routing.getStatus().headroom.filter(({team}) => team === name),
    fetchStatus: (peer, team) => fetchInstanceStatus(peer, team, controlAgent),
  });
  const handleRpc = createRpcHandler(
    router({
      membership: membership.createRouter(),
      configuration: configuration.createRouter(),
      routing: createRoutingRouter(routing),
      keys: homes.createRouter(),
      admin: admin.createRouter(),
    }),
  );

  const listeners: AsyncDisposable[] = [];
  stack.use({
    [Symbol.asyncDispose]: async () => {
      await Promise.all(listeners.map(l => l[Symbol.asyncDispose]()));
    },
  });
  await configuration.start();
  await routing.loadPeerShares();
  listeners.push(
    await listen({
      address: self.internalAddress,
      handle: (req, res) => {
        if (req.url?.startsWith(RPC_PATH)) handleRpc(req, res);
        else void ingress.handle(req, res, true);
      },
    }),
  );
  membership.start();
  listeners.push(
    await listen({
      address: self.publicAddress,
      handle: createPublicHandler({
        handleLookup: (req, res) => lookup.handle(req, res),
        handleRequest: (req, res) => void ingress.handle(req, res, false),
        isReady,
      }),
    }),
  );
  listeners.push(
    await listen({
      address: self.adminAddress,
      handle: createAdminHandler({
        registry,
        adminPath: ADMIN_PATH,
        handleAdmin: (req, res) => void admin.handle(req, res),
      }),
    }),
  );
  logger.info('instance started', {
    zone: self.zone,
    publicAddress: self.publicAddress,
    incarnation,
  });
  return {
    [Symbol.asyncDispose]: () =>
      runShutdown({
        steps: {
          markNotReady: () => (isLeaving = true),
          drainCallerConnections: () => tracker.startDraining(),
          announceLeaving: () => membership.announceLeaving(),
          releaseOwnership: () => membership.release(),
          handOverKeys: () => homes.handOver(),
          finishRequests: () => tracker.waitUntilIdle(),
          closeConnections: () => stack[Symbol.asyncDispose](),
        },
        selfId: self.id,
        timers,
        logger,
        monitor,
        drainNoticeMs: timing.drainNoticeMs,
        shutdownTimeoutMs: timing.shutdownTimeoutMs,
        getOpenRequests: () => tracker.activeCount,
      }),
  };
}
