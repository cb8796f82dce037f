import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {
  applyConfigurationDelta,
  createConfigurationDelta,
  RecentDeltas,
  RequestKind,
  type RouteConfiguration,
} from '../../src/direct/index.js';

const LIMITS = {
  maxHeaderBytes: 1,
  maxBodyBytes: 1,
  headerTimeoutMs: 1,
  idleTimeoutMs: 1,
};
const entries = fc.uniqueArray(
  fc.record({
    name: fc.constantFrom<string>('a', 'b', 'c', 'd'),
    value: fc.nat(2),
  }),
  {selector: ({name}) => name, maxLength: 4},
);
const configurations = fc.record({
  routes: entries,
  services: entries,
  accounts: fc.option(entries, {nil: undefined}),
});

type Content = typeof configurations extends fc.Arbitrary<infer T> ? T : never;

function createConfiguration(
  version: number,
  {routes, services, accounts}: Content,
): RouteConfiguration {
  return {
    version,
    limits: LIMITS,
    routes: routes.map(({name, value}) => ({
      name,
      host: 'shop.example',
      prefix: `/${name}/`,
      kind: RequestKind.Safe,
      targets: [{service: name, weight: 1}],
      timeoutMs: value,
      objectiveMs: 0,
      priority: 0,
      attempts: 1,
      isSticky: false,
      homeRegions: [],
    })),
    services: new Map(
      services.map(({name, value}) => [
        name,
        {
          name,
          healthPath: '/',
          maxConnections: value,
          coldMs: 0,
          coldPerSecond: 0,
        },
      ]),
    ),
    accounts: accounts?.map(({name, value}) => ({
      name,
      keys: [`key-${value}`],
      ratePerSecond: 0,
      burst: 0,
      homeRegions: [],
    })),
  };
}

function sortEntries(configuration: RouteConfiguration) {
  const {routes, services, accounts} = configuration;
  const sort = <T extends {name: string}>(entries: readonly T[]) =>
    [...entries].sort((a, b) => a.name.localeCompare(b.name));
  return {
    ...configuration,
    routes: sort(routes),
    services: sort([...services.values()]),
    accounts: accounts && sort(accounts),
  };
}

describe('a difference of configurations', () => {
  it('guards against a configuration that differs from the one that was read', () => {
    fc.assert(
      fc.property(configurations, configurations, (first, second) => {
        const before = createConfiguration(1, first);
        const after = createConfiguration(4, second);
        const delta = createConfigurationDelta(before, after);
        if (!delta) return;
        const sent = JSON.parse(JSON.stringify(delta)) as typeof delta;
        const applied = applyConfigurationDelta(before, sent);
        expect(applied && sortEntries(applied)).toEqual(sortEntries(after));
      }),
      {seed: 20_261_207, numRuns: 500},
    );
  });

  it('guards against a difference that is applied to another configuration', () => {
    const content = (value: number): Content => ({
      routes: [{name: 'a', value}],
      services: [],
      accounts: undefined,
    });
    const before = createConfiguration(1, content(0));
    const after = createConfiguration(2, {
      ...content(0),
      services: [{name: 'b', value: 1}],
    });
    const delta = createConfigurationDelta(before, after)!;
    expect(delta.routes.set).toEqual([]);
    expect(applyConfigurationDelta(before, delta)).toEqual(after);
    const later = createConfiguration(3, content(0));
    expect(applyConfigurationDelta(later, delta)).toBeUndefined();
    const other = createConfiguration(1, content(1));
    expect(applyConfigurationDelta(other, delta)).toBeUndefined();
  });

  it('gives no difference where routes share their prefix, so that their order counts', () => {
    const create = (version: number) => {
      const configuration = createConfiguration(version, {
        routes: [
          {name: 'a', value: version},
          {name: 'b', value: 0},
        ],
        services: [],
        accounts: undefined,
      });
      const routes = configuration.routes.map(route => ({
        ...route,
        prefix: '/same/',
      }));
      return {...configuration, routes};
    };
    expect(createConfigurationDelta(create(1), create(2))).toBeUndefined();
  });

  it('guards against a difference that is not used since the order of entries has changed', () => {
    const create = (version: number, names: string[]) =>
      createConfiguration(version, {
        routes: names.map(name => ({name, value: 0})),
        services: [],
        accounts: undefined,
      });
    const before = create(1, ['a', 'b']);
    const delta = createConfigurationDelta(before, create(2, ['c', 'b', 'a']));
    const names = applyConfigurationDelta(before, delta!)?.routes.map(
      ({name}) => name,
    );
    expect(names).toEqual(['a', 'b', 'c']);
  });

  it('are kept as a chain for some time, which lets an instance follow that has missed some', () => {
    const create = (version: number) =>
      createConfiguration(version, {
        routes: [{name: 'a', value: version}],
        services: [],
        accounts: undefined,
      });
    const deltas = new RecentDeltas();
    const add = (since: number, version: number, now: number) => {
      const delta = createConfigurationDelta(create(since), create(version));
      deltas.add(delta!, now);
    };
    add(1, 2, 0);
    add(2, 5, 1_000);
    const followed = deltas
      .get(1_000)
      .reduce(
        (before, delta) => applyConfigurationDelta(before, delta) ?? before,
        create(1),
      );
    expect(followed).toEqual(create(5));
    expect(deltas.get(3_500).map(({since}) => since)).toEqual([2]);
    add(7, 9, 3_600);
    expect(deltas.get(3_600).map(({since}) => since)).toEqual([7]);
    for (let since = 9; since < 200; since++) add(since, since + 1, 3_600);
    expect(JSON.stringify(deltas.get(3_600)).length).toBeLessThan(8_400);
    expect(deltas.get(9_000)).toEqual([]);
  });
});
