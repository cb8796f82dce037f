import {z} from 'zod';
import {TRACES_SCHEMA} from './settings_schema.js';

const ADDRESS = z.string().regex(/^[\w.-]+:\d+$/, 'host:port');
const MILLISECONDS = z.number().int().min(0);

/** Checks the settings of an instance that sends requests directly to endpoints. */
export const DIRECT_SETTINGS_SCHEMA = z.strictObject({
  id: z.string().min(1),
  zone: z.string().min(1),
  /** Region of each zone. */
  zones: z.record(z.string(), z.string()),
  callerAddress: ADDRESS,
  readinessAddress: ADDRESS,
  directoryAddress: ADDRESS,
  controlAddress: ADDRESS,
  /** Address for datagrams between instances; `controlAddress` by default. */
  gossipAddress: ADDRESS.optional(),
  metricsAddress: ADDRESS.optional(),
  traces: TRACES_SCHEMA,
  seedAddresses: z.array(ADDRESS).default([]),
  /** Whether all instances start together for the first time. */
  isSystemStart: z.boolean().default(false),
  /** File of routes, services, endpoints and evacuations, relative to the settings file. */
  state: z.string().min(1),
  bounds: z
    .strictObject({
      repeatRatio: z.number().min(0).default(0.1),
      repeatSlack: z.number().min(0).default(10),
      repeatWindowMs: MILLISECONDS.default(10_000),
      coldFactor: z.number().min(0).default(1),
      coldSlack: z.number().min(0).default(0),
      maxShift: z.number().positive().max(1).default(0.15),
      drainMs: MILLISECONDS.default(3_000),
      stopTimeoutMs: MILLISECONDS.default(10_000),
      maxDirectoryTtlMs: MILLISECONDS.default(5_000),
      /** Tolerance of the quotas of accounts; quotas are not enforced without it. */
      quota: z
        .strictObject({
          windowMs: z.number().int().min(1).default(5_000),
          overshoot: z.number().min(0).default(0.1),
          slack: z.number().min(0).default(20),
        })
        .optional(),
    })
    .prefault({}),
  /** Resources of the machine, from which limits on memory and connections follow. */
  machine: z
    .strictObject({
      memoryBytes: z.number().int().min(1),
      maxDescriptors: z.number().int().min(1),
      /** Processing capacity in cores. */
      cores: z.number().positive().optional(),
    })
    .optional(),
});

/** Checks an operator's routes, services, endpoints and evacuations. */
export const DIRECT_STATE_SCHEMA = z.strictObject({
  /** Increases with each change of routes and services. */
  version: z.number().int().min(1),
  /** Evacuated zones; their endpoints are sent no further requests. */
  evacuatedZones: z.array(z.string()).default([]),
  limits: z
    .strictObject({
      maxHeaderBytes: z.number().int().default(16_384),
      maxBodyBytes: z.number().int().default(1_048_576),
      headerTimeoutMs: MILLISECONDS.default(5_000),
      idleTimeoutMs: MILLISECONDS.default(60_000),
    })
    .prefault({}),
  routes: z.array(
    z.strictObject({
      name: z.string().min(1),
      host: z.string().min(1),
      prefix: z.string().regex(/^\/(.*\/)?$/, 'begins and ends with a slash'),
      kind: z.enum(['safe', 'unsafe', 'download', 'upload']),
      targets: z
        .array(
          z.strictObject({
            service: z.string().min(1),
            weight: z.number().min(0).default(1),
          }),
        )
        .min(1),
      timeoutMs: MILLISECONDS.default(0),
      objectiveMs: MILLISECONDS.default(0),
      priority: z.number().int().min(0).default(0),
      attempts: z.number().int().min(1).default(2),
      isSticky: z.boolean().default(false),
      homeRegions: z.array(z.string()).default([]),
      /** Whether requests need no account. */
      isPublic: z.boolean().default(false),
    }),
  ),
  /** Client accounts; without them, requests carry no keys. */
  accounts: z
    .array(
      z.strictObject({
        name: z.string().min(1),
        keys: z.array(z.string().min(1)),
        priority: z.number().int().min(0).optional(),
        ratePerSecond: z.number().min(0).default(0),
        burst: z.number().min(0).default(0),
        homeRegions: z.array(z.string()).default([]),
      }),
    )
    .optional(),
  services: z.array(
    z.strictObject({
      name: z.string().min(1),
      healthPath: z.string().default('/healthz'),
      maxConnections: z.number().int().min(0).default(0),
      coldMs: MILLISECONDS.default(0),
      coldPerSecond: z.number().min(0).default(0),
    }),
  ),
  endpoints: z.array(
    z.strictObject({
      id: z.string().min(1),
      service: z.string().min(1),
      address: ADDRESS,
      zone: z.string().min(1),
      slots: z.number().int().min(1),
      state: z.enum(['ready', 'draining']).default('ready'),
      coldLeftMs: MILLISECONDS.default(0),
      bornAt: z.number().int().default(0),
    }),
  ),
});

/** Settings of an instance that sends requests directly to endpoints. */
export type DirectFileSettings = z.infer<typeof DIRECT_SETTINGS_SCHEMA>;

/** An operator's routes, services, endpoints and evacuations. */
export type DirectFileState = z.infer<typeof DIRECT_STATE_SCHEMA>;
