import {getErrorMessage} from '@primrosestage/common';
import {cac} from 'cac';
import type {Figure, FigureSink} from './figure.js';
import {runAssignmentBench} from './assignment/index.js';
import {runControlBench} from './control/index.js';
import {runDirectBench} from './direct/index.js';
import {runDirectControlBench} from './direct_control/index.js';
import {runHopBench} from './hop/index.js';
import {runLookupBench} from './lookup/index.js';
import {runPolicyBench} from './policy/index.js';
import {formatTable} from './report/format_table.js';
import {writeReport} from './report/write_report.js';

/** Seed used if the command line gives none. */
const DEFAULT_SEED = 20_240_501;

/** Runs one benchmark and records its figures. */
type Benchmark = (sink: FigureSink) => Promise<void>;

const BENCHMARKS: Record<string, Benchmark> = {
  lookup: runLookupBench,
  policy: runPolicyBench,
  direct: runDirectBench,
  assignment: runAssignmentBench,
  hop: runHopBench,
  control: runControlBench,
  'direct-control': runDirectControlBench,
};

async function main(argv: string[]): Promise<void> {
  const cli = cac('bench');
  cli.option(
    '--only <name>',
    `Run one benchmark: ${Object.keys(BENCHMARKS).join(', ')}`,
  );
  cli.option('--report <dir>', 'Write the figures as an HTML page');
  cli.option('--seed <number>', 'Seed of all random numbers', {
    default: DEFAULT_SEED,
  });
  cli.help();
  const {options} = cli.parse(argv);
  if (options.help) return;
  const selected = Object.entries(BENCHMARKS).filter(
    ([name]) => options.only === undefined || options.only === name,
  );
  if (selected.length === 0) {
    process.stderr.write(
      `unknown benchmark ${options.only}; expected one of ${Object.keys(BENCHMARKS).join(', ')}\n`,
    );
    process.exitCode = 2;
    return;
  }
  const seed = Number(options.seed);
  const startedAt = new Date().toISOString();
  const figures: Figure[] = [];
  const sink: FigureSink = {
    seed,
    record(figure) {
      const {name, value, unit, n, ...rest} = figure;
      const complete = {name, value, unit, seed, n, ...rest};
      figures.push(complete);
      process.stdout.write(`${JSON.stringify(complete)}\n`);
    },
  };
  for (const [name, run] of selected) {
    try {
      await run(sink);
    } catch (err) {
      process.stderr.write(
        `benchmark ${name} failed: ${getErrorMessage(err)}\n`,
      );
      process.exitCode = 1;
    }
  }
  process.stdout.write(`\n${formatTable(figures)}\n`);
  if (options.report === undefined) return;
  const command = ['npm run bench --', ...argv.slice(2)].join(' ');
  const file = writeReport(String(options.report), figures, {
    seed,
    startedAt,
    command,
    node: process.version,
  });
  process.stdout.write(`report: ${file}\n`);
}

await main(process.argv);
