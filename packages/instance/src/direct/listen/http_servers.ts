import type http from 'node:http';
import {
  createHttpServer,
  type EventLogger,
  type TimerService,
} from '@primrosestage/common';
import type {MemberTable} from '@primrosestage/steering';
import type {Registry} from 'prom-client';
import {chooseInstances} from './choose_instances.js';
import {hasBody} from './read_body.js';
import type {DirectMetrics} from '../direct_metrics.js';
import type {DirectSettings} from '../direct_settings.js';
import type {ServicePaths} from '../wire_names.js';

/** Time for which callers may cache a directory response, in milliseconds. */
const DIRECTORY_TTL_MS = 1_500;

/** Base of the request targets, which have no host. */
const DIRECTORY_BASE = 'http://directory';

/** Configures the server of the directory. */
export interface DirectoryServerOptions {
  settings: DirectSettings;
  members: MemberTable;
  paths: ServicePaths;
  timers: TimerService;
  metrics: DirectMetrics;
  /** Formats the addresses as the body of a response. */
  formatDirectory: (addresses: string[], ttlMs: number) => string;
  /** Reads the zone and region of a caller from its URL. */
  readCallerLocation: (url: URL) => {zone: string; region: string};
}

/**
 * Closes the connection of a request with a body behind its response. The servers on which this is
 * used expect none, and Node.js would read it to its end, however long and costly it is.
 * @param server - A server whose requests have no bodies.
 */
export function leaveBodies(server: http.Server): void {
  server.prependListener('request', (req, res) => {
    if (!hasBody(req)) return;
    res.shouldKeepAlive = false;
    req.socket.pause();
  });
}

/**
 * Creates the server that tells callers which instances to use.
 * @param options - The known instances and the format.
 */
export function createDirectoryServer(
  options: DirectoryServerOptions,
): http.Server {
  const {settings, members, paths, timers, metrics} = options;
  return createHttpServer({}, (req, res) => {
    const url = parseUrl(req.url ?? '/');
    if (url?.pathname !== paths.directory) {
      res.writeHead(404, {'content-length': '0'}).end();
      return;
    }
    const serving = members.getServing(timers.now());
    const addresses = chooseInstances(serving, options.readCallerLocation(url));
    const ttlMs = Math.min(DIRECTORY_TTL_MS, settings.bounds.maxDirectoryTtlMs);
    const body = options.formatDirectory(addresses, ttlMs);
    const status = addresses.length > 0 ? 200 : 503;
    metrics.directoryResponses.inc({status});
    res.writeHead(status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(body),
    });
    res.end(body);
  });
}

/** Parses a request target; returns undefined for one that Node.js reads although it is no URL. */
function parseUrl(target: string): URL | undefined {
  return URL.canParse(target, DIRECTORY_BASE)
    ? new URL(target, DIRECTORY_BASE)
    : undefined;
}

/**
 * Creates the server that responds with 200 while callers may be directed to this instance.
 * @param isReady - Returns whether they may.
 */
export function createReadinessServer(isReady: () => boolean): http.Server {
  return createHttpServer({}, (_req, res) => {
    res.writeHead(isReady() ? 200 : 503, {'content-length': '0'});
    res.end();
  });
}

/**
 * Creates the server of the metrics.
 * @param registry - Registry of the metrics.
 * @param logger - Receives errors.
 */
export function createMetricsServer(
  registry: Registry,
  logger: EventLogger,
): http.Server {
  return createHttpServer({}, (_req, res) => {
    registry.metrics().then(
      text => {
        res.writeHead(200, {'content-type': registry.contentType}).end(text);
      },
      err => {
        logger.error('metrics failed', {reason: String(err)});
        res.writeHead(500).end();
      },
    );
  });
}
