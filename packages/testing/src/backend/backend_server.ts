import {once} from 'node:events';
import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {HeaderName, Outcome} from '@primrosestage/common';
import {RunEnd, type RunRecord} from '../history/records.js';
import type {SeededRandom} from '../random/index.js';
import {type BackendFaults, NO_BACKEND_FAULTS} from './backend_faults.js';
import {createBody} from './create_body.js';

/** Time after a cold start in which service times fall from 4 times the normal value to it. */
const COLD_START_MS = 8_000;

/** Configures a simulated backend server. */
export interface BackendServerOptions {
  host: string;
  port: number;
  endpointId: string;
  /** Median service time of a request, in milliseconds. */
  serviceMs: number;
  random: SeededRandom;
  onRun: (run: RunRecord) => void;
}

/**
 * Simulates a backend server; it records requests that exceed its slots instead of refusing them.
 */
export class BackendServer implements AsyncDisposable {
  private faults: BackendFaults = {...NO_BACKEND_FAULTS};
  private readonly sockets = new Set<Socket>();
  private readonly silencedSockets = new WeakSet<Socket>();
  private readonly openRuns = new Map<RunRecord, (end: RunEnd) => void>();
  private server?: http.Server;
  private isDraining = false;
  private drainReportedAtMs?: number;
  private coldStartAtMs = 0;
  private inFlightHistory: {atMs: number; inFlight: number}[] = [];

  constructor(private readonly options: BackendServerOptions) {}

  /** Replaces all faults with the given ones. */
  setFaults(faults: Partial<BackendFaults>): void {
    this.faults = {...NO_BACKEND_FAULTS, ...faults};
  }

  /** Sets whether the server reports that it is draining. */
  setDraining(isDraining: boolean): void {
    this.isDraining = isDraining;
    this.drainReportedAtMs = undefined;
  }

  /** Permanently stops answering on the existing connections; new connections work. */
  silenceConnections(): void {
    for (const socket of this.sockets) this.silencedSockets.add(socket);
  }

  /**
   * Starts listening.
   * @param isCold - Whether the first requests take longer.
   */
  async start(isCold = false): Promise<void> {
    if (this.server) return;
    this.coldStartAtMs = isCold ? Date.now() : 0;
    const server = http.createServer((req, res) =>
      this.handleRequest(req, res),
    );
    this.server = server;
    server.keepAliveTimeout = 60_000;
    server.on('connection', socket => {
      this.sockets.add(socket);
      socket.once('close', () => this.sockets.delete(socket));
    });
    server.listen(this.options.port, this.options.host, 1024);
    await once(server, 'listening');
  }

  /** Simulates a process crash: closes all connections and ends all runs without an answer. */
  async crash(): Promise<void> {
    const {server} = this;
    this.server = undefined;
    for (const finish of [...this.openRuns.values()]) finish(RunEnd.Crashed);
    const closed = new Promise(resolve => server?.close(resolve));
    for (const socket of this.sockets) socket.destroy();
    if (server) await closed;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.crash();
  }

  private handleRequest(req: IncomingMessage, res: ServerResponse): void {
    if (this.silencedSockets.has(req.socket)) return;
    if (req.url === '/health') return this.sendHealth(res);
    if (req.url === '/load') return this.sendLoad(res);
    req.resume();
    req.once('end', () => this.runRequest(req, res));
  }

  private sendHealth(res: ServerResponse): void {
    if (this.isDraining) this.drainReportedAtMs ??= Date.now();
    const isHealthy = this.faults.reportedHealth ?? true;
    const status = this.isDraining || !isHealthy ? 503 : 200;
    sendJson(res, status, this.isDraining ? {draining: true} : {});
  }

  private sendLoad(res: ServerResponse): void {
    if (this.isDraining) this.drainReportedAtMs ??= Date.now();
    const nowMs = Date.now();
    const {reportAgeMs, reportedInFlight} = this.faults;
    this.inFlightHistory.push({atMs: nowMs, inFlight: this.openRuns.size});
    this.inFlightHistory = this.inFlightHistory.filter(
      p => p.atMs >= nowMs - 20_000,
    );
    const past = this.inFlightHistory.findLast(
      p => p.atMs <= nowMs - reportAgeMs,
    );
    sendJson(res, 200, {
      inFlight: reportedInFlight ?? past?.inFlight ?? 0,
      queued: 0,
      draining: this.isDraining,
    });
  }

