import {
  compareConfigurations,
  findConfigurationIssues,
  formatFindings,
  hasIssues,
  RequestKind,
  type ClientAccount,
  type DirectService,
  type Route,
  type RouteConfiguration,
} from '@primrosestage/steering';
import {describe, expect, it} from 'vitest';

const ROUTE: Route = {
  name: 'pages',
  host: 'shop.example',
  prefix: '/',
  kind: RequestKind.Safe,
  targets: [{service: 'catalogue', weight: 1}],
  timeoutMs: 2_000,
  objectiveMs: 500,
  priority: 1,
  attempts: 2,
  isSticky: true,
  homeRegions: ['north'],
};
const SERVICE: DirectService = {
  name: 'catalogue',
  healthPath: '/',
  maxConnections: 100,
  coldMs: 3_000,
  coldPerSecond: 7.5,
};
const ACCOUNT: ClientAccount = {
  name: 'till one',
  keys: ['secret-1', 'secret-2'],
  priority: 0,
  ratePerSecond: 5,
  burst: 10,
  homeRegions: ['north', 'south'],
};
const LIMITS = {
  maxHeaderBytes: 65_536,
  maxBodyBytes: 67_108_864,
  headerTimeoutMs: 10_000,
  idleTimeoutMs: 60_000,
};

interface Parts {
  version?: number;
  routes?: Array<Partial<Route>>;
  services?: Array<Partial<DirectService>>;
  accounts?: Array<Partial<ClientAccount>>;
  limits?: Partial<RouteConfiguration['limits']>;
}

function create(parts: Parts = {}): RouteConfiguration {
  const services = (parts.services ?? [{}]).map(s => ({...SERVICE, ...s}));
  return {
    version: parts.version ?? 7,
    routes: (parts.routes ?? [{}]).map(route => ({...ROUTE, ...route})),
    services: new Map(services.map(service => [service.name, service])),
    accounts: (parts.accounts ?? [{}]).map(a => ({...ACCOUNT, ...a})),
    limits: {...LIMITS, ...parts.limits},
  };
}

const SECOND = {name: 'more', prefix: '/more/'};
const CASES: Array<[string, string, Parts]> = [
  ['not-whole-number', 'version', {version: 7.5}],
  ['invalid-number', 'version', {version: NaN}],
  ['duplicate-name', 'routes.pages', {routes: [{}, {prefix: '/x/'}]}],
  ['duplicate-name', 'accounts."till one"', {accounts: [{}, {keys: ['x']}]}],
  [
    'unknown-service',
    'routes.pages.targets',
    {routes: [{targets: [...ROUTE.targets, {service: 'x', weight: 1}]}]},
  ],
  [
    'zero-weights',
    'routes.pages.targets',
    {routes: [{targets: [{service: 'catalogue', weight: 0}]}]},
  ],
  [
    'invalid-number',
    'routes.pages.targets',
    {
      routes: [
        {targets: [...ROUTE.targets, {service: 'catalogue', weight: -1}]},
      ],
    },
  ],
  ...(['timeoutMs', 'objectiveMs', 'priority', 'attempts'] as const).map(
    (field): [string, string, Parts] => [
      'invalid-number',
      `routes.pages.${field}`,
      {routes: [{[field]: -1}]},
    ],
  ),
  ['not-whole-number', 'routes.pages.priority', {routes: [{priority: 0.5}]}],
  ['not-whole-number', 'routes.pages.attempts', {routes: [{attempts: 1.5}]}],
  ...['', 'a b', 'a..example', '*.example', 'a.example:80', 'http://a'].map(
    (host): [string, string, Parts] => [
      'invalid-host',
      'routes.pages.host',
      {routes: [{host}]},
    ],
  ),
  ...['', '/a b/', '/a?b/', '/#/', '/é/'].map(
    (prefix): [string, string, Parts] => [
      'invalid-prefix',
      'routes.pages.prefix',
      {routes: [{prefix}]},
    ],
  ),
  ['prefix-without-slash', 'routes.pages.prefix', {routes: [{prefix: 'a/'}]}],
  ['prefix-without-slash', 'routes.pages.prefix', {routes: [{prefix: '/a'}]}],
  ['same-match', 'routes.more.prefix', {routes: [{}, {name: 'more'}]}],
  [
    'host-case',
    'routes.more.host',
    {routes: [{}, {...SECOND, host: 'Shop.example'}]},
  ],
  [
    'objective-above-timeout',
    'routes.pages.objectiveMs',
    {routes: [{objectiveMs: 2_001}]},
  ],
  [
    'attempts-without-timeout',
    'routes.pages.timeoutMs',
    {routes: [{timeoutMs: 0}]},
  ],
  ['attempts-below-one', 'routes.pages.attempts', {routes: [{attempts: 0}]}],
  ...(['maxConnections', 'coldMs', 'coldPerSecond'] as const).map(
    (field): [string, string, Parts] => [
      'invalid-number',
      `services.catalogue.${field}`,
      {services: [{[field]: -1}]},
    ],
  ),
  ['unused-service', 'services.idle', {services: [{}, {name: 'idle'}]}],
  [
    'cold-time-without-rate',
    'services.catalogue.coldPerSecond',
    {services: [{coldPerSecond: 0}]},
  ],
  ['no-header-value', 'accounts."a\\n".name', {accounts: [{name: 'a\n'}]}],
  [
    'no-header-value',
    'accounts."till one".keys',
    {accounts: [{keys: ['secret-1 ']}]},
  ],
  [
    'no-header-value',
    'accounts."till one".keys',
    {accounts: [{keys: ['secret-1, secret-2']}]},
  ],
  ['no-keys', 'accounts."till one".keys', {accounts: [{keys: []}]}],
  [
    'shared-key',
    'accounts.b.keys',
    {accounts: [{}, {name: 'b', keys: ['x', 'secret-2']}]},
  ],
  ...(['priority', 'ratePerSecond', 'burst'] as const).map(
    (field): [string, string, Parts] => [
      'invalid-number',
      `accounts."till one".${field}`,
      {accounts: [{[field]: Infinity}]},
    ],
  ),
  [
    'not-whole-number',
    'accounts."till one".priority',
    {accounts: [{priority: 0.5}]},
  ],
  [
    'burst-without-rate',
    'accounts."till one".burst',
    {accounts: [{ratePerSecond: 0}]},
  ],
  [
    'burst-below-one',
    'accounts."till one".burst',
    {accounts: [{ratePerSecond: 0.5, burst: 0.9}]},
  ],
  [
    'no-common-region',
    'accounts."till one".homeRegions',
    {accounts: [{homeRegions: ['south']}]},
  ],
  ['invalid-number', 'limits.idleTimeoutMs', {limits: {idleTimeoutMs: -1}}],
  [
    'header-above-server',
    'limits.maxHeaderBytes',
    {limits: {maxHeaderBytes: 65_537}},
  ],
  [
    'body-above-memory',
    'limits.maxBodyBytes',
    {limits: {maxBodyBytes: 117_440_513}},
  ],
];

