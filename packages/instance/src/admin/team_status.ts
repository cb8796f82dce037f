import type {InstanceInfo} from '@primrosestage/steering';
import type {
  HeadroomReport,
  InstanceStatus,
  ShareReport,
} from './instance_status.js';

/** An instance with its status, if it responded. */
export interface InstanceReport {
  instance: InstanceInfo;
  /** Absent if the instance did not respond in time. */
  status?: InstanceStatus;
}

/** Entry of an instance in the response to `GET status`. */
export interface InstanceSummary {
  id: string;
  zone: string;
  region: string;
  isReachable: boolean;
  isReady: boolean;
  /** Null if the instance did not respond or has no document. */
  revision: number | null;
  ageMs: number | null;
}

/** Response to `GET status`. */
export interface TeamStatus {
  team: string;
  /** Highest revision in force at any instance. */
  revision: number;
  active: string;
  drains: Array<{kind: string; target: string}>;
  /** Whether all instances responded with the same revision. */
  isConverged: boolean;
  instances: InstanceSummary[];
  /** Mean of the shares of all instances that responded. */
  shares: ShareReport[];
  /** Most recent measurement of each service and region. */
  headroom: HeadroomReport[];
}

/**
 * Summarizes the reports of all instances.
 * @param team - Name of the team.
 * @param reports - One report per instance.
 * @returns The status of the team.
 */
export function summarizeStatus(
  team: string,
  reports: readonly InstanceReport[],
): TeamStatus {
  const statuses = reports.flatMap(({status}) => status ?? []);
  const newest = statuses
    .flatMap(({configuration}) => configuration ?? [])
    .sort((a, b) => b.revision - a.revision)[0];
  const revision = newest?.revision ?? 0;
  return {
    team,
    revision,
    active: newest?.active ?? '',
    drains: newest?.drains ?? [],
    isConverged: reports.every(
      ({status}) => status?.configuration?.revision === revision,
    ),
    instances: reports.map(({instance: {id, zone, region}, status}) => ({
      id,
      zone,
      region,
      isReachable: status !== undefined,
      isReady: status?.isReady ?? false,
      revision: status?.configuration?.revision ?? null,
      ageMs: status?.configuration?.ageMs ?? null,
    })),
    shares: averageShares(statuses.flatMap(({shares}) => shares)),
    headroom: selectFreshest(statuses.flatMap(({headroom}) => headroom)),
  };
}

function averageShares(reports: readonly ShareReport[]): ShareReport[] {
  const groups = groupBy(reports, r => `${r.service}/${r.sourceRegion}`);
  return groups.map(group => {
    const regions = new Set(group.flatMap(({shares}) => Object.keys(shares)));
    const means = [...regions].map(region => {
      const sum = group.reduce((s, r) => s + (r.shares[region] ?? 0), 0);
      return [region, sum / group.length] as const;
    });
    const {service, sourceRegion} = group[0]!;
    return {service, sourceRegion, shares: Object.fromEntries(means)};
  });
}

function selectFreshest(reports: readonly HeadroomReport[]): HeadroomReport[] {
  const getAgeMs = (report: HeadroomReport) => report.ageMs ?? Infinity;
  return groupBy(reports, r => `${r.service}/${r.region}`).map(group =>
    group.reduce((a, b) => (getAgeMs(b) < getAgeMs(a) ? b : a)),
  );
}

function groupBy<T>(items: readonly T[], getKey: (item: T) => string): T[][] {
  const groups = new Map<string, T[]>();
  for (const item of items) {
    const group = groups.get(getKey(item));
    if (group) group.push(item);
    else groups.set(getKey(item), [item]);
  }
  return [...groups.keys()].sort().map(key => groups.get(key) ?? []);
}
