import {HeaderName, type TimerService} from '@primrosestage/common';
import type {PeerConnectionPool} from '../exchange/index.js';
import {createBufferedBody} from '../http/index.js';

const MAX_REPORT_BYTES = 16 * 1024;
const EMPTY_BODY = createBufferedBody(Buffer.alloc(0));

/** Holds the load that an endpoint reports. */
export interface LoadReport {
  readonly inFlight: number;
  readonly queued: number;
  readonly draining: boolean;
  /** Time of arrival in monotonic milliseconds. */
  readonly at: number;
}

/** Holds the result of one round of probes. */
export interface ProbeResult {
  readonly isHealthy: boolean;
  /** Whether the answer of `/health` marks the endpoint as draining. */
  readonly isDraining: boolean;
  readonly load?: LoadReport;
}

/**
 * Probes the health and load of an endpoint.
 * @param pool - Connection pool that only probes use.
 * @param timers - The clock.
 * @param timeoutMs - Timeout of each probe in milliseconds.
 */
export async function probeEndpoint(
  pool: PeerConnectionPool,
  timers: TimerService,
  timeoutMs: number,
): Promise<ProbeResult> {
  const health = await sendProbe(pool, timers, '/health', timeoutMs);
  if (!health) return {isHealthy: false, isDraining: false};
  const isDraining =
    health.hasDrainingHeader ||
    (health.status === 503 && health.body.draining === true);
  // A draining endpoint is up; it is excluded from selection because of its drain.
  const isHealthy = (health.status >= 200 && health.status < 300) || isDraining;
  if (!isHealthy) return {isHealthy, isDraining};
  const load = await sendProbe(pool, timers, '/load', timeoutMs);
  return {isHealthy, isDraining, load: parseLoad(load?.body, timers.now())};
}

interface ProbeAnswer {
  status: number;
  hasDrainingHeader: boolean;
  body: Record<string, unknown>;
}

async function sendProbe(
  pool: PeerConnectionPool,
  timers: TimerService,
  path: string,
  timeoutMs: number,
): Promise<ProbeAnswer | undefined> {
  const result = await pool.send({
    method: 'GET',
    path,
    headers: {},
    body: EMPTY_BODY,
    deadlineAt: timers.now() + timeoutMs,
    needsFreshConnection: false,
    signal: new AbortController().signal,
  });
  if (result.err) return undefined;
  const chunks: Buffer[] = [];
  let bytes = 0;
  try {
    for await (const chunk of result.chunks) {
      bytes += chunk.length;
      if (bytes > MAX_REPORT_BYTES) return undefined;
      chunks.push(chunk);
    }
  } catch {
    return undefined;
  }
  return {
    status: result.res.statusCode ?? 0,
    hasDrainingHeader: result.res.headers[HeaderName.Draining] === '1',
    body: parseObject(Buffer.concat(chunks).toString('utf8')),
  };
}

function parseObject(text: string): Record<string, unknown> {
  try {
    const value: unknown = JSON.parse(text);
    return typeof value === 'object' && value !== null
      ? (value as Record<string, unknown>)
      : {};
  } catch {
    return {};
  }
}

function parseLoad(
  body: Record<string, unknown> | undefined,
  now: number,
): LoadReport | undefined {
  if (!body || typeof body.inFlight !== 'number') return undefined;
  return {
    inFlight: body.inFlight,
    queued: typeof body.queued === 'number' ? body.queued : 0,
    draining: body.draining === true,
    at: now,
  };
}
