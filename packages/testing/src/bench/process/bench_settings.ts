import {createHash} from 'node:crypto';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';

/** First octets of the benchmark's listen addresses, distinct from those of the examples. */
const ADDRESS_PREFIX = '127.60';

/** Token of the benchmark's team. */
export const BENCH_TOKEN = 'bench-token';
const TOKEN_SHA256 = createHash('sha256').update(BENCH_TOKEN).digest('hex');

/** Lists the addresses that the benchmark uses. */
export const BENCH_ADDRESS = {
  fixedServer: `${ADDRESS_PREFIX}.200.1:7900`,
  relay: `${ADDRESS_PREFIX}.200.2:7900`,
  backend: `${ADDRESS_PREFIX}.200.3:7900`,
  firstPublic: `${ADDRESS_PREFIX}.201.1:7000`,
};

/** Describes the settings of a small system for the benchmark. */
export interface BenchSettingsOptions {
  /** Zone of each instance, such as `north-a`; the part before the hyphen is the region. */
  instanceZones: readonly string[];
  /** Zone of the one endpoint. */
  endpointZone: string;
  slots: number;
  /** Blocks of client addresses. */
  blocks?: readonly {prefix: string; region: string}[];
}

/** Holds settings files; disposal removes them. */
export interface BenchSettings extends Disposable {
  /** Path of the settings of each instance. */
  files: string[];
  /** Public address of each instance. */
  publicAddresses: string[];
  adminAddresses: string[];
}

/**
 * Writes settings files of a small system into a temporary directory.
 * @param options - Instances and endpoint.
 * @returns The files.
 */
export function writeBenchSettings(
  options: BenchSettingsOptions,
): BenchSettings {
  const directory = mkdtempSync(path.join(tmpdir(), 'primrose-bench-'));
  const zones = [
    ...new Set([...options.instanceZones, options.endpointZone]),
  ].sort();
  const getRegion = (zone: string) => zone.split('-')[0] ?? zone;
  const regions = [...new Set(zones.map(getRegion))];
  const instances = options.instanceZones.map((zone, i) => {
    const host = `${ADDRESS_PREFIX}.${201 + Math.floor(i / 200)}.${1 + (i % 200)}`;
    return {id: `i${i + 1}`, zone, host};
  });
  const quote = (value: string) => JSON.stringify(value);
  const links = regions.flatMap((from, i) =>
    regions
      .slice(i + 1)
      .map(
        to =>
          `{regions = [${quote(from)}, ${quote(to)}], capacityMbit = 4000, oneWayLatencyMs = 12}`,
      ),
  );
  const blocks = (options.blocks ?? []).map(
    ({prefix, region}) =>
      `{prefix = ${quote(prefix)}, region = ${quote(region)}}`,
  );
  const system = [
    `regions = ${JSON.stringify(regions)}`,
    `zones = [${zones.map(zone => `{name = ${quote(zone)}, region = ${quote(getRegion(zone))}}`).join(', ')}]`,
    `links = [${links.join(', ')}]`,
    `blocks = [${blocks.join(', ')}]`,
    'trustedPeers = ["127.0.0.1"]',
    '[store]',
    `address = "${ADDRESS_PREFIX}.200.9:7900"`,
    `region = ${quote(regions[0] ?? '')}`,
    ...instances.flatMap(({id, zone, host}) => [
      '[[instances]]',
      `id = ${quote(id)}`,
      `zone = ${quote(zone)}`,
      `public = "${host}:7000"`,
      `internal = "${host}:7001"`,
      `admin = "${host}:7002"`,
    ]),
    '[[teams]]',
    'name = "team"',
    `tokenSha256 = ["${TOKEN_SHA256}"]`,
    'active = "day"',
    '[[teams.services]]',
    'name = "search"',
    'priority = "normal"',
    `slots = ${options.slots}`,
    'maxConnections = 400',
    `endpoints = [{zone = ${quote(options.endpointZone)}, addresses = ["${BENCH_ADDRESS.backend}"]}]`,
    '[teams.presets.day]',
  ].join('\n');
  writeFileSync(path.join(directory, 'system.toml'), system);
  const files = instances.map(({id}) => {
    const file = path.join(directory, `${id}.toml`);
    writeFileSync(
      file,
      `system = "system.toml"\nid = ${quote(id)}\n[log]\nlevel = "error"\n`,
    );
    return file;
  });
  return {
    files,
    publicAddresses: instances.map(({host}) => `${host}:7000`),
    adminAddresses: instances.map(({host}) => `${host}:7002`),
    [Symbol.dispose]: () => rmSync(directory, {recursive: true}),
  };
}
