import type {FigureSink} from '../figure.js';
import {createBaselines} from './baselines.js';
import {SIM_DEPLOYMENTS, UNEVEN_SIM_DEPLOYMENTS} from './deployment.js';
import {CallerOutcome} from './direct_tally.js';
import {PrimrosestagePolicy} from './primrosestage_policy.js';
import {
  type CreateDirectPolicy,
  type DirectScenario,
  runDirectScenario,
} from './run_direct_scenario.js';

export {SIM_DEPLOYMENTS, UNEVEN_SIM_DEPLOYMENTS} from './deployment.js';
export {CallerOutcome, type DirectTally} from './direct_tally.js';
export {
  type CreateDirectPolicy,
  type DirectScenario,
  runDirectScenario,
} from './run_direct_scenario.js';

const DURATION_MS = 30_000;

/**
 * Simulated loads: low, high, above the capacity of all slots, concentrated in one zone, which then
 * needs about all of its own slots or more, and with endpoints that state a rate limit.
 */
export const DIRECT_SCENARIOS: readonly DirectScenario[] = [
  {name: 'calm', load: 0.3, durationMs: DURATION_MS, skew: [1, 1, 1]},
  {name: 'heavy', load: 0.65, durationMs: DURATION_MS, skew: [1, 1, 1]},
  {name: 'overload', load: 1.1, durationMs: DURATION_MS, skew: [1, 1, 1]},
  {name: 'shifted', load: 0.5, durationMs: DURATION_MS, skew: [0.4, 2, 0.6]},
  {
    name: 'limited',
    load: 0.4,
    durationMs: DURATION_MS,
    skew: [1, 1, 1],
    limits: {oneOf: 6, fraction: 0.35, fromMs: 3_000, toMs: 11_000},
  },
  {
    name: 'half-limited',
    load: 0.3,
    durationMs: DURATION_MS,
    skew: [1, 1, 1],
    limits: {oneOf: 2, fraction: 0.35, fromMs: 3_000, toMs: 11_000},
  },
];

/** The policies to compare; primrosestage's own comes first. */
export const DIRECT_POLICIES: Readonly<Record<string, CreateDirectPolicy>> = {
  primrosestage: world => new PrimrosestagePolicy(world),
  'least-loaded': (world, random) => getBaseline(0)(world, random),
  'two-choices': (world, random) => getBaseline(1)(world, random),
  affinity: (world, random) => getBaseline(2)(world, random),
  oracle: (world, random) => getBaseline(3)(world, random),
};

/**
 * Simulates loads on the deployments with the policy of the direct path and with the baselines.
 * @param sink - Receives the figures.
 */
export async function runDirectBench(sink: FigureSink): Promise<void> {
  for (const deployment of [...SIM_DEPLOYMENTS, ...UNEVEN_SIM_DEPLOYMENTS]) {
    for (const scenario of DIRECT_SCENARIOS) {
      for (const [name, create] of Object.entries(DIRECT_POLICIES)) {
        const {seed} = sink;
        const tally = runDirectScenario(deployment, scenario, create, seed);
        for (const outcome of Object.values(CallerOutcome)) {
          sink.record({
            name: `direct.${deployment.name}.${scenario.name}.${name}.${outcome.replace(' ', '-')}`,
            value: tally.getFraction(outcome),
            unit: 'fraction',
            n: tally.getCallerCount(),
          });
        }
        for (const [kind, use] of tally.endpointUses) {
          const prefix = `direct.${deployment.name}.${scenario.name}.${name}.${kind}`;
          const n = tally.getCallerCount(kind);
          sink.record({
            name: `${prefix}.busiest-to-mean`,
            value: use.busiestToMean,
            unit: 'ratio',
            n,
          });
          sink.record({
            name: `${prefix}.warm`,
            value: use.warmFraction,
            unit: 'fraction',
            n,
          });
        }
      }
    }
  }
}

function getBaseline(i: number): CreateDirectPolicy {
  return (world, random) => {
    const policy = createBaselines(world, random)[i];
    if (!policy) throw new TypeError(`no baseline ${i}`);
    return policy;
  };
}
