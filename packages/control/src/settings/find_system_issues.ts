import type {Topology} from '@primrosestage/steering';
import ipaddr from 'ipaddr.js';
import {findPresetIssues} from '../documents/index.js';
import type {ValueIssue} from '../validation/index.js';
import {buildTopology} from './build_topology.js';
import type {SettingsIssue} from './settings_issue.js';
import type {SystemSettings} from './settings_schema.js';

/** Time that a shutdown needs in addition to its drain notice and its longest request. */
const SHUTDOWN_MARGIN_MS = 5_000;

/**
 * Finds inconsistencies between settings that the schema cannot detect.
 * @param file - Path reported in the issues.
 * @param system - The settings.
 * @returns The issues.
 */
export function findSystemIssues(
  file: string,
  system: SystemSettings,
): SettingsIssue[] {
  const issues: SettingsIssue[] = [];
  const report = (key: string, value: unknown, expected: string) =>
    issues.push({file, key, value: JSON.stringify(value), expected});
  const topology = buildTopology(system);
  const regions = new Set(system.regions);
  const zones = new Set(system.zones.map(({name}) => name));

  const checkRegion = (key: string, region: string) => {
    if (!regions.has(region)) report(key, region, 'a name listed in regions');
  };
  const checkZone = (key: string, zone: string) => {
    if (!zones.has(zone)) report(key, zone, 'a name listed in zones');
  };

  system.zones.forEach((zone, i) =>
    checkRegion(`zones.${i}.region`, zone.region),
  );
  checkRegion('store.region', system.store.region);
  system.links.forEach((link, i) =>
    link.regions.forEach((region, j) =>
      checkRegion(`links.${i}.regions.${j}`, region),
    ),
  );
  checkLinksComplete(system, report);
  checkInstances(system, checkZone, report);
  system.blocks.forEach((block, i) => {
    checkRegion(`blocks.${i}.region`, block.region);
    if (!ipaddr.isValidCIDR(block.prefix)) {
      report(
        `blocks.${i}.prefix`,
        block.prefix,
        'an address prefix as IP/bits',
      );
    }
  });
  system.teams.forEach((team, i) =>
    checkTeam(topology, team, `teams.${i}`, checkZone, report, issue =>
      issues.push({file, ...issue}),
    ),
  );
  checkEndpoints(topology, report);
  checkTiming(system, report);
  return issues;
}

type Report = (key: string, value: unknown, expected: string) => void;

function checkLinksComplete(system: SystemSettings, report: Report): void {
  for (const [i, from] of system.regions.entries()) {
    for (const to of system.regions.slice(i + 1)) {
      const hasLink = system.links.some(
        ({regions}) => regions.includes(from) && regions.includes(to),
      );
      if (!hasLink)
        report('links', [from, to], `a link between ${from} and ${to}`);
    }
  }
}

function checkInstances(
  system: SystemSettings,
  checkZone: (key: string, zone: string) => void,
  report: Report,
): void {
  const ids = new Set<string>();
  const addresses = new Set<string>();
  system.instances.forEach((instance, i) => {
    checkZone(`instances.${i}.zone`, instance.zone);
    if (ids.has(instance.id)) {
      report(`instances.${i}.id`, instance.id, 'an id that occurs once');
    }
    ids.add(instance.id);
    for (const port of ['public', 'internal', 'admin'] as const) {
      const address = instance[port];
      if (addresses.has(address)) {
        report(
          `instances.${i}.${port}`,
          address,
          'an address that occurs once',
        );
      }
      addresses.add(address);
    }
  });
  for (const {name} of system.zones) {
    if (!system.instances.some(({zone}) => zone === name)) {
      report('instances', name, `at least one instance in zone ${name}`);
    }
  }
}

function checkTeam(
  topology: Topology,
  team: SystemSettings['teams'][number],
  key: string,
  checkZone: (key: string, zone: string) => void,
  report: Report,
  addIssue: (issue: ValueIssue) => void,
): void {
  team.services.forEach((service, i) =>
    service.endpoints.forEach((group, j) =>
      checkZone(`${key}.services.${i}.endpoints.${j}.zone`, group.zone),
    ),
  );
  if (!Object.hasOwn(team.presets, team.active)) {
    report(`${key}.active`, team.active, 'a name listed in presets');
  }
  for (const [name, preset] of Object.entries(team.presets)) {
    for (const issue of findPresetIssues(preset, team.name, topology)) {
      addIssue({...issue, key: `${key}.presets.${name}.${issue.key}`});
    }
  }
}

function checkEndpoints(topology: Topology, report: Report): void {
  const ids = new Map<string, string>();
  const addresses = new Set<string>();
  for (const {id, team, service, address} of topology.endpoints) {
    const key = `teams.${team}.services.${service}.endpoints`;
    const other = ids.get(id);
    if (other !== undefined) {
      report(
        key,
        id,
        `an endpoint id that occurs once, not at ${other} and ${address}; list a zone once per service and name the services of all teams differently`,
      );
    }
    ids.set(id, address);
    if (addresses.has(address)) {
      report(key, address, 'an address that occurs once');
    }
    addresses.add(address);
  }
}

function checkTiming({timing}: SystemSettings, report: Report): void {
  if (timing.defaultDeadlineMs > timing.maxRequestMs) {
    report(
      'timing.defaultDeadlineMs',
      timing.defaultDeadlineMs,
      `at most maxRequestMs, ${timing.maxRequestMs} ms`,
    );
  }
  const minShutdownMs =
    timing.drainNoticeMs + timing.maxRequestMs + SHUTDOWN_MARGIN_MS;
  if (timing.shutdownTimeoutMs < minShutdownMs) {
    report(
      'timing.shutdownTimeoutMs',
      timing.shutdownTimeoutMs,
      `at least drainNoticeMs + maxRequestMs + ${SHUTDOWN_MARGIN_MS} = ${minShutdownMs} ms`,
    );
  }
  const minTakeoverMs = 2 * timing.fenceAfterMs + timing.heartbeatMs;
  if (timing.takeoverAfterMs < minTakeoverMs) {
    report(
      'timing.takeoverAfterMs',
      timing.takeoverAfterMs,
      `at least 2 * fenceAfterMs + heartbeatMs = ${minTakeoverMs} ms`,
    );
  }
}
