import type http from 'node:http';
import v8 from 'node:v8';
import {
  createHttpServer,
  type EventLogger,
  type TimerService,
} from '@primrosestage/common';
import {
  ControlView,
  createStopSchedule,
  EndpointNotices,
  type MemberInfo,
  MemberTable,
  planResources,
  type StopSchedule,
} from '@primrosestage/steering';
import type {Registry} from 'prom-client';
import {ConnectionTracker} from '../http/connection_tracker.js';
import {parseAddress} from '../http/parse_address.js';
import {createRpcHandler} from '../rpc/index.js';
import type {StartSpan} from '../telemetry/hop_span.js';
import {Announcer} from './control/announcer.js';
import {BodyBuffers} from './listen/body_buffers.js';
import {
  type AuxiliaryListener,
  openAuxiliaryListeners,
} from './listen/auxiliary_listeners.js';
import {BodySegments} from './listen/body_segments.js';
import {createGarbageCollector, DiscardedBuffers} from './discarded_buffers.js';
import type {ControlSource} from './control/control_source.js';
import {createChangeHandler} from './control/create_change_handler.js';
import {createLimitControl} from './limits/create_limit_control.js';
import {ControlSync} from './control/control_sync.js';
import {QuotaGate} from './limits/quota_gate.js';
import {ConfigurationLag} from './control/configuration_lag.js';
import {createDirectMetrics} from './direct_metrics.js';
import type {DirectSettings} from './direct_settings.js';
import {EndpointAgent} from './send/endpoint_agent.js';
import {EndpointSelector} from './place/endpoint_selector.js';
import {EventLoopMonitor} from './event_loop_monitor.js';
import {logLateExchanges} from './control/exchange_log.js';
import {Gossip} from './control/gossip.js';
import {GossipSocket} from './control/gossip_socket.js';
import {NoticeTracker} from './place/notice_tracker.js';
import {createPeerRouter, PeerExchange} from './control/peer_exchange.js';
import {CALLER_LISTENER} from './listen/caller_connections.js';
import {handleClientErrors} from './listen/client_errors.js';
import {guardConnections} from './listen/connection_guard.js';
import {LimitReport} from './listen/limit_report.js';
import {retryWhileTaken} from './listen/retry_while_taken.js';
import {QUIET_PERIOD_MS, runPlannedStop} from './listen/planned_stop.js';
import {
  createDirectoryServer,
  createMetricsServer,
  createReadinessServer,
} from './listen/http_servers.js';
import {UtilizationMeter} from './control/utilization_meter.js';
import {ViewExpiry} from './control/view_expiry.js';
import {ResponseBuffers} from './send/response_buffers.js';
import {RetryBudgets} from './send/retry_budgets.js';
import {RequestHandler} from './listen/request_handler.js';
import {RequestLog} from './listen/request_log.js';
import {RequestStartQueue} from './listen/request_start_queue.js';
import type {ServicePaths, WireNames} from './wire_names.js';

const SWEEP_INTERVAL_MS = 250;
/** Interval of the log lines about the use of rate limits, in milliseconds. */
const LIMIT_REPORT_INTERVAL_MS = 5_000;
/** Idle timeout of callers' connections until the configuration sets one, in milliseconds. */
const DEFAULT_IDLE_TIMEOUT_MS = 60_000;
/**
 * Time for which a started instance assumes that it has not discovered all others yet, in
 * milliseconds.
 */
const PEER_DISCOVERY_TIMEOUT_MS = 30_000;

/** Configures an instance. */
export interface DirectOptions {
  settings: DirectSettings;
  source: ControlSource;
  names: WireNames;
  paths: ServicePaths;
  /** Registry of the metrics. */
  registry: Registry;
  /** Address of the metrics, `host:port`. */
  metricsAddress?: string;
  timers: TimerService;
  logger: EventLogger;
  /** Returns a random number in [0, 1). */
  random: () => number;
  /** Starts spans; undefined if tracing is off. */
  startSpan?: StartSpan;
  /** Formats the addresses as the body of a directory response. */
  formatDirectory: (addresses: string[], ttlMs: number) => string;
  /** Reads the zone and region of a directory caller from its URL. */
  readCallerLocation: (url: URL) => {zone: string; region: string};
}

/** A running instance. */
export interface DirectInstance extends AsyncDisposable {
  /** Stops without interrupting a request. */
  stop(): Promise<void>;
  /**
   * Applies the settings that may change while the instance runs: bounds and seeds.
   * @param settings - The settings that were read again.
   */
  reload(settings: DirectSettings): void;
}

/**
 * Runs an instance that sends requests directly to endpoints. It relies on endpoints to refuse only
 * requests that they have not run.
 * @param options - Settings, registry and formats.
 * @returns The running instance.
 */
