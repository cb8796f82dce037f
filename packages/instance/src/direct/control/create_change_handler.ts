import type http from 'node:http';
import type {EventLogger, TimerService} from '@primrosestage/common';
import {
  type ConfigurationDelta,
  type ControlChanges,
  type ControlView,
  createConfigurationDelta,
  EndpointEffect,
  getEra,
  type RouteConfiguration,
  type ViewEffects,
} from '@primrosestage/steering';
import type {DirectMetrics} from '../direct_metrics.js';
import {logEffects} from './log_effects.js';

/**
 * Time beyond the configured idle and header timeouts after which a caller's connection is closed,
 * in milliseconds.
 */
const IDLE_MARGIN_MS = 1_000;

/** Configures the handling of changes of the control state. */
export interface ChangeHandlerOptions {
  view: ControlView;
  /** The server of callers, whose timeouts the configuration sets. */
  callerServer: http.Server;
  timers: TimerService;
  logger: EventLogger;
  metrics: DirectMetrics;
  /**
   * Broadcasts the changes of the view since a revision to other instances, with the change of the
   * configuration if there is one.
   */
  broadcast: (since: number, delta: ConfigurationDelta | undefined) => void;
  /** Broadcasts what this instance holds against the registry's older copy. */
  broadcastCorrections: () => void;
  /** Called after changes with which the grace period of an endpoint has begun. */
  handleLapse: () => void;
  /** Called after each change with which the view is complete. */
  handleComplete: () => void;
}

/** Handles changes that were read from the registry or received from another instance. */
export type ChangeHandler = (changes: ControlChanges, from: string) => void;

/**
 * Creates the handler of changes, which applies them to the view, logs and counts their effects and
 * broadcasts those that come from the registry.
 * @param options - The view and what depends on it.
 */
export function createChangeHandler(
  options: ChangeHandlerOptions,
): ChangeHandler {
  const {view, timers, logger, metrics} = options;
  return (changes, from) => {
    const since = view.revision;
    const before = view.configuration;
    const wasComplete = view.isComplete;
    const effects = view.apply(changes, timers.now());
    logEffects(effects, {view, from, now: timers.now()}, logger);
    countEffects(effects, metrics);
    if (hasLapse(effects)) options.handleLapse();
    if (wasComplete && getEra(view.revision) > getEra(since)) {
      logNewEra(view, {since, from}, logger);
    }
    // Each instance lists only once in an era unless the registry loses its history.
    if (changes.isFromRegistry && changes.isFull) {
      options.broadcastCorrections();
    }
    const isIncremental = changes.isFromRegistry === true && !changes.isFull;
    if (isIncremental && hasEffects(effects)) {
      const after = effects.configuration;
      const delta = before && after && createConfigurationDelta(before, after);
      options.broadcast(since, delta);
    }
    if (view.isComplete) options.handleComplete();
    const {configuration} = effects;
    if (!configuration) return;
    setTimeouts(options.callerServer, configuration);
    metrics.configurationVersion.set(configuration.version);
    metrics.controlChanges.inc({kind: 'configuration'});
    logger.info('configuration in force', {
      version: configuration.version,
      routes: configuration.routes.length,
      revision: changes.revision,
      from,
    });
  };
}

function logNewEra(
  view: ControlView,
  {since, from}: {since: number; from: string},
  logger: EventLogger,
): void {
  const corrections = view.getCorrections();
  logger.warn('registry era changed', {
    era: getEra(view.revision),
    before: getEra(since),
    revision: view.revision,
    endpointsKeptOut: corrections?.endpoints.length ?? 0,
    evacuationsKeptLifted: corrections?.evacuations.length ?? 0,
    from,
    outcome: 'the registry lost its last writes, which must be repeated',
  });
}

function setTimeouts(server: http.Server, {limits}: RouteConfiguration): void {
  server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_MARGIN_MS;
  server.headersTimeout = limits.headerTimeoutMs + IDLE_MARGIN_MS;
}

function countEffects(effects: ViewEffects, metrics: DirectMetrics): void {
  for (const {effect} of effects.endpoints) {
    metrics.controlChanges.inc({kind: `endpoint-${effect}`});
  }
  const {length} = effects.evacuations;
  if (length > 0) metrics.controlChanges.inc({kind: 'evacuation'}, length);
}

function hasLapse({endpoints}: ViewEffects): boolean {
  return endpoints.some(({effect}) => effect === EndpointEffect.Lapsed);
}

function hasEffects(effects: ViewEffects): boolean {
  return (
    effects.configuration !== undefined ||
    effects.endpoints.length > 0 ||
    effects.evacuations.length > 0
  );
}
