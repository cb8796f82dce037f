import type {Topology} from '@primrosestage/steering';
import {describeValue, type ValueIssue} from '../validation/index.js';
import type {Preset} from './preset.js';

/**
 * Finds issues of a preset that only a check against the topology reveals.
 * @param preset - The preset, already checked against its schema.
 * @param team - Name of the team.
 * @param topology - Regions, links and services.
 * @returns The issues, with keys relative to the preset.
 */
export function findPresetIssues(
  preset: Preset,
  team: string,
  topology: Topology,
): ValueIssue[] {
  return [
    ...findShareIssues(preset, team, topology),
    ...findLinkCapIssues(preset, topology),
  ];
}

function findShareIssues(
  preset: Preset,
  team: string,
  topology: Topology,
): ValueIssue[] {
  const issues: ValueIssue[] = [];
  const report = (key: string, value: unknown, expected: string) =>
    issues.push({key, value: describeValue(value), expected});
  const checkRegion = (key: string, region: string) => {
    if (!topology.regions.includes(region)) {
      report(key, region, 'a name listed in regions');
    }
  };
  for (const [service, sources] of Object.entries(preset.shares)) {
    const key = `shares.${service}`;
    if (!topology.getService(team, service)) {
      report(key, service, 'a service of the team');
    }
    for (const [source, targets] of Object.entries(sources)) {
      checkRegion(`${key}.${source}`, source);
      for (const target of Object.keys(targets)) {
        checkRegion(`${key}.${source}.${target}`, target);
      }
      if (!Object.values(targets).some(weight => weight > 0)) {
        report(`${key}.${source}`, targets, 'at least one weight above 0');
      }
    }
  }
  return issues;
}

function findLinkCapIssues(preset: Preset, topology: Topology): ValueIssue[] {
  const issues: ValueIssue[] = [];
  for (const [direction, capMbit] of Object.entries(preset.linkCaps)) {
    const [from = '', to = '', ...extraParts] = direction.split('>');
    const link =
      extraParts.length === 0 && from !== to
        ? topology.getLink(from, to)
        : undefined;
    const key = `linkCaps.${direction}`;
    if (!link) {
      issues.push({
        key,
        value: describeValue(direction),
        expected: 'a direction as from>to of a link',
      });
    } else if (capMbit > link.capacityMbit) {
      issues.push({
        key,
        value: describeValue(capMbit),
        expected: `at most the link's ${link.capacityMbit} Mbit/s`,
      });
    }
  }
  return issues;
}