export async function runDirect(
  options: DirectOptions,
): Promise<DirectInstance> {
  const {timers, logger, names, source} = options;
  const settings = {
    ...options.settings,
    bounds: {...options.settings.bounds},
  };
  const metrics = createDirectMetrics(options.registry);
  const view = new ControlView(settings.bounds.drainMs);
  const plan = planResources(
    settings.machine,
    v8.getHeapStatistics().heap_size_limit,
  );
  const limitReport = new LimitReport(logger, metrics, timers);
  const agent = new EndpointAgent(undefined, plan.maxEndpointConnections);
  let stopSchedule: StopSchedule | undefined;
  let servingSince: number | undefined;
  const isReady = () =>
    !stopSchedule && servingSince !== undefined && callerServer.listening;
  const disposal = new AbortController();
  const open = (address: string, openSocket: () => Promise<void>) =>
    retryWhileTaken(openSocket, {
      address,
      timers,
      logger,
      signal: disposal.signal,
    });
  const startListening = (server: http.Server, address: string) =>
    open(address, () => listen(server, address));
  const utilizationMeter = new UtilizationMeter();
  const announcer = new Announcer(settings, timers);
  const self = (): MemberInfo =>
    announcer.create({
      minBornAt: members.minOwnBornAt,
      isServing: isReady(),
      isFollowing: sync.isFollowing,
      openRequests: selector.averageOpenRequests,
      utilization: utilizationMeter.utilization,
    });
  const members: MemberTable = new MemberTable(self);
  const {controlAddress, seedAddresses} = settings;
  if (seedAddresses.some(seed => seed !== controlAddress)) {
    members.markMembershipUnknown(timers.now() + PEER_DISCOVERY_TIMEOUT_MS);
  }
  const limitControl = createLimitControl({
    settings,
    view,
    members,
    timers,
    logger,
    metrics,
    getServingSince: () => servingSince ?? Infinity,
    send: (message, address) => gossip.sendDirect(message, address),
    announce: () => gossip.announceLimits(),
  });
  const {limits, tracker: limitTracker, permits} = limitControl;
  const quotas = new QuotaGate({
    id: settings.id,
    gossipAddress: settings.gossipAddress,
    view,
    members,
    getTolerance: () => settings.bounds.quota,
    timers,
    logger,
    metrics,
    random: options.random,
    send: (message, address) => gossip.sendDirect(message, address),
  });
  const notices = new EndpointNotices();
  const noticeTracker = new NoticeTracker({notices, timers, logger, metrics});
  const selector: EndpointSelector = new EndpointSelector(
    settings,
    view,
    members,
    {permits, notices},
    timers,
  );
  const callerServer = createHttpServer({requestTimeout: 0});
  guardConnections(callerServer, {
    listener: CALLER_LISTENER,
    maxConnections: plan.maxCallerConnections,
    report: limitReport,
  });
  const bodyBuffers = new BodyBuffers({
    maxBytes: plan.maxBodyBytes,
    reservedBytes: plan.reservedBodyBytes,
  });
  const discardedBuffers = new DiscardedBuffers(
    plan.maxUncollectedBytes,
    createGarbageCollector(),
  );
  bodyBuffers.handleReleased = bytes => discardedBuffers.add(bytes);
  const handler = new RequestHandler(callerServer, {
    plan,
    report: limitReport,
    view,
    selector,
    limitTracker,
    permits,
    noticeTracker,
    retryBudgets: new RetryBudgets(settings.bounds, members, timers),
    agent,
    quotas,
    bodyBuffers,
    headBuffers: new BodyBuffers({
      maxBytes: plan.maxHeadBytes,
      reservedBytes: 0,
    }),
    bodySegments: new BodySegments(),
    discardedBuffers,
    responseBuffers: new ResponseBuffers(plan.maxResponseBytes),
    startQueue: new RequestStartQueue(timers),
    timers,
    names,
    metrics,
    log: new RequestLog(logger),
    getStopSchedule: () => stopSchedule,
    startSpan: options.startSpan,
    random: options.random,
  });
  callerServer.keepAliveTimeout = DEFAULT_IDLE_TIMEOUT_MS;
  handleClientErrors(callerServer, handler, logger);
  const viewExpiry = new ViewExpiry({view, timers, logger});
  const apply = createChangeHandler({
    view,
    callerServer,
    timers,
    logger,
    metrics,
    broadcast: (since, delta) => gossip.broadcastChanges(since, delta),
    broadcastCorrections: () => gossip.broadcastCorrections(),
    handleLapse: () => viewExpiry.schedule(),
    handleComplete: () => void startServing(),
  });
  let hasStartedServing = false;
  // While the port is closed, callers are refused and try another instance at once.
  const startServing = async () => {
    if (hasStartedServing) return;
    hasStartedServing = true;
    const isOpen = await startListening(callerServer, settings.callerAddress);
    if (!isOpen) return;
    servingSince = timers.now();
    logger.info('serving', {
      configuration: view.configuration?.version,
      revision: view.revision,
      endpoints: view.endpointTable.size,
    });
  };
  const sync: ControlSync = new ControlSync({
    source,
    view,
    members,
    self,
    isSystemStart: settings.isSystemStart,
    timers,
    logger,
    metrics,
    apply,
  });
  const configurationLag = new ConfigurationLag({
    getVersion: () => view.configuration?.version ?? 0,
    isFollowing: () => sync.isFollowing,
    timers,
    logger,
    metrics,
  });
  const peerExchange: PeerExchange = new PeerExchange({
    view,
    members,
    limits,
    mergeLimits: shared => limitTracker.merge(shared),
    self,
    timers,
    logger,
    metrics,
    apply,
    recordPeerRevision: revision => sync.recordPeerRevision(revision),
  });
  const gossip: Gossip = new Gossip({
    socket: new GossipSocket(settings.gossipAddress, err =>
      gossip.handleError(err),
    ),
    exchange: peerExchange,
    view,
    members,
    limits,
    mergeLimits: shared => limitTracker.merge(shared),
    self,
    countHeartbeat: () => announcer.countHeartbeat(),
    getSeedAddresses: () => settings.seedAddresses,
    timers,
    logger,
    metrics,
    random: options.random,
    apply,
    receivePermit: message => limitControl.receive(message),
    receiveQuota: message => quotas.receive(message),
    recordPeerRevision: revision => sync.recordPeerRevision(revision),
    configurationLag,
  });
  const controlServer = createHttpServer(
    {},
    logLateExchanges(
      createRpcHandler(
        createPeerRouter(message => peerExchange.receive(message)),
      ),
      {timers, logger},
    ),
  );
  const tracker = new ConnectionTracker(callerServer, {
    timers,
    closeIdleMs: QUIET_PERIOD_MS,
    close: connection => handler.closeLingering(connection),
  });
  const auxiliaryListeners: AuxiliaryListener[] = [
    {
      name: 'readiness',
      server: createReadinessServer(isReady),
      address: settings.readinessAddress,
      maxConnections: plan.maxAuxiliaryConnections,
      hasBodies: false,
    },
    {
      name: 'directory',
      server: createDirectoryServer({...options, settings, members, metrics}),
      address: settings.directoryAddress,
      maxConnections: plan.maxDirectoryConnections,
      hasBodies: false,
    },
    {
      name: 'control',
      server: controlServer,
      address: settings.controlAddress,
      maxConnections: plan.maxControlConnections,
      hasBodies: true,
    },
    {
      name: 'metrics',
      server: createMetricsServer(options.registry, logger),
      address: options.metricsAddress,
      maxConnections: plan.maxAuxiliaryConnections,
      hasBodies: false,
    },
  ];
  await openAuxiliaryListeners(auxiliaryListeners, {
    report: limitReport,
    timers,
    startListening,
  });
  const subscriptions = [
    new EventLoopMonitor({
      timers,
      logger,
      metrics,
      getAcceptedConnections: () => limitReport.getAccepted(CALLER_LISTENER),
    }),
    timers.every(SWEEP_INTERVAL_MS, () => {
      viewExpiry.run();
      configurationLag.update();
      for (const id of members.expire(timers.now())) {
        logger.info('instance forgotten', {peer: id});
      }
      selector.sweep();
      utilizationMeter.sample();
      for (const [service, count] of selector.popularObjectCounts) {
        metrics.popularObjects.set({service}, count);
      }
      handler.sweep();
      limitTracker.prune(view.endpointTable);
      noticeTracker.prune(view.endpointTable);
      permits.prune();
      quotas.sweep();
    }),
    timers.every(LIMIT_REPORT_INTERVAL_MS, () => {
      limitTracker.reportUse(view.endpointTable);
      quotas.reportUse();
    }),
  ];
  await open(settings.gossipAddress, () => gossip.start());
  sync.start();
  logger.info('instance started', {
    zone: settings.zone,
    bornAt: self().bornAt,
  });
  return {
    reload: ({bounds, seedAddresses}) => {
      // Components share the object of the bounds, so its fields are replaced.
      Object.assign(settings.bounds, bounds);
      settings.seedAddresses = seedAddresses;
    },
    stop: async () => {
      stopSchedule = createStopSchedule(
        timers.now(),
        settings.bounds.stopTimeoutMs,
      );
      await runPlannedStop({
        tracker,
        timers,
        logger,
        schedule: stopSchedule,
        getOpenRequests: () => handler.openRequests,
        endUnfinished: () => handler.endUnfinished(),
        announce: () => gossip.announce(),
      });
    },
    [Symbol.asyncDispose]: async () => {
      disposal.abort();
      for (const subscription of subscriptions) {
        await subscription[Symbol.asyncDispose]();
      }
      viewExpiry[Symbol.dispose]();
      await limitReport[Symbol.asyncDispose]();
      await gossip[Symbol.asyncDispose]();
      permits[Symbol.dispose]();
      quotas[Symbol.dispose]();
      await peerExchange[Symbol.asyncDispose]();
      await sync[Symbol.asyncDispose]();
      agent.destroy();
      for (const server of [
        callerServer,
        ...auxiliaryListeners.map(({server}) => server),
      ]) {
        server.closeAllConnections();
        if (server.listening) server.close();
      }
    },
  };
}

function listen(server: http.Server, address: string): Promise<void> {
  const {host, port} = parseAddress(address);
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen({host, port, backlog: 1_024}, () => {
      server.off('error', reject);
      resolve();
    });
  });
}