const WARNINGS = [
  'same-match',
  'host-case',
  'prefix-without-slash',
  'unused-service',
  'no-common-region',
  'burst-without-rate',
  'objective-above-timeout',
  'attempts-without-timeout',
  'attempts-below-one',
  'burst-below-one',
  'body-above-memory',
  'header-above-server',
  'cold-time-without-rate',
];

describe('findConfigurationIssues', () => {
  it('guards against findings in a valid configuration', () => {
    const inForce = create({version: 6});
    expect(findConfigurationIssues(create(), {inForce})).toEqual([]);
    expect(findConfigurationIssues({...create(), accounts: undefined})).toEqual(
      [],
    );
  });

  it.each(CASES)('guards against missing %s at %s', (code, place, parts) => {
    const findings = findConfigurationIssues(create(parts));
    const severity = WARNINGS.includes(code) ? 'warning' : 'error';
    expect(findings).toMatchObject([{severity, code, place}]);
    expect(findings[0]?.value).not.toBe('');
    expect(findings[0]?.expected).not.toBe('');
    expect(formatFindings(findings)).not.toContain('secret');
  });

  it('guards against a version that instances would ignore', () => {
    const options = {inForce: create()};
    for (const version of [6, 7]) {
      expect(findConfigurationIssues(create({version}), options)).toMatchObject(
        [{code: 'version-not-higher', value: String(version)}],
      );
    }
  });

  it('guards against equal names of services, which the map hides', () => {
    const serviceNames = ['catalogue', 'catalogue'];
    expect(findConfigurationIssues(create(), {serviceNames})).toMatchObject([
      {code: 'duplicate-name', place: 'services.catalogue'},
    ]);
  });

  it('guards against places that the checked file does not have', () => {
    const fieldNames = new Map([
      ['accounts', 'clients'],
      ['keys', 'client-keys'],
    ]);
    const configuration = create({accounts: [{keys: []}]});
    expect(findConfigurationIssues(configuration, {fieldNames})).toMatchObject([
      {place: 'clients."till one".client-keys'},
    ]);
  });
});

describe('compareConfigurations', () => {
  it('guards against missing differences, and against keys in them', () => {
    const findings = compareConfigurations(
      create(),
      create({
        version: 8,
        routes: [{timeoutMs: 3_000}, SECOND],
        services: [{name: 'basket'}],
        accounts: [{keys: ['secret-2', 'secret-3', 'secret-4'], burst: 20}],
        limits: {maxBodyBytes: 1_024},
      }),
    );
    const text = formatFindings(findings);
    expect(text.split('\n')).toEqual([
      'difference: routes.pages.timeoutMs: 3000 ms, in force: 2000 ms',
      'difference: routes.more: added',
      'difference: services.catalogue: removed',
      'difference: services.basket: added',
      'difference: accounts."till one".keys: 2 added, 1 removed, in force: 2 keys',
      'difference: accounts."till one".burst: 20, in force: 10',
      'difference: limits.maxBodyBytes: 1024 bytes, in force: 67108864 bytes',
      'valid',
      '',
    ]);
    expect(JSON.stringify(findings)).not.toContain('secret');
    expect(hasIssues(findings)).toBe(false);
  });

  it('guards against a silent start of accounts, after which every request needs a key', () => {
    const findings = compareConfigurations(
      {...create(), accounts: undefined},
      create(),
    );
    expect(findings).toMatchObject([
      {code: 'added', place: 'accounts'},
      {code: 'added', place: 'accounts."till one"'},
    ]);
    expect(compareConfigurations(create(), create())).toEqual([]);
  });
});
