import {statSync} from 'node:fs';
import {getErrorMessage, type TimerService} from '@primrosestage/common';
import {
  type DirectFileState,
  loadDirectState,
  RegistryError,
  RegistryFault,
  type RegistryItem,
  type RegistryItems,
  type RegistryStore,
} from '@primrosestage/control';
import {
  type EndpointEntry,
  EndpointState,
  RequestKind,
  type RouteConfiguration,
} from '@primrosestage/steering';
import type {ControlSource, DecodedItem} from './control_source.js';

/** Time between two polls of the file, in milliseconds. */
const POLL_INTERVAL_MS = 250;
const CONFIGURATION_KEY = 'configuration';
const ENDPOINT_PREFIX = 'endpoints/';
const EVACUATION_PREFIX = 'evacuations/';

/**
 * Reads routes, services, endpoints and evacuations from a TOML file that an operator writes. For
 * an invalid file, calls fail with a RegistryError and the last valid state is kept.
 */
export class FileRegistry implements RegistryStore {
  private readonly items = new Map<string, RegistryItem>();
  private revision = 0;
  private modifiedAt = -1;

  /**
   * Creates the registry.
   * @param file - Path of the TOML file.
   * @param timers - The clock.
   */
  constructor(
    private readonly file: string,
    private readonly timers: TimerService,
  ) {}

  async list(): Promise<RegistryItems> {
    this.refresh();
    const items = [...this.items.values()].filter(({value}) => value);
    return {items, revision: this.revision};
  }

  async watch(
    _prefix: string,
    after: number,
    signal: AbortSignal,
  ): Promise<RegistryItems> {
    while (this.revision <= after) {
      await this.timers.sleep(POLL_INTERVAL_MS, signal);
      if (signal.aborted) {
        throw this.createError(RegistryFault.NoResponse, 'aborted');
      }
      this.refresh();
    }
    const items = [...this.items.values()].filter(
      ({revision}) => revision > after,
    );
    return {items, revision: this.revision};
  }

  async readRevision(): Promise<number> {
    this.refresh();
    return this.revision;
  }

  /** Stores nothing: only the operator writes the file, and instances find each other by seeds. */
  async put(): Promise<void> {}

  private refresh(): void {
    try {
      const modifiedAt = statSync(this.file).mtimeMs;
      if (modifiedAt === this.modifiedAt) return;
      const state = loadDirectState(this.file);
      this.modifiedAt = modifiedAt;
      this.applyState(state);
    } catch (err) {
      throw this.createError(RegistryFault.Unavailable, err);
    }
  }

  private applyState(state: DirectFileState): void {
    const {version, routes, services, limits, accounts} = state;
    const values = new Map<string, unknown>();
    values.set(CONFIGURATION_KEY, {
      version,
      routes,
      services,
      limits,
      accounts,
    });
    for (const endpoint of state.endpoints) {
      values.set(`${ENDPOINT_PREFIX}${endpoint.id}`, endpoint);
    }
    for (const zone of state.evacuatedZones) {
      values.set(`${EVACUATION_PREFIX}${zone}`, true);
    }
    for (const key of new Set([...this.items.keys(), ...values.keys()])) {
      this.set(key, values.get(key));
    }
  }

  private set(key: string, value: unknown): void {
    const bytes =
      value === undefined ? undefined : Buffer.from(JSON.stringify(value));
    const previous = this.items.get(key)?.value;
    const isSame =
      bytes === undefined ? previous === undefined : previous?.equals(bytes);
    if (isSame) return;
    this.items.set(key, {key, value: bytes, revision: ++this.revision});
  }

  private createError(fault: RegistryFault, cause: unknown): RegistryError {
    const message = `${this.file}: ${getErrorMessage(cause)}`;
    return new RegistryError(fault, this.file, message, cause);
  }
}

/**
 * Creates a control source that reads an operator's file.
 * @param file - Path of the TOML file.
 * @param timers - The clock.
 */
export function createFileSource(
  file: string,
  timers: TimerService,
): ControlSource {
  return {
    store: new FileRegistry(file, timers),
    prefix: '',
    getMemberKey: id => `members/${id}`,
    decode: decodeItem,
  };
}

function decodeItem({key, value, revision}: RegistryItem): DecodedItem {
  const content: unknown = value && JSON.parse(value.toString('utf8'));
  if (key.startsWith(ENDPOINT_PREFIX)) {
    const id = key.slice(ENDPOINT_PREFIX.length);
    const endpoint = content as DirectFileState['endpoints'][number];
    const entry: EndpointEntry | undefined = endpoint && {
      ...endpoint,
      state: endpoint.state as EndpointState,
    };
    return {endpoint: {id, revision, entry, isRemoved: !entry}};
  }
  if (key.startsWith(EVACUATION_PREFIX)) {
    const zone = key.slice(EVACUATION_PREFIX.length);
    return {evacuation: {zone, revision, isActive: content !== undefined}};
  }
  const state = content as Omit<
    DirectFileState,
    'endpoints' | 'evacuatedZones'
  >;
  const configuration: RouteConfiguration = {
    ...state,
    routes: state.routes.map(route => ({
      ...route,
      kind: route.kind as RequestKind,
    })),
    services: new Map(state.services.map(service => [service.name, service])),
  };
  return {configuration};
}
