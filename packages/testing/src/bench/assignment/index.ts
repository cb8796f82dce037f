import {
  createHash64,
  type Endpoint,
  getCandidateOrders,
  type InstanceInfo,
} from '@primrosestage/steering';
import {createRandom, type Random} from '../create_random.js';
import type {FigureSink} from '../figure.js';
import {EndpointPolicy} from '../policy/endpoint_policy.js';
import {runScenario, EXAMPLE_DEPLOYMENTS} from '../policy/run_scenario.js';
import {SCENARIOS} from '../policy/scenario.js';
import type {SimEndpoint} from '../policy/sim_endpoint.js';
import {assignHeaviestFirst} from './assign_heaviest_first.js';

const INSTANCE_COUNT = 10;
const ENDPOINT_COUNT = 84;
const ROUNDS = 50;

/**
 * Measures two rules of Moffat, Webber and Zobel, "Load Balancing for Term-Distributed Parallel
 * Retrieval" (SIGIR 2006): greedy assignment in order of decreasing weight, and choice of the
 * endpoint with the least assigned work.
 * @param sink - Receives the figures.
 */
export async function runAssignmentBench(sink: FigureSink): Promise<void> {
  await measureEndpointAssignment(sink);
  await measureEndpointChoice(sink);
}

/**
 * Compares greedy assignment of a zone's endpoints to its instances with bounded rendezvous
 * hashing, by the imbalance of slots and by the endpoints that move when an instance is removed.
 */
async function measureEndpointAssignment(sink: FigureSink): Promise<void> {
  const hash = await createHash64();
  const random = createRandom(sink.seed);
  const sums = {imbalance: [0, 0], moved: [0, 0]};
  for (let round = 0; round < ROUNDS; round++) {
    const instances = createInstances(round);
    const endpoints = createEndpoints(round, random);
    const remaining = instances.slice(1);
    const assignByHash = (members: InstanceInfo[]) =>
      new Map(
        [...getCandidateOrders({endpoints, members, hash})].map(
          ([id, [owner = '']]) => [id, owner],
        ),
      );
    const assignByWeight = (members: InstanceInfo[]) =>
      assignHeaviestFirst(
        endpoints.map(({id, slots}) => ({id, weight: slots})),
        members.map(({id}) => id),
      );
    [assignByWeight, assignByHash].forEach((assign, i) => {
      const before = assign(instances);
      const after = assign(remaining);
      const removedId = instances[0]?.id;
      const moved = endpoints.filter(
        ({id}) =>
          before.get(id) !== removedId && before.get(id) !== after.get(id),
      ).length;
      sums.imbalance[i] =
        (sums.imbalance[i] ?? 0) + getImbalance(endpoints, before);
      sums.moved[i] = (sums.moved[i] ?? 0) + moved / endpoints.length;
    });
  }
  for (const [metric, [byWeight = 0, byHash = 0]] of Object.entries(sums)) {
    sink.record({
      name: `assignment.heaviest-first.${metric}`,
      value: byWeight / ROUNDS,
      unit: metric === 'imbalance' ? 'max/mean' : 'fraction',
      n: ROUNDS,
      baseline: {name: 'bounded rendezvous', value: byHash / ROUNDS},
    });
  }
}

/** Compares choice by the work assigned so far with the power of two choices in simulations. */
async function measureEndpointChoice(sink: FigureSink): Promise<void> {
  for (const deployment of EXAMPLE_DEPLOYMENTS) {
    for (const name of ['load-70', 'load-90']) {
      const scenario = SCENARIOS.find(found => found.name === name);
      if (!scenario) continue;
      const run = async (isByWork: boolean) => {
        const {metrics} = await runScenario(
          deployment,
          scenario,
          (world, interZoneMs) => {
            const pick = (list: readonly SimEndpoint[]) =>
              list[Math.floor(world.random() * list.length)];
            const work = new Map<string, number>();
            return new EndpointPolicy({
              name,
              world,
              interZoneMs,
              choose(list, {ingress, serviceMs}, getInFlight) {
                if (!isByWork) {
                  const [a, b] = [pick(list), pick(list)];
                  return a && b && getInFlight(b) < getInFlight(a) ? b : a;
                }
                const getKey = ({info}: SimEndpoint) =>
                  `${ingress.id}/${info.id}`;
                const getWork = (endpoint: SimEndpoint) =>
                  work.get(getKey(endpoint)) ?? 0;
                const least = list.reduce((best, endpoint) =>
                  getWork(endpoint) < getWork(best) ? endpoint : best,
                );
                work.set(getKey(least), getWork(least) + serviceMs);
                return least;
              },
            });
          },
          sink.seed,
        );
        return metrics;
      };
      const [byWork, byTwoChoices] = [await run(true), await run(false)];
      sink.record({
        name: `assignment.assigned-work.${deployment.name}.${name}.p99`,
        value: byWork.latencies.getValueAtPercentile(99) / 1000,
        unit: 'ms',
        n: byWork.sent,
        baseline: {
          name: 'power-of-two',
          value: byTwoChoices.latencies.getValueAtPercentile(99) / 1000,
        },
      });
    }
  }
}

function createInstances(round: number): InstanceInfo[] {
  return Array.from({length: INSTANCE_COUNT}, (_, i) => ({
    id: `i${round}-${i}`,
    zone: 'z',
    region: 'r',
    publicAddress: '',
    internalAddress: '',
    adminAddress: '',
  }));
}

function createEndpoints(round: number, random: Random): Endpoint[] {
  return Array.from({length: ENDPOINT_COUNT}, (_, i) => ({
    id: `e${round}-${i}`,
    team: 't',
    service: 's',
    zone: 'z',
    region: 'r',
    address: '',
    slots: 2 + Math.floor(random() * 5),
    maxConnections: 1,
  }));
}

function getImbalance(
  endpoints: readonly Endpoint[],
  owners: ReadonlyMap<string, string>,
): number {
  const slotsByOwner = new Map<string, number>();
  let totalSlots = 0;
  for (const {id, slots} of endpoints) {
    const owner = owners.get(id) ?? '';
    slotsByOwner.set(owner, (slotsByOwner.get(owner) ?? 0) + slots);
    totalSlots += slots;
  }
  return Math.max(...slotsByOwner.values()) / (totalSlots / INSTANCE_COUNT);
}
