import {Priority, TraceExporter} from '@primrosestage/common';
import {z} from 'zod';
import {PRESET_SCHEMA} from '../documents/index.js';

const NAME = z
  .string()
  .regex(/^[a-z0-9-]+$/, 'a name of lower-case letters, digits and hyphens');
const ADDRESS = z
  .string()
  .regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, 'an address as IP:port');
const POSITIVE_MS = z.number().int().positive();

const SERVICE_SCHEMA = z.strictObject({
  name: NAME,
  priority: z.enum(Priority),
  /** Maximum number of requests that an endpoint runs concurrently. */
  slots: z.number().int().positive(),
  /** Maximum number of connections that an endpoint accepts. */
  maxConnections: z.number().int().positive(),
  endpoints: z
    .array(z.strictObject({zone: NAME, addresses: z.array(ADDRESS).nonempty()}))
    .nonempty(),
});

const TEAM_SCHEMA = z.strictObject({
  name: NAME,
  /** SHA-256 of the operators' tokens, in hexadecimal. */
  tokenSha256: z
    .array(z.string().regex(/^[0-9a-f]{64}$/, 'a SHA-256 in hexadecimal'))
    .nonempty(),
  services: z.array(SERVICE_SCHEMA).nonempty(),
  /** Presets that are written to the store if it has no document of the team. */
  presets: z.record(NAME, PRESET_SCHEMA),
  /** Preset that is in force in that initial document. */
  active: NAME,
});

const TIMING_SCHEMA = z.strictObject({
  defaultDeadlineMs: POSITIVE_MS.default(10_000),
  maxRequestMs: POSITIVE_MS.default(30_000),
  progressTimeoutMs: POSITIVE_MS.default(5_000),
  slowStartMs: z.number().int().min(0).default(10_000),
  drainNoticeMs: z.number().int().min(0).default(3_000),
  shutdownTimeoutMs: POSITIVE_MS.default(60_000),
  heartbeatMs: POSITIVE_MS.default(500),
  fenceAfterMs: POSITIVE_MS.default(2_000),
  takeoverAfterMs: POSITIVE_MS.default(6_000),
  joinAfterMs: POSITIVE_MS.default(15_000),
  probeIntervalMs: POSITIVE_MS.default(1_000),
});

/** Checks the settings that all instances of a system share. */
export const SYSTEM_SETTINGS_SCHEMA = z.strictObject({
  regions: z.array(NAME).nonempty(),
  zones: z.array(z.strictObject({name: NAME, region: NAME})).nonempty(),
  links: z.array(
    z.strictObject({
      regions: z.tuple([NAME, NAME]),
      capacityMbit: z.number().positive(),
      oneWayLatencyMs: z.number().min(0),
    }),
  ),
  store: z.strictObject({
    address: ADDRESS,
    region: NAME,
    timeoutMs: POSITIVE_MS.default(1_000),
  }),
  instances: z
    .array(
      z.strictObject({
        id: NAME,
        zone: NAME,
        public: ADDRESS,
        internal: ADDRESS,
        admin: ADDRESS,
      }),
    )
    .nonempty(),
  teams: z.array(TEAM_SCHEMA).nonempty(),
  /** Maps client address prefixes to regions; the longest prefix wins. */
  blocks: z.array(z.strictObject({prefix: z.string(), region: NAME})),
  /** Addresses of peers that may look up on behalf of another client. */
  trustedPeers: z.array(z.string()).default([]),
  timing: TIMING_SCHEMA.default(TIMING_SCHEMA.parse({})),
});

/** Checks the settings of the trace exporter. */
export const TRACES_SCHEMA = z
  .strictObject({
    exporter: z.enum(TraceExporter),
    /** OTLP URL, or a file for JSON lines; standard output if empty. */
    target: z.string().default(''),
  })
  .default({exporter: TraceExporter.None, target: ''});

/** Checks the settings of one instance. */
export const INSTANCE_SETTINGS_SCHEMA = z.strictObject({
  /** Path of the system's settings, relative to this file. */
  system: z.string(),
  id: NAME,
  log: z
    .strictObject({level: z.enum(['error', 'warn', 'info', 'debug'])})
    .default({level: 'info'}),
  traces: TRACES_SCHEMA,
});

/** Holds the settings that all instances of a system share. */
export type SystemSettings = z.infer<typeof SYSTEM_SETTINGS_SCHEMA>;

/** Holds the settings of one instance. */
export type InstanceSettings = z.infer<typeof INSTANCE_SETTINGS_SCHEMA>;
