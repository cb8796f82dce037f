import type http from 'node:http';
import type {TimerService} from '@primrosestage/common';
import {useLingeringClose} from '../../http/lingering_close.js';
import {guardConnections} from './connection_guard.js';
import {leaveBodies} from './http_servers.js';
import type {LimitReport} from './limit_report.js';

/** Idle timeout of connections to all servers other than the callers' one, in milliseconds. */
const IDLE_TIMEOUT_MS = 5_000;

/** A listener beside that of callers. */
export interface AuxiliaryListener {
  /** Its name in metrics and log lines. */
  name: string;
  server: http.Server;
  /** Its address, `host:port`; undefined if it is not opened. */
  address: string | undefined;
  maxConnections: number;
  /** Whether its requests have bodies. */
  hasBodies: boolean;
}

/** Configures the opening of listeners. */
export interface OpenListenersOptions {
  report: LimitReport;
  timers: TimerService;
  /** Starts listening, and waits until the address can be used. */
  startListening: (server: http.Server, address: string) => Promise<boolean>;
}

/**
 * Limits the connections of listeners and opens them.
 * @param listeners - The listeners.
 * @param options - How they are opened.
 */
export async function openAuxiliaryListeners(
  listeners: readonly AuxiliaryListener[],
  {report, timers, startListening}: OpenListenersOptions,
): Promise<void> {
  const opened = listeners.map(async listener => {
    const {name, server, address, maxConnections, hasBodies} = listener;
    server.keepAliveTimeout = IDLE_TIMEOUT_MS;
    if (!hasBodies) leaveBodies(server);
    useLingeringClose(server, timers);
    guardConnections(server, {listener: name, maxConnections, report});
    if (address !== undefined) await startListening(server, address);
  });
  await Promise.all(opened);
}
