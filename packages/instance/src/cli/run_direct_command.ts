import process from 'node:process';
import {
  createLineLogger,
  createTracing,
  RealTimerService,
  TraceExporter,
} from '@primrosestage/common';
import {loadDirectSettings, loadDirectState} from '@primrosestage/control';
import {Registry} from 'prom-client';
import {createFileSource} from '../direct/control/file_registry.js';
import {runDirect, type WireNames} from '../direct/index.js';
import {startHopSpan, type StartSpan} from '../telemetry/index.js';

/** Names of the headers and the cookie exchanged with callers and endpoints. */
const WIRE_NAMES: WireNames = {
  requestId: 'primrose-request-id',
  deadlineMs: 'primrose-deadline-ms',
  objectCookie: 'primrose-object',
  stamp: 'primrose-stamp',
  expectedEndpoint: 'primrose-expected-endpoint',
  load: 'primrose-load',
  limit: ['primrose-limit'],
  leaving: ['primrose-leaving'],
  notRun: 'primrose-not-run',
  accountKey: 'primrose-account-key',
  accountName: 'primrose-account',
};

/**
 * Runs an instance that sends requests directly to endpoints, configured by files of the operator.
 * @param file - Path of the settings file.
 * @throws SettingsError if the settings or the state file is invalid.
 */
export async function runDirectCommand(file: string): Promise<void> {
  const {zones, state, metricsAddress, traces, ...settings} =
    loadDirectSettings(file);
  loadDirectState(state);
  const timers = new RealTimerService();
  const logger = createLineLogger({timers, fields: {instance: settings.id}});
  const tracing = createTracing({...traces, instance: settings.id});
  const startSpan: StartSpan = options =>
    startHopSpan({...options, tracer: tracing.tracer});
  const instance = await runDirect({
    settings: {
      ...settings,
      gossipAddress: settings.gossipAddress ?? settings.controlAddress,
      region: zones[settings.zone] ?? '',
      regionsByZone: new Map(Object.entries(zones)),
    },
    source: createFileSource(state, timers),
    names: WIRE_NAMES,
    paths: {directory: '/v1/directory', readiness: '/readyz'},
    registry: new Registry(),
    metricsAddress,
    timers,
    logger,
    random: Math.random,
    startSpan: traces.exporter === TraceExporter.None ? undefined : startSpan,
    formatDirectory: (addresses, ttlMs) =>
      JSON.stringify({addresses, ttlSeconds: ttlMs / 1_000}),
    readCallerLocation: url => ({
      zone: url.searchParams.get('zone') ?? '',
      region: url.searchParams.get('region') ?? '',
    }),
  });
  let isStopping = false;
  process.on('SIGTERM', () => {
    if (isStopping) return;
    isStopping = true;
    void instance.stop().then(async () => {
      await instance[Symbol.asyncDispose]();
      await tracing[Symbol.asyncDispose]();
      await logger[Symbol.asyncDispose]();
      process.exit(0);
    });
  });
}
