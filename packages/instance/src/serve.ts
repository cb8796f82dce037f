import type {IncomingMessage, ServerResponse} from 'node:http';
import {
  type ConnectFunction,
  connectTcp,
  createAgent,
  createLogger,
  createTracing,
  InvariantMonitor,
  RealTimerService,
} from '@primrosestage/common';
import {buildTopology, type LoadedSettings} from '@primrosestage/control';
import {
  BlockTable,
  createHash64,
  type EndpointOwnership,
  Liveness,
} from '@primrosestage/steering';
import {Registry} from 'prom-client';
import {ADMIN_PATH, AdminTask, fetchInstanceStatus} from './admin/index.js';
import {type CreateStore, startConfiguration} from './configuration/index.js';
import {StaticOwnership} from './defaults/index.js';
import {listen, sendJson} from './http/index.js';
import {LookupTask} from './lookup/index.js';
import {createRequestPath} from './request_path/index.js';
import {
  createLinkPacer,
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
  createStore?: CreateStore;
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
  const tracing = stack.use(
    createTracing({...instance.traces, instance: self.id}),
  );
  const incarnation = Math.floor(timers.wallNow());
  const ownership: EndpointOwnership = new StaticOwnership(
    topology,
    self,
    hash,
  );
  const controlAgent = createAgent({connect});
  stack.use({[Symbol.asyncDispose]: async () => controlAgent.destroy()});
  const {configuration} = stack.use(
    await startConfiguration({
      ...options,
      system,
      self,
      topology,
      hash,
      timers,
      logger,
      registry,
      monitor,
      connect,
      agent: controlAgent,
      getLiveInstances: () => topology.instances,
    }),
  );
  const routing = stack.use(
    new RoutingTask({
      topology,
      self,
      ownership,
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
  const requestPath = stack.use(
    createRequestPath({
      topology,
      self,
      incarnation,
      timing: system.timing,
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
      pace: createLinkPacer({links: routing.links, self, timers}),
    }),
  );
  const {ingress, homes} = requestPath;
  const lookup = new LookupTask({
    topology,
    self,
    timers,
    blocks: BlockTable.build(system.blocks),
    trustedPeers: system.trustedPeers,
    getTtlSeconds: team =>
      configuration.getPreset(team)?.lookupTtlSeconds ?? 10,
    getLiveness: () => Liveness.Live,
    isDrained: peer => routing.isInstanceDrained(peer),
    getIncarnation: () => incarnation,
    getKeyPrefix: id => `${id}.${incarnation}.0`,
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
      keys: homes.createRouter(),
      configuration: configuration.createRouter(),
      admin: admin.createRouter(),
    }),
  );
  const handlePublic = (req: IncomingMessage, res: ServerResponse) => {
    const url = req.url ?? '/';
    if (url.startsWith('/v1/lookup')) lookup.handle(req, res);
    else if (url.startsWith('/v1/requests/')) {
      void ingress.handle(req, res, false);
    } else if (url === '/healthz') sendJson(res, 200, {healthy: true});
    else if (url === '/readyz') {
      sendJson(res, isReady() ? 200 : 503, {ready: isReady()});
    } else sendJson(res, 404, {message: `no resource ${url}`});
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
        else void ingress.handle(req, res, true);
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
