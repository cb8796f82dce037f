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
