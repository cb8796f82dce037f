import ipaddr from 'ipaddr.js';
import type {SettingsIssue} from './settings_issue.js';
import type {SystemSettings} from './settings_schema.js';

/** Time that a shutdown needs beyond its drain notice and its longest request. */
const SHUTDOWN_MARGIN_MS = 5_000;

/**
 * Finds faults between parts of the settings that a schema cannot see.
 * @param file - Path named in the faults.
 * @param system - The settings.
 * @returns The faults.
 */
export function findSystemIssues(
  file: string,
  system: SystemSettings,
): SettingsIssue[] {
  const issues: SettingsIssue[] = [];
  const report = (key: string, value: unknown, expected: string) =>
    issues.push({file, key, value: JSON.stringify(value), expected});
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
    checkTeam(system, team, `teams.${i}`, checkRegion, checkZone, report),
  );
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
  system: SystemSettings,
  team: SystemSettings['teams'][number],
  key: string,
  checkRegion: (key: string, region: string) => void,
  checkZone: (key: string, zone: string) => void,
  report: Report,
): void {
  team.services.forEach((service, i) =>
    service.endpoints.forEach((group, j) =>
      checkZone(`${key}.services.${i}.endpoints.${j}.zone`, group.zone),
    ),
  );
  if (!(team.active in team.presets)) {
    report(`${key}.active`, team.active, 'a name listed in presets');
  }
  const services = new Set(team.services.map(({name}) => name));
  for (const [presetName, preset] of Object.entries(team.presets)) {
    const presetKey = `${key}.presets.${presetName}`;
    for (const [service, sources] of Object.entries(preset.shares)) {
      if (!services.has(service)) {
        report(
          `${presetKey}.shares.${service}`,
          service,
          'a service of the team',
        );
      }
      for (const [source, targets] of Object.entries(sources)) {
        checkRegion(`${presetKey}.shares.${service}.${source}`, source);
        for (const target of Object.keys(targets)) {
          checkRegion(
            `${presetKey}.shares.${service}.${source}.${target}`,
            target,
          );
        }
        if (!Object.values(targets).some(weight => weight > 0)) {
          report(
            `${presetKey}.shares.${service}.${source}`,
            targets,
            'at least one weight above 0',
          );
        }
      }
    }
    checkLinkCaps(system, preset.linkCaps, `${presetKey}.linkCaps`, report);
  }
}

function checkLinkCaps(
  system: SystemSettings,
  caps: Record<string, number>,
  key: string,
  report: Report,
): void {
  for (const [direction, capMbit] of Object.entries(caps)) {
    const [from = '', to = ''] = direction.split('>');
    const link = system.links.find(
      ({regions}) => regions.includes(from) && regions.includes(to),
    );
    if (!link) {
      report(
        `${key}.${direction}`,
        direction,
        'a direction as from>to of a link',
      );
    } else if (capMbit > link.capacityMbit) {
      report(
        `${key}.${direction}`,
        capMbit,
        `at most the link's ${link.capacityMbit} Mbit/s`,
      );
    }
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
  const leastShutdownMs =
    timing.drainNoticeMs + timing.maxRequestMs + SHUTDOWN_MARGIN_MS;
  if (timing.shutdownTimeoutMs < leastShutdownMs) {
    report(
      'timing.shutdownTimeoutMs',
      timing.shutdownTimeoutMs,
      `at least drainNoticeMs + maxRequestMs + ${SHUTDOWN_MARGIN_MS} = ${leastShutdownMs} ms`,
    );
  }
  const leastTakeoverMs = 2 * timing.fenceAfterMs + timing.heartbeatMs;
  if (timing.takeoverAfterMs < leastTakeoverMs) {
    report(
      'timing.takeoverAfterMs',
      timing.takeoverAfterMs,
      `at least 2 * fenceAfterMs + heartbeatMs = ${leastTakeoverMs} ms`,
    );
  }
}
