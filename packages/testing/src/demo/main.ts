import {spawn} from 'node:child_process';
import {mkdtempSync} from 'node:fs';
import {createRequire} from 'node:module';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {Cluster} from '../cluster/index.js';
import {
  FindingKind,
  RequestHistory,
  type PlannedStop,
} from '../history/index.js';

const SYSTEM = 'ruotalibera';
const TOKEN = 'example-token-ruotalibera';
const RATE_PER_SECOND = 150;

const TIME_LIMIT_MS = 58_000;

for (const signal of ['SIGINT', 'SIGTERM'] as const) {
  process.once(signal, () => process.exit(1));
}
const logDir = mkdtempSync(path.join(tmpdir(), 'primrosestage-demo-'));
const startMs = Date.now();
const history = new RequestHistory();
const plannedStops: PlannedStop[] = [];
const failures: string[] = [];
let killedAtMs = Infinity;
{
  await using cluster = new Cluster({
    system: SYSTEM,
    seed: 1,
    logDir,
    usesBinary: true,
    onRecord: record => history.add(record),
  });
  const limit = sleep(TIME_LIMIT_MS, undefined, {ref: false}).then(() =>
    failures.push(`not finished after ${TIME_LIMIT_MS} ms`),
  );
  await Promise.race([
    limit,
    runDemo(cluster).catch(err => failures.push(String(err))),
  ]);
  printSummary(cluster);
}
process.exitCode = failures.length > 0 ? 1 : 0;

async function runDemo(cluster: Cluster): Promise<void> {
  print(`logs of all processes: ${logDir}`);
  await cluster.startInstances();
  print('store, 48 backend servers and 7 instances are ready');
  await cluster.callers.call('setRate', RATE_PER_SECOND);
  await sleep(5_000);
  const [first] = cluster.topology.instances;
  const isSwitched = await switchPreset(first?.adminAddress ?? '');
  if (!isSwitched) failures.push('the preset was not switched');
  await sleep(2_000);
  const [drained, killed] = cluster.topology.instances.slice(1, 3);
  const stop = {instance: drained?.id ?? '', startMs: Date.now(), endMs: 0};
  print(`SIGTERM to ${stop.instance}`);
  const {code, tookMs} = await cluster.stopInstance(stop.instance);
  plannedStops.push({...stop, endMs: Date.now()});
  print(`${stop.instance} ended with code ${code} after ${tookMs} ms`);
  if (code !== 0) failures.push(`planned stop ended with ${code}`);
  await sleep(2_000);
  killedAtMs = Date.now();
  print(`SIGKILL to ${killed?.id}`);
  await cluster.killInstance(killed?.id ?? '');
  await sleep(10_000);
  await cluster.callers.call('setRate', 0);
  for (
    let i = 0;
    i < 60 && (await cluster.callers.call('countOpenRequests')) !== 0;
    i++
  ) {
    await sleep(100);
  }
  await cluster.backend.call('stop');
  await cluster.callers.call('flush');
}

async function switchPreset(adminAddress: string): Promise<boolean> {
  const cli = createRequire(import.meta.url).resolve('@primrosestage/ctl');
  const [code, output] = await runProcess([
    path.join(cli, '../../bin/primrosectl.js'),
    ...['presets', 'activate', 'peak', '--team', 'ruotalibera'],
    ...['--admin', `http://${adminAddress}`],
  ]);
  print(`primrosectl: ${output.trim()} (exit code ${code})`);
  return code === 0;
}

function runProcess(args: string[]): Promise<[number | null, string]> {
  return new Promise(resolve => {
    const child = spawn(process.execPath, args, {
      env: {...process.env, PRIMROSE_TOKEN: TOKEN},
    });
    let output = '';
    child.stdout.on('data', chunk => (output += chunk));
    child.stderr.on('data', chunk => (output += chunk));
    child.on('close', code => resolve([code, output]));
  });
}

function printSummary(cluster: Cluster): void {
  const summary = history.summarize({
    getSlots: id => cluster.topology.getEndpoint(id)?.slots ?? 0,
    plannedStops,
    drains: [],
    hasOtherFault: (_, endMs) => endMs >= killedAtMs,
  });
  const count = (kind: FindingKind) =>
    summary.findings.filter(finding => finding.kind === kind).length;
  print('');
  print(`requests              ${summary.requests}`);
  print(`answered              ${summary.answered}`);
  print(`refused, not run      ${summary.notRun}`);
  print(`unknown               ${summary.unknown}`);
  for (const kind of Object.values(FindingKind)) {
    print(`${kind.padEnd(22)}${count(kind)}`);
  }
  for (const {kind, detail} of summary.findings.slice(0, 20)) {
    print(`${kind}: ${detail}`);
  }
  if (summary.answered === 0) failures.push('no request was answered');
  const fatalKinds = [
    FindingKind.Wrong,
    FindingKind.Duplicate,
    FindingKind.InterruptedByPlannedStop,
    FindingKind.FalseNotRun,
  ];
  for (const kind of fatalKinds) {
    if (count(kind) > 0) failures.push(`${kind}: ${count(kind)}`);
  }
  print(failures.length > 0 ? `FAILED: ${failures.join(', ')}` : 'passed');
}

function print(line: string): void {
  const seconds = ((Date.now() - startMs) / 1_000).toFixed(1).padStart(5);
  process.stdout.write(line ? `${seconds} s  ${line}\n` : '\n');
}
