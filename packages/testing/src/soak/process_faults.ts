import {type FaultContext, type FaultKind} from './fault_context.js';

const NO_FREE_INSTANCE = {
  detail: 'no free instance',
  holdMs: 0,
  end: async () => {},
};

/** Faults of instance processes. */
export const PROCESS_FAULTS: FaultKind[] = [
  {
    name: 'kill',
    mayInterruptRequests: true,
    async start(context) {
      const id = context.claimInstance();
      if (!id) return NO_FREE_INSTANCE;
      const endExemption = context.exempt(id);
      await context.cluster.killInstance(id);
      return {
        detail: id,
        holdMs: context.drawMs(3, 14),
        end: async () => {
          await restart(context, id);
          endExemption();
          context.release(id);
        },
      };
    },
  },
  {
    name: 'pause',
    mayInterruptRequests: true,
    async start(context) {
      const id = context.claimInstance();
      if (!id) return NO_FREE_INSTANCE;
      const endExemption = context.exempt(id);
      context.cluster.getInstance(id).signal('SIGSTOP');
      return {
        detail: id,
        // Longer than the timeouts of fencing (2 s), suspicion (3 s) and takeover (6 s).
        holdMs: context.drawMs(8, 20),
        end: async () => {
          context.cluster.getInstance(id).signal('SIGCONT');
          endExemption();
          context.release(id);
        },
      };
    },
  },
  {
    name: 'rolling replacement',
    mayInterruptRequests: false,
    async start(context) {
      const ids = context.cluster.topology.instances.map(({id}) => id);
      const replaceAll = async () => {
        for (const id of ids) await replace(context, id);
      };
      return {detail: ids.join(', '), holdMs: 0, end: replaceAll};
    },
  },
  {
    name: 'planned stop',
    mayInterruptRequests: false,
    async start(context) {
      const id = context.random.pick(context.cluster.topology.instances).id;
      return {detail: id, holdMs: 0, end: () => replace(context, id)};
    },
  },
];

async function replace(context: FaultContext, id: string): Promise<void> {
  if (!context.claimInstance(id)) return;
  const endExemption = context.exempt(id);
  const stop = {instance: id, startMs: Date.now(), endMs: Infinity};
  context.plannedStops.push(stop);
  const {code, tookMs} = await context.cluster.stopInstance(id);
  stop.endMs = Date.now();
  if (code !== 0) {
    context.failedStops.push(`${id} exited with ${code} after ${tookMs} ms`);
  }
  await restart(context, id);
  endExemption();
  context.release(id);
}

async function restart({cluster}: FaultContext, id: string): Promise<void> {
  cluster.startInstance(id);
  await cluster.waitReady(cluster.topology.getInstanceOrThrow(id));
}
