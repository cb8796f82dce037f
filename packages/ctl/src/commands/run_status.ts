import {formatTable} from '../format_table.js';
import type {CommandContext, CommandOutput} from './command_context.js';

interface StatusBody {
  revision: number;
  active: string;
  isConverged: boolean;
  drains: Array<{kind: string; target: string}>;
  instances: Array<{
    id: string;
    zone: string;
    isReachable: boolean;
    isReady: boolean;
    revision: number | null;
    ageMs: number | null;
  }>;
  shares: Array<{
    service: string;
    sourceRegion: string;
    shares: Record<string, number>;
  }>;
  headroom: Array<{
    service: string;
    region: string;
    slots: number;
    freeSlots: number;
    ageMs: number | null;
  }>;
}

/**
 * Runs `primrosectl status`.
 * @param context - Client of the administration API.
 * @returns The output.
 */
export async function runStatus({
  client,
}: CommandContext): Promise<CommandOutput> {
  const json = await client.get('status');
  return {json, text: formatStatus(json as unknown as StatusBody)};
}

function formatStatus(status: StatusBody): string {
  const drains = status.drains.map(({kind, target}) => `${kind} ${target}`);
  return [
    `revision ${status.revision}, preset ${status.active}, ${status.isConverged ? 'in force at all instances' : 'not in force at all instances'}\n`,
    `drains: ${drains.join(', ') || 'none'}\n`,
    formatTable(
      ['instance', 'zone', 'state', 'revision', 'age s'],
      status.instances.map(line => [
        line.id,
        line.zone,
        formatState(line),
        String(line.revision ?? '-'),
        line.ageMs === null ? '-' : (line.ageMs / 1_000).toFixed(1),
      ]),
    ),
    formatTable(
      ['service', 'source', 'shares'],
      status.shares.map(({service, sourceRegion, shares}) => [
        service,
        sourceRegion,
        Object.entries(shares)
          .map(([region, weight]) => `${region} ${weight.toFixed(3)}`)
          .join(', '),
      ]),
    ),
    formatTable(
      ['service', 'region', 'free slots', 'slots'],
      status.headroom.map(line => [
        line.service,
        line.region,
        line.ageMs === null ? '-' : String(line.freeSlots),
        String(line.slots),
      ]),
    ),
  ].join('\n');
}

function formatState(line: {isReachable: boolean; isReady: boolean}): string {
  if (!line.isReachable) return 'unreachable';
  return line.isReady ? 'ready' : 'not ready';
}
