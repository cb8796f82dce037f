import {RequestKind} from '@primrosestage/steering';

/** Describes one kind of request and the service that runs it. */
export interface SimRequestKind {
  name: string;
  requestKind: RequestKind;
  /** Mean run time of a request whose object is not cached, in milliseconds. */
  workMs: number;
  /** Number of objects that the callers of one zone request. */
  objectCount: number;
  objectiveMs: number;
  deadlineMs: number;
  /** Relative frequency. */
  share: number;
  slots: number;
  /** Number of requests that an endpoint queues. */
  queueCapacity: number;
  /** Number of objects that an endpoint caches. */
  cacheSize: number;
  /** Number of endpoints by zone. */
  endpoints: Readonly<Record<string, number>>;
  /** Exponent of the Zipf distribution of requests over objects; undefined for equal shares. */
  objectSkew?: number;
  /** Requests that take several times as long; undefined for none. */
  slowWork?: {fraction: number; factor: number};
  /** Endpoints whose work takes longer for a time; undefined for none. */
  slowEndpoints?: SlowEndpoints;
}

/** Describes endpoints whose work takes longer; which ones is drawn anew at an interval. */
export interface SlowEndpoints {
  fraction: number;
  /** Factor on the work, stated as the fourth load figure (200 for 2). */
  factor: number;
  intervalMs: number;
}

/** Describes a deployment for the simulation. */
export interface SimDeployment {
  name: string;
  /** Region of each zone. */
  zones: Readonly<Record<string, string>>;
  /** One-way latencies in milliseconds. */
  interZoneMs: number;
  interRegionMs: number;
  callerLatencyMs: number;
  instancesPerZone: number;
  kinds: readonly SimRequestKind[];
}

/** Fraction of the work that remains if the object is cached. */
export const CACHED_WORK_FRACTION = 0.3;

/** Lists the current deployments. */
export const SIM_DEPLOYMENTS: readonly SimDeployment[] = [
  {
    name: 'ruotalibera',
    zones: {
      'lombardia-a': 'lombardia',
      'piemonte-a': 'piemonte',
      'veneto-a': 'veneto',
    },
    interZoneMs: 1.4,
    interRegionMs: 55,
    callerLatencyMs: 1,
    instancesPerZone: 2,
    kinds: [
      {
        name: 'status',
        requestKind: RequestKind.Safe,
        workMs: 480,
        objectCount: 51,
        objectiveMs: 400,
        deadlineMs: 2_500,
        share: 6.2,
        slots: 4,
        queueCapacity: 12,
        cacheSize: 36,
        endpoints: {'lombardia-a': 12, 'piemonte-a': 2, 'veneto-a': 10},
      },
      {
        name: 'booking',
        requestKind: RequestKind.Unsafe,
        workMs: 640,
        objectCount: 17,
        objectiveMs: 500,
        deadlineMs: 3_000,
        share: 1.7,
        slots: 3,
        queueCapacity: 9,
        cacheSize: 25,
        endpoints: {'lombardia-a': 6, 'piemonte-a': 2, 'veneto-a': 4},
      },
    ],
  },
  {
    name: 'tesfaye',
    zones: {
      'addis-a': 'addis',
      'bahirdar-a': 'bahirdar',
      'hawassa-a': 'hawassa',
    },
    interZoneMs: 0.9,
    interRegionMs: 12,
    callerLatencyMs: 8,
    instancesPerZone: 2,
    kinds: [
      {
        name: 'catalogue',
        requestKind: RequestKind.Safe,
        workMs: 240,
        objectCount: 60,
        objectiveMs: 200,
        deadlineMs: 1_200,
        share: 4.5,
        slots: 6,
        queueCapacity: 18,
        cacheSize: 50,
        endpoints: {'addis-a': 4, 'bahirdar-a': 5, 'hawassa-a': 5},
      },
      {
        name: 'order',
        requestKind: RequestKind.Unsafe,
        workMs: 312,
        objectCount: 24,
        objectiveMs: 200,
        deadlineMs: 1_500,
        share: 1.8,
        slots: 4,
        queueCapacity: 12,
        cacheSize: 30,
        endpoints: {'addis-a': 4, 'bahirdar-a': 4, 'hawassa-a': 4},
      },
    ],
  },
];

/** Lists deployments with uneven demand, endpoints of varying speed and many instances. */
export const UNEVEN_SIM_DEPLOYMENTS: readonly SimDeployment[] = [
  {
    name: 'few-endpoints',
    zones: {'a-1': 'a', 'b-1': 'b', 'c-1': 'c'},
    interZoneMs: 1.4,
    interRegionMs: 30,
    callerLatencyMs: 2,
    instancesPerZone: 10,
    kinds: [
      {
        name: 'read',
        requestKind: RequestKind.Safe,
        workMs: 440,
        objectCount: 82,
        objectiveMs: 448,
        deadlineMs: 2_239,
        share: 4,
        slots: 3,
        queueCapacity: 9,
        cacheSize: 24,
        endpoints: {'a-1': 60, 'b-1': 14, 'c-1': 60},
        objectSkew: 0.6,
      },
      {
        name: 'write',
        requestKind: RequestKind.Unsafe,
        workMs: 560,
        objectCount: 39,
        objectiveMs: 1_051,
        deadlineMs: 3_152,
        share: 1,
        slots: 3,
        queueCapacity: 9,
        cacheSize: 24,
        endpoints: {'a-1': 26, 'b-1': 6, 'c-1': 26},
        objectSkew: 0.6,
      },
    ],
  },
  {
    name: 'many-instances',
    zones: {'a-1': 'a', 'b-1': 'b', 'c-1': 'c'},
    interZoneMs: 1.4,
    interRegionMs: 30,
    callerLatencyMs: 2,
    instancesPerZone: 20,
    kinds: [
      {
        name: 'read',
        requestKind: RequestKind.Safe,
        workMs: 750,
        objectCount: 55,
        objectiveMs: 639,
        deadlineMs: 4_257,
        share: 1,
        slots: 3,
        queueCapacity: 9,
        cacheSize: 13,
        endpoints: {'a-1': 37, 'b-1': 36, 'c-1': 36},
        objectSkew: 0.6,
        slowWork: {fraction: 0.03, factor: 7},
        slowEndpoints: {fraction: 0.15, factor: 2.5, intervalMs: 600},
      },
    ],
  },
];
