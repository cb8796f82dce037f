import {createHash64} from '@primrosestage/steering';
import {type FigureSink, GoalKind} from '../figure.js';
import {createBaselines} from './baselines.js';
import {PrimrosestagePolicy} from './primrosestage_policy.js';
import {
  type CreatePolicy,
  runScenario,
  EXAMPLE_DEPLOYMENTS,
  type SimResult,
  type ExampleDeployment,
} from './run_scenario.js';
import {type Scenario, SCENARIOS, SimIncident} from './scenario.js';

const BASELINES = [
  'random',
  'round-robin',
  'least-reported-load',
  'power-of-two',
  'oracle',
];

/** Goal for the ratio of primrosestage's 99th percentile of latency to the oracle's. */
const MAX_ORACLE_RATIO = 1.2;

/**
 * Compares the steering decisions with those of other policies in simulations on virtual time.
 * @param sink - Receives the figures.
 */
export async function runPolicyBench(sink: FigureSink): Promise<void> {
  const hash = await createHash64();
  for (const deployment of EXAMPLE_DEPLOYMENTS) {
    for (const scenario of SCENARIOS) {
      const results = new Map<string, SimResult>();
      const run = async (name: string, createPolicy: CreatePolicy) => {
        const result = await runScenario(
          deployment,
          scenario,
          createPolicy,
          sink.seed,
        );
        results.set(name, result);
      };
      await run(
        'primrosestage',
        (world, interZoneMs) =>
          new PrimrosestagePolicy(world, interZoneMs, hash),
      );
      for (const [i, name] of BASELINES.entries()) {
        await run(name, (world, interZoneMs) => {
          const policy = createBaselines(world, interZoneMs)[i];
          if (!policy) throw new TypeError(name);
          return policy;
        });
      }
      recordScenario(sink, deployment, scenario, results);
    }
  }
}

function recordScenario(
  sink: FigureSink,
  deployment: ExampleDeployment,
  scenario: Scenario,
  results: ReadonlyMap<string, SimResult>,
): void {
  const own = results.get('primrosestage');
  const oracle = results.get('oracle');
  if (!own || !oracle) return;
  const prefix = `policy.${deployment.name}.${scenario.name}`;
  const n = own.metrics.sent;
  const others = BASELINES.filter(name => name !== 'oracle').map(name => ({
    name,
    result: results.get(name) as SimResult,
  }));
  const getP99 = ({metrics}: SimResult) => getPercentile(metrics, 99);
  const fastest = others.reduce((best, other) =>
    getP99(other.result) < getP99(best.result) ? other : best,
  );
  const isSteady = scenario.incident === SimIncident.None;
  const isLoaded = isSteady && scenario.load >= 0.7;
  for (const percentile of [50, 99, 99.9]) {
    sink.record({
      name: `${prefix}.p${percentile}`,
      value: getPercentile(own.metrics, percentile),
      unit: 'ms',
      n,
      baseline: {
        name: 'oracle',
        value: getPercentile(oracle.metrics, percentile),
      },
      ...(percentile === 99 && isSteady
        ? {
            goal: {
              kind: GoalKind.AtMost,
              bound: MAX_ORACLE_RATIO,
              isRatio: true,
            },
          }
        : {}),
    });
  }
  sink.record({
    name: `${prefix}.p99-to-best`,
    value: getP99(own),
    unit: 'ms',
    n,
    baseline: {name: fastest.name, value: getP99(fastest.result)},
    ...(isLoaded
      ? {goal: {kind: GoalKind.AtMost, bound: 1, isRatio: true}}
      : {}),
  });
  recordAllPolicies(sink, prefix, n, results);
  if (scenario.incident !== SimIncident.RegionDrained) return;
  const region =
    own.policy instanceof PrimrosestagePolicy ? getFirstRegion(own) : '';
  sink.record({
    name: `${prefix}.drain-time`,
    value: own.metrics.getDrainSeconds(region, scenario.incidentMs),
    unit: 's',
    n,
    baseline: {
      name: fastest.name,
      value: fastest.result.metrics.getDrainSeconds(
        region,
        scenario.incidentMs,
      ),
    },
  });
}

function recordAllPolicies(
  sink: FigureSink,
  prefix: string,
  n: number,
  results: ReadonlyMap<string, SimResult>,
): void {
  for (const [name, {metrics, exceededFraction, policy}] of results) {
    const isOwn = policy instanceof PrimrosestagePolicy;
    const record = (metric: string, value: number, unit: string) =>
      sink.record({name: `${prefix}.${name}.${metric}`, value, unit, n});
    record('p99', getPercentile(metrics, 99), 'ms');
    record('lowest-headroom', metrics.lowestHeadroom, 'fraction');
    record('refused', metrics.refused / metrics.sent, 'fraction');
    record('failed', metrics.failed / metrics.sent, 'fraction');
    record('bulk-shed', metrics.shedBulk / metrics.sentBulk, 'fraction');
    record('largest-shift', metrics.getLargestShift(), 'fraction');
    sink.record({
      name: `${prefix}.${name}.slots-exceeded`,
      value: exceededFraction,
      unit: 'fraction',
      n,
      ...(isOwn
        ? {goal: {kind: GoalKind.AtMost, bound: 0, isRatio: false}}
        : {}),
    });
    sink.record({
      name: `${prefix}.${name}.peak-use`,
      value: metrics.peakUse,
      unit: 'fraction',
      n,
      ...(isOwn
        ? {goal: {kind: GoalKind.AtMost, bound: 1, isRatio: false}}
        : {}),
    });
    if (isOwn) record('violations', policy.violationCount, 'count');
  }
}

function getFirstRegion({policy}: SimResult): string {
  const [task] =
    policy instanceof PrimrosestagePolicy
      ? [...policy.routingTasks.values()]
      : [];
  return task?.getReport().region ?? '';
}

function getPercentile(metrics: SimResult['metrics'], percentile: number) {
  return metrics.latencies.getValueAtPercentile(percentile) / 1000;
}