  private runRequest(req: IncomingMessage, res: ServerResponse): void {
    const {random} = this.options;
    if (this.isDraining) res.setHeader(HeaderName.Draining, '1');
    if (random.chance(this.faults.shedFraction)) {
      if (this.isDraining) this.drainReportedAtMs ??= Date.now();
      const id = req.headers[HeaderName.RequestId];
      if (id !== undefined) res.setHeader(HeaderName.RequestId, id);
      res.setHeader(HeaderName.Outcome, Outcome.NotRun);
      sendJson(res, 503, {message: 'no capacity'});
      return;
    }
    if (random.chance(this.faults.closeBeforeRunFraction)) {
      req.socket.destroy();
      return;
    }
    const url = new URL(req.url ?? '/', 'http://backend');
    const run: RunRecord = {
      kind: 'run',
      id: getAttemptId(url.pathname, req),
      key: String(req.headers[HeaderName.IdempotencyKey] ?? ''),
      isIdempotent: req.method === 'GET',
      endpoint: this.options.endpointId,
      startMs: Date.now(),
      endMs: 0,
      end: RunEnd.Complete,
    };
    if (this.drainReportedAtMs !== undefined) {
      run.sinceDrainReportMs = run.startMs - this.drainReportedAtMs;
    }
    const durationMs = this.drawServiceMs();
    const deadlineMs = Number(req.headers[HeaderName.DeadlineMs] ?? Infinity);
    const exceedsDeadline = durationMs > deadlineMs;
    const timer = setTimeout(
      () => {
        if (exceedsDeadline) {
          finish(RunEnd.Deadline);
          req.socket.destroy();
        } else {
          this.sendAnswer(run, url, req, res);
        }
      },
      Math.min(durationMs, deadlineMs),
    );
    const finish = (end: RunEnd) => {
      clearTimeout(timer);
      if (!this.openRuns.delete(run)) return;
      this.options.onRun({...run, endMs: Date.now(), end});
    };
    this.openRuns.set(run, finish);
    res.once('finish', () => finish(RunEnd.Complete));
    res.once('close', () => finish(RunEnd.Cancelled));
  }

  private sendAnswer(
    run: RunRecord,
    url: URL,
    req: IncomingMessage,
    res: ServerResponse,
  ): void {
    const {random, endpointId} = this.options;
    if (this.silencedSockets.has(req.socket)) {
      this.openRuns.get(run)?.(RunEnd.Complete);
      return;
    }
    if (random.chance(this.faults.closeAfterRunFraction)) {
      this.openRuns.get(run)?.(RunEnd.Complete);
      req.socket.destroy();
      return;
    }
    if (this.isDraining) this.drainReportedAtMs ??= Date.now();
    const sizeBytes = Number(url.searchParams.get('bytes') ?? 0);
    const body = sizeBytes
      ? createBody(run.id, sizeBytes)
      : Buffer.from(JSON.stringify({id: run.id, endpoint: endpointId}));
    res.setHeader('content-length', body.length);
    if (random.chance(this.faults.truncateFraction)) {
      res.write(body.subarray(0, body.length / 2), () => req.socket.destroy());
    } else {
      res.end(body);
    }
  }

  private drawServiceMs(): number {
    const ageMs = Date.now() - this.coldStartAtMs;
    const coldFactor = 1 + 3 * Math.max(0, 1 - ageMs / COLD_START_MS);
    const {serviceMs, random} = this.options;
    return (
      random.heavyTail(serviceMs) * this.faults.serviceTimeFactor * coldFactor
    );
  }
}

/** Gets the attempt id from the path or, if that contains only the request id, from the header. */
function getAttemptId(path: string, req: IncomingMessage): string {
  const pathId = path.split('/').at(-1) ?? '';
  if (pathId.includes('~')) return pathId;
  const attempt = String(req.headers[HeaderName.RequestId] ?? '');
  return attempt.startsWith(`${pathId}~`) ? attempt : `${pathId}~unknown`;
}

function sendJson(res: ServerResponse, status: number, body: unknown): void {
  const text = JSON.stringify(body);
  res.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  res.end(text);
}
