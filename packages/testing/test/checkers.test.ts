import {once} from 'node:events';
import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {describe, expect, it} from 'vitest';
import {BackendServer} from '../src/backend/index.js';
import {type AttemptOptions, sendAttempt} from '../src/callers/index.js';
import {
  type AttemptRecord,
  AttemptResult,
  FindingKind,
  RequestHistory,
  RunEnd,
  type RunRecord,
} from '../src/history/index.js';
import {SeededRandom} from '../src/random/index.js';

const HOST = '127.11.9.1';
const CONTEXT = {
  getSlots: () => 2,
  plannedStops: [],
  drains: [],
  hasOtherFault: () => false,
};

async function startBackend(port: number) {
  const runs: RunRecord[] = [];
  const server = new BackendServer({
    host: HOST,
    port,
    endpointId: 'e1',
    serviceMs: 60,
    random: new SeededRandom(1),
    onRun: run => runs.push(run),
  });
  await server.start();
  return {
    server,
    runs,
    url: `http://${HOST}:${port}`,
    [Symbol.asyncDispose]: () => server[Symbol.asyncDispose](),
  };
}

function createAttempt(url: string, id: string): AttemptOptions {
  return {
    agent: new http.Agent(),
    localAddress: '127.0.0.1',
    url,
    id,
    isIdempotent: false,
    key: `key-${id}`,
    attempt: 1,
    deadlineMs: 5_000,
    sizeBytes: 0,
    readPauseMs: 0,
  };
}

function createRun(id: string): RunRecord {
  return {
    kind: 'run',
    id,
    key: 'k',
    isIdempotent: false,
    endpoint: 'e1',
    startMs: 100,
    endMs: 200,
    end: RunEnd.Complete,
  };
}

function createRecord(id: string, result: AttemptResult): AttemptRecord {
  return {
    kind: 'attempt',
    id,
    key: 'k',
    service: 's',
    zone: 'z',
    isIdempotent: false,
    isLast: true,
    instance: 'i1',
    startMs: 90,
    endMs: 210,
    result,
    status: 503,
    step: '',
    peer: '',
    detail: '',
  };
}

function check(...records: Array<AttemptRecord | RunRecord>): FindingKind[] {
  const history = new RequestHistory();
  for (const record of records) history.add(record);
  return history.summarize(CONTEXT).findings.map(({kind}) => kind);
}

describe('request history', () => {
  it('reports a non-idempotent request that ran in two attempts as a duplicate', () => {
    expect(check(createRun('r1~1'), createRun('r1~2'))).toEqual([
      FindingKind.Duplicate,
    ]);
  });

  it('reports the result not-run as false if the request ran in an earlier attempt with the same key', () => {
    const attempt = createRecord('r1~2', AttemptResult.NotRun);
    expect(check(createRun('r1~1'), attempt)).toEqual([
      FindingKind.FalseNotRun,
    ]);
    expect(check(attempt)).toEqual([]);
  });

  it('reports a run that a drained endpoint began more than 3 s after the change', () => {
    const history = new RequestHistory();
    history.add({...createRun('r1~1'), startMs: 5_100});
    const drain = {endpoint: 'e1', startMs: 2_000, endMs: 9_000};
    const {findings} = history.summarize({...CONTEXT, drains: [drain]});
    expect(findings.map(({kind}) => kind)).toEqual([
      FindingKind.WorkAfterDrain,
    ]);
  });

  it('reports an answer to a request that no backend server ran', () => {
    expect(check(createRecord('r1~1', AttemptResult.Answered))).toEqual([
      FindingKind.Wrong,
    ]);
  });

  it('attributes an interrupted request only to a planned stop of its own instance', () => {
    const history = new RequestHistory();
    history.add(createRecord('r1~1', AttemptResult.Unknown));
    const stop = {startMs: 0, endMs: 300};
    const count = (instance: string) =>
      history.summarize({...CONTEXT, plannedStops: [{...stop, instance}]})
        .findings.length;
    expect([count('i1'), count('i2')]).toEqual([1, 0]);
  });
});

describe('backend server and caller', () => {
  it('reports more simultaneous runs than slots', async () => {
    await using backend = await startBackend(18_081);
    const {runs, url} = backend;
    const ids = ['a~1', 'b~1', 'c~1'];
    const results = await Promise.all(
      ids.map(id => sendAttempt(createAttempt(url, id))),
    );
    expect(results.map(r => r.result)).toEqual(
      ids.map(() => AttemptResult.Answered),
    );
    expect(check(...runs)).toEqual([FindingKind.OverSlots]);
  });

  it('reports a body cut off by a connection error as truncated and one that ends cleanly too early as wrong', async () => {
    await using backend = await startBackend(18_082);
    const {server, url} = backend;
    const attempt = {...createAttempt(url, 'a~1'), sizeBytes: 300_000};
    expect((await sendAttempt(attempt)).result).toBe(AttemptResult.Answered);
    server.setFaults({truncateFraction: 1});
    expect((await sendAttempt(attempt)).result).toBe(AttemptResult.Truncated);
    const short = http.createServer((_req, res) => res.end('x'.repeat(100)));
    await once(short.listen(0, HOST), 'listening');
    const {port} = short.address() as AddressInfo;
    const shortUrl = `http://${HOST}:${port}`;
    expect(await sendAttempt({...attempt, url: shortUrl})).toMatchObject({
      result: AttemptResult.Wrong,
      detail: 'clean end after 100 of 300000 bytes',
    });
    short.close();
  });

  it('reports the answer to another request as wrong', async () => {
    const other = http.createServer((_req, res) => res.end('{"id":"b~1"}'));
    await once(other.listen(0, HOST), 'listening');
    const {port} = other.address() as AddressInfo;
    const attempt = createAttempt(`http://${HOST}:${port}`, 'a~1');
    expect((await sendAttempt(attempt)).result).toBe(AttemptResult.Wrong);
    other.close();
  });

  it('measures runs after the first drain signal and records a run whose answer is lost', async () => {
    await using backend = await startBackend(18_083);
    const {server, runs, url} = backend;
    server.setDraining(true);
    await sendAttempt(createAttempt(url, 'a~1'));
    await sleep(50);
    server.setFaults({closeAfterRunFraction: 1});
    const lost = await sendAttempt(createAttempt(url, 'b~1'));
    expect(lost.result).toBe(AttemptResult.Unknown);
    expect(runs.map(run => run.id)).toEqual(['a~1', 'b~1']);
    expect(runs[0]?.sinceDrainReportMs).toBeUndefined();
    expect(runs[1]?.sinceDrainReportMs).toBeGreaterThanOrEqual(45);
  });
});
