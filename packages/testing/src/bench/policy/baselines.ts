import {EndpointPolicy} from './endpoint_policy.js';
import type {SimEndpoint} from './sim_endpoint.js';
import {getDelayMs, type SimPolicy, type SimWorld} from './sim_world.js';

/**
 * Creates the policies that primrosestage's steering is compared with. All but the oracle use the
 * caller's region as long as it has a usable endpoint.
 * @param world - The simulated system.
 * @param interZoneMs - One-way latency between zones of a region, in milliseconds.
 * @returns The policies; the last one is the oracle.
 */
export function createBaselines(
  world: SimWorld,
  interZoneMs: number,
): SimPolicy[] {
  const {random, topology} = world;
  const common = {world, interZoneMs};
  const pick = (list: readonly SimEndpoint[]) =>
    list[Math.floor(random() * list.length)];
  const nextIndexes = new Map<string, number>();
  return [
    new EndpointPolicy({...common, name: 'random', choose: pick}),
    new EndpointPolicy({
      ...common,
      name: 'round-robin',
      choose: (list, {ingress, service}) => {
        const key = `${ingress.id}/${service.name}`;
        const nextIndex = nextIndexes.get(key) ?? 0;
        nextIndexes.set(key, nextIndex + 1);
        return list[nextIndex % list.length];
      },
    }),
    new EndpointPolicy({
      ...common,
      name: 'least-reported-load',
      choose: list => {
        const least = Math.min(...list.map(({reportedLoad}) => reportedLoad));
        return pick(list.filter(({reportedLoad}) => reportedLoad === least));
      },
    }),
    new EndpointPolicy({
      ...common,
      name: 'power-of-two',
      choose: (list, _, getInFlight) => {
        const [a, b] = [pick(list), pick(list)];
        return a && b && getInFlight(b) < getInFlight(a) ? b : a;
      },
    }),
    new EndpointPolicy({
      ...common,
      name: 'oracle',
      isGlobal: true,
      choose: (list, {ingress, serviceMs}) => {
        let best: SimEndpoint | undefined;
        let bestMs = Infinity;
        for (const endpoint of list) {
          const delayMs = getDelayMs(
            topology,
            interZoneMs,
            ingress,
            endpoint.info,
          );
          const runMs = serviceMs * endpoint.getServiceTimeFactor();
          const totalMs = 2 * delayMs + endpoint.getWaitMs() + runMs;
          if (totalMs < bestMs) {
            best = endpoint;
            bestMs = totalMs;
          }
        }
        return best;
      },
    }),
  ];
}
