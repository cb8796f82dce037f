import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {stringify} from 'smol-toml';

const REGIONS = ['lombardia', 'piemonte', 'veneto'];
const ZONES_PER_REGION = 3;
const FIRST_PORT = 20_000;
/** Ports of one instance: callers, readiness, directory, control and metrics. */
const PORTS_PER_INSTANCE = 5;
const SEED_COUNT = 3;
/** Fraction of the endpoints that belong to each service. */
const ENDPOINT_FRACTIONS = {tracker: 0.7, dispatch: 0.25, library: 0.05};

/** Settings of a fleet in a temporary directory; disposal removes it. */
export interface FleetFiles extends Disposable {
  /** Path of the settings of each instance. */
  files: string[];
  /** Writes routes and endpoints as a new version of the state file. */
  writeState(version: number): void;
}

/**
 * Writes the settings of a fleet on loopback.
 * @param instances - Number of instances.
 * @param endpoints - Number of endpoints; none of them has to be running.
 */
export function writeFleet(instances: number, endpoints: number): FleetFiles {
  const directory = mkdtempSync(join(tmpdir(), 'direct-fleet-'));
  const zones = REGIONS.flatMap(region =>
    Array.from({length: ZONES_PER_REGION}, (_, i) => `${region}-${i}`),
  );
  const files = Array.from({length: instances}, (_, i) => {
    const file = join(directory, `${i}.toml`);
    writeFileSync(file, stringify(createSettings(i, zones)));
    return file;
  });
  const writeState = (version: number) =>
    writeFileSync(
      join(directory, 'state.toml'),
      stringify(createState(version, endpoints, zones)),
    );
  writeState(1);
  return {
    files,
    writeState,
    [Symbol.dispose]: () => rmSync(directory, {recursive: true}),
  };
}

function getAddress(instance: number, port: number): string {
  return `127.0.0.1:${FIRST_PORT + instance * PORTS_PER_INSTANCE + port}`;
}

function createSettings(instance: number, zones: readonly string[]) {
  const zone = zones[instance % zones.length] ?? '';
  const controlPort = 3;
  return {
    id: `${zone}-${instance}`,
    zone,
    zones: Object.fromEntries(zones.map(each => [each, getRegion(each)])),
    callerAddress: getAddress(instance, 0),
    readinessAddress: getAddress(instance, 1),
    directoryAddress: getAddress(instance, 2),
    controlAddress: getAddress(instance, controlPort),
    metricsAddress: getAddress(instance, 4),
    seedAddresses: Array.from({length: SEED_COUNT}, (_, i) =>
      getAddress(i, controlPort),
    ),
    state: 'state.toml',
    traces: {exporter: 'none'},
  };
}

function getRegion(zone: string): string {
  return zone.slice(0, zone.lastIndexOf('-'));
}

function createState(version: number, count: number, zones: readonly string[]) {
  const names = Object.keys(ENDPOINT_FRACTIONS);
  const endpoints = Object.entries(ENDPOINT_FRACTIONS).flatMap(
    ([service, fraction]) =>
      Array.from({length: Math.floor(count * fraction)}, (_, i) => ({
        id: `${service}-${i}`,
        service,
        address: `127.0.0.1:${40_000 + i}`,
        zone: zones[i % zones.length] ?? '',
        slots: 5,
      })),
  );
  return {
    version,
    routes: names.map(name => ({
      name,
      host: `${name}.example`,
      prefix: '/',
      kind: 'safe',
      targets: [{service: name}],
      isSticky: true,
    })),
    services: names.map(name => ({name})),
    endpoints,
  };
}
