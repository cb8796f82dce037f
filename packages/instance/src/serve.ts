import {randomInt} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {
  type ConnectFunction,
  connectTcp,
  createAgent,
  createLogger,
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
import {createHash64, getCandidates, Liveness} from '@primrosestage/steering';
import {Registry} from 'prom-client';
import {ADMIN_PATH, AdminTask, fetchInstanceStatus} from './admin/index.js';
import {
  ConfigurationTask,
  createRpcPeers,
  registerConfigurationMetrics,
} from './configuration/index.js';
import {listen, sendJson} from './http/index.js';
import {IngressTask} from './ingress/index.js';
import {LookupTask} from './lookup/index.js';
import {OwnerTask} from './owner/index.js';
import {
  createRoutingRouter,
  fetchRoutingReport,
  registerRoutingMetrics,
  RoutingTask,
} from './routing/index.js';
import {createRpcHandler, router, RPC_PATH} from './rpc/index.js';

/** Replaces parts of an instance, for failure tests. */
export interface ServeOptions {
  /** Opens all outgoing connections. */
  connect?: ConnectFunction;
  /** Creates the store; the platform's one where absent. */
  createStore?: (timers: TimerService) => Store;
}

/**
 * Starts an instance.
 * @param settings - Checked settings.
 * @param options - Parts to replace.
 * @returns The running instance; disposal shuts it down gracefully.
 */
export async function serve(
  settings: LoadedSettings,
  options: ServeOptions = {},
): Promise<AsyncDisposable> {
  const stack = new AsyncDisposableStackShim();
  const {system, instance} = settings;
  const topology = buildTopology(system);
  const self = topology.getInstanceOrThrow(instance.id);
  const connect = options.connect ?? connectTcp;
  const timers = new RealTimerService();
  const logger = createLogger({
    level: instance.log.level,
    fields: {instance: self.id},
  });
  const registry = new Registry();
  const monitor = new InvariantMonitor(logger, registry);
  const hash = await createHash64();
  const owner = stack.use(
    new OwnerTask({
      topology,
      self,
      hash,
      timers,
      progressTimeoutMs: system.timing.progressTimeoutMs,
      connect,
    }),
  );
  const controlAgent = createAgent({connect});
  stack.use({[Symbol.asyncDispose]: async () => controlAgent.destroy()});
  const store =
    options.createStore?.(timers) ??
    stack.use(new HttpStore({...system.store, connect, timers}));
  const configuration = stack.use(
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
      getLiveInstances: () => topology.instances,
      drawInt: bound => randomInt(bound),
    }),
  );
  registerConfigurationMetrics(configuration, system.teams, registry);
  await configuration.start();
  const routing = stack.use(
    new RoutingTask({
      topology,
      self,
      ownership: {
        getOwner: id => {
          const endpoint = topology.getEndpoint(id);
          if (!endpoint) return undefined;
          return getCandidates(endpoint, topology.instances, hash)[0];
        },
        getLimit: id => topology.getEndpoint(id)?.slots ?? 0,
      },
      configuration,
      timers,
      monitor,
      random: Math.random,
      getLiveness: () => Liveness.Live,
      getReportedFree: () => undefined,
      getMemberCount: region => topology.getInstancesOfRegion(region).length,
      fetchReport: peer => fetchRoutingReport(peer, controlAgent),
    }),
  );
  registerRoutingMetrics(routing, registry);
  await routing.loadPeerShares();
  const ingress = stack.use(
    new IngressTask({
      parse: {
        topology,
        self,
        timers,
        defaultDeadlineMs: system.timing.defaultDeadlineMs,
        maxRequestMs: system.timing.maxRequestMs,
      },
      topology,
      self,
      hash,
      owner,
      timers,
      logger,
      progressTimeoutMs: system.timing.progressTimeoutMs,
      connect,
    }),
  );
  const lookup = new LookupTask({
    topology,
    self,
    incarnation: timers.wallNow(),
    blocks: system.blocks,
    trustedPeers: system.trustedPeers,
    getTtlSeconds: team =>
      configuration.getPreset(team)?.lookupTtlSeconds ?? 10,
  });
  const isReady = () => configuration.isReady();
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
      routing: createRoutingRouter(routing),
      configuration: configuration.createRouter(),
      admin: admin.createRouter(),
    }),
  );
  const handlePublic = (req: IncomingMessage, res: ServerResponse) => {
    const url = req.url ?? '/';
    if (url.startsWith('/v1/lookup')) lookup.handle(req, res);
    else if (url.startsWith('/v1/requests/')) void ingress.handle(req, res);
    else if (url === '/healthz') sendJson(res, 200, {healthy: true});
    else if (url === '/readyz')
      sendJson(res, isReady() ? 200 : 503, {ready: isReady()});
    else sendJson(res, 404, {message: `no resource ${url}`});
  };
  const handleAdmin = async (req: IncomingMessage, res: ServerResponse) => {
    if (req.url?.startsWith(ADMIN_PATH)) return admin.handle(req, res);
    if (req.url !== '/metrics') {
      sendJson(res, 404, {message: `no resource ${req.url}`});
      return;
    }
    const text = await registry.metrics();
    res.writeHead(200, {'content-type': registry.contentType}).end(text);
  };
  stack.use(await listen({address: self.publicAddress, handle: handlePublic}));
  stack.use(
    await listen({
      address: self.internalAddress,
      handle: (req, res) => {
        if (req.url?.startsWith(RPC_PATH)) handleRpc(req, res);
        else void ingress.handle(req, res);
      },
    }),
  );
  stack.use(
    await listen({
      address: self.adminAddress,
      handle: (req, res) => void handleAdmin(req, res),
    }),
  );
  logger.info('instance started', {
    zone: self.zone,
    publicAddress: self.publicAddress,
    violations: monitor.violationCount,
  });
  return stack;
}

/** Disposes resources in reverse order of their creation; Node.js 20 has no AsyncDisposableStack. */
class AsyncDisposableStackShim implements AsyncDisposable {
  private readonly resources: AsyncDisposable[] = [];

  use<T extends AsyncDisposable>(resource: T): T {
    this.resources.push(resource);
    return resource;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const resource of this.resources.reverse()) {
      await resource[Symbol.asyncDispose]();
    }
  }
}
