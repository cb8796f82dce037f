import {mkdirSync, mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {getErrorMessage} from '@primrosestage/common';
import {cac} from 'cac';
import {Cluster} from '../cluster/index.js';
import {RequestHistory} from '../history/index.js';
import {SeededRandom} from '../random/index.js';
import {NetworkPartitions} from './network_partitions.js';
import {FaultContext} from './fault_context.js';
import {InstanceMonitor} from './instance_monitor.js';
import {Operator} from './operator.js';
import {createReport} from './create_report.js';
import {type FaultRecord, runFaults} from './run_faults.js';

/** Time before the first fault in which connections and shares stabilize. */
const WARM_UP_MS = 5_000;
/** Maximum wait for the last requests; longer than any deadline of a caller. */
const REQUEST_DRAIN_MS = 30_000;

const cli = cac('soak');
cli.option('--seed <seed>', 'Seed of the faults and the load', {default: 1});
cli.option('--minutes <minutes>', 'Duration of the fault phase in minutes', {
  default: 3,
});
cli.option('--system <name>', 'Directory under examples', {
  default: 'ruotalibera',
});
cli.option('--rate <rate>', 'Requests per second', {default: 150});
cli.option('--faults <names>', 'Names of the faults to inject, separated by |');
cli.option('--logs <dir>', 'Directory for the logs');
cli.help();
const {options} = cli.parse();
for (const signal of ['SIGINT', 'SIGTERM'] as const) {
  process.once(signal, () => process.exit(1));
}
if (!options.help) process.exitCode = (await runSoak()) ? 0 : 1;

async function runSoak(): Promise<boolean> {
  const logDir = options.logs
    ? path.resolve(String(options.logs))
    : mkdtempSync(path.join(tmpdir(), 'primrosestage-soak-'));
  mkdirSync(logDir, {recursive: true});
  const seed = Number(options.seed);
  process.stdout.write(`seed ${seed}, logs of all processes: ${logDir}\n`);
  const history = new RequestHistory();
  await using cluster = new Cluster({
    system: String(options.system),
    seed,
    logDir,
    usesBinary: false,
    onRecord: record => history.add(record),
  });
  const random = new SeededRandom(seed);
  const operator = new Operator(cluster, new SeededRandom(seed + 1));
  const rate = Number(options.rate);
  const partitions = new NetworkPartitions(cluster);
  const context = new FaultContext(cluster, random, partitions, operator, rate);
  const faults: FaultRecord[] = [];
  const testErrors: string[] = [];
  await cluster.startInstances();
  await using monitor = new InstanceMonitor(cluster);
  await context.addStoreFaults({listAgeMs: random.int(0, 9_000)});
  await cluster.callers.call('setRate', rate);
  await sleep(WARM_UP_MS);
  const endMs = Date.now() + Number(options.minutes) * 60_000;
  const names = String(options.faults ?? '')
    .split('|')
    .filter(name => name !== '');
  try {
    await runFaults(context, names, endMs, faults);
    await stopLoad(cluster, monitor);
  } catch (err) {
    testErrors.push(`soak test: ${getErrorMessage(err)}`);
  }
  const report = createReport({history, context, monitor, faults, testErrors});
  const text = `seed ${seed}, ${options.system}\n${report.text}\n`;
  process.stdout.write(`\n${text}`);
  writeFileSync(path.join(logDir, 'report.txt'), text);
  return report.isPassed;
}

async function stopLoad(
  cluster: Cluster,
  monitor: InstanceMonitor,
): Promise<void> {
  const {callers, backend} = cluster;
  await callers.call('setRate', 0);
  const endMs = Date.now() + REQUEST_DRAIN_MS;
  while (
    Date.now() < endMs &&
    (await callers.call('countOpenRequests')) !== 0
  ) {
    await sleep(100);
  }
  await backend.call('stop');
  await callers.call('flush');
  await monitor.scrape();
}
