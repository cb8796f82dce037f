import type {MachineResources} from './machine_resources.js';

const MIB = 1024 * 1024;
/** Descriptors of a machine that are kept for files. */
const FILE_DESCRIPTORS = 200;
/** Parts of the other descriptors; the rest is for calls of the instance itself. */
const CALLER_CONNECTION_PART = 0.42;
const DIRECTORY_CONNECTION_PART = 0.15;
const CONTROL_CONNECTION_PART = 0.05;
const AUXILIARY_CONNECTION_PART = 0.02;
const ENDPOINT_CONNECTION_PART = 0.27;
/** Part that requests in progress may use, below the above so that some can be hedged. */
const OPEN_REQUEST_PART = 0.22;
/** Memory of a machine from which on bodies get the full `FULL_BODY_BYTES`, in bytes. */
const FULL_MEMORY_BYTES = 350 * MIB;
const FULL_BODY_BYTES = 128 * MIB;
const FULL_RESERVED_BODY_BYTES = 16 * MIB;
/** Parts of the machine's memory. */
const CALLER_CONNECTION_MEMORY_PART = 0.15;
const OPEN_REQUEST_MEMORY_PART = 0.06;
const PAUSED_MEMORY_PART = 0.04;
const RESPONSE_MEMORY_PART = 0.08;
const UNCOLLECTED_MEMORY_PART = 0.03;
const HEAD_MEMORY_PART = 0.05;
/** Part of the heap that connections, and requests in progress, may fill each. */
const HEAP_PART = 0.25;
/** Part of the heap that the header fields of requests may fill beyond what each may use. */
const HEAD_HEAP_PART = 0.1;
/** Memory of a connection with most of a header of 16 KiB, measured (docs/CAPACITY.md). */
const CALLER_CONNECTION_BYTES = 33 * 1024;
/** Memory of an idle connection, measured; the rest of the above lies outside the heap. */
const CALLER_CONNECTION_HEAP_BYTES = 15 * 1024;
/** Memory of a request in progress without its connection, an upper estimate (docs/CAPACITY.md). */
const OPEN_REQUEST_BYTES = 30 * 1024;
/** Memory of a paused connection: bytes that wait, one read of Node.js, the kernel's buffer. */
const PAUSED_CONNECTION_BYTES = 256 * 1024;
/** Most requests of a connection in progress. */
const MAX_PIPELINED_REQUESTS = 16;
/** Refused requests that may await their turn for each request in progress; they hold little. */
const REFUSED_PER_OPEN_REQUEST = 3;
/** Memory for bodies where the machine is not known, as on a machine of `FULL_MEMORY_BYTES`. */
const DEFAULT_BODY_LIMITS = {
  maxBodyBytes: FULL_BODY_BYTES,
  reservedBodyBytes: FULL_RESERVED_BODY_BYTES,
};

/** Limits of an instance that follow from its machine; Infinity means that there is none. */
export interface ResourcePlan {
  /** Most connections of callers. */
  maxCallerConnections: number;
  /** Most connections to the directory, which all callers use. */
  maxDirectoryConnections: number;
  /** Most connections of other instances. */
  maxControlConnections: number;
  /** Most connections to each of the other listeners. */
  maxAuxiliaryConnections: number;
  /** Number of connections to endpoints above which none is kept idle. */
  maxEndpointConnections: number;
  /** Most requests of callers in progress, over all connections. */
  maxOpenRequests: number;
  /** Most refused requests that await the responses before them. */
  maxRefusedRequests: number;
  /** Most requests of one connection in progress. */
  maxPipelinedRequests: number;
  /** Most connections that are not read because of their pipelined requests. */
  maxPausedConnections: number;
  /** Most bytes of request bodies that are held. */
  maxBodyBytes: number;
  /** Part of `maxBodyBytes` that only small bodies may use. */
  reservedBodyBytes: number;
  /** Most bytes of the heads of requests beyond what each of them may use. */
  maxHeadBytes: number;
  /** Bytes of buffers read from connections and given up at which garbage is collected. */
  maxUncollectedBytes: number;
  /** Most bytes of responses that are held. */
  maxResponseBytes: number;
}

/**
 * Derives the limits of an instance from its machine, so that neither many callers, nor callers
 * that do not read, send slowly or pipeline requests, exceed its memory or descriptors. A single
 * body of 64 MiB fits from 202 MB of memory on.
 * @param machine - The resources of the machine; without them there are no limits but on bodies.
 * @param heapBytes - Limit of the heap of Node.js, in bytes.
 * @returns The limits.
 */
export function planResources(
  machine: MachineResources | undefined,
  heapBytes: number,
): ResourcePlan {
  if (!machine) {
    return {
      maxCallerConnections: Infinity,
      maxDirectoryConnections: Infinity,
      maxControlConnections: Infinity,
      maxAuxiliaryConnections: Infinity,
      maxEndpointConnections: Infinity,
      maxOpenRequests: Infinity,
      maxRefusedRequests: Infinity,
      maxPipelinedRequests: Infinity,
      maxPausedConnections: Infinity,
      ...DEFAULT_BODY_LIMITS,
      maxHeadBytes: Infinity,
      maxUncollectedBytes: Infinity,
      maxResponseBytes: Infinity,
    };
  }
  const {memoryBytes, maxDescriptors} = machine;
  const sockets = Math.max(0, maxDescriptors - FILE_DESCRIPTORS);
  const bodyFraction = Math.min(1, memoryBytes / FULL_MEMORY_BYTES);
  const heapShare = heapBytes * HEAP_PART;
  const limit = (...limits: number[]) =>
    Math.max(1, Math.floor(Math.min(...limits)));
  const maxOpenRequests = limit(
    sockets * OPEN_REQUEST_PART,
    (memoryBytes * OPEN_REQUEST_MEMORY_PART) / OPEN_REQUEST_BYTES,
    heapShare / OPEN_REQUEST_BYTES,
  );
  return {
    maxCallerConnections: limit(
      sockets * CALLER_CONNECTION_PART,
      (memoryBytes * CALLER_CONNECTION_MEMORY_PART) / CALLER_CONNECTION_BYTES,
      heapShare / CALLER_CONNECTION_HEAP_BYTES,
    ),
    maxDirectoryConnections: limit(sockets * DIRECTORY_CONNECTION_PART),
    maxControlConnections: limit(sockets * CONTROL_CONNECTION_PART),
    maxAuxiliaryConnections: limit(sockets * AUXILIARY_CONNECTION_PART),
    maxEndpointConnections: limit(sockets * ENDPOINT_CONNECTION_PART),
    maxOpenRequests,
    maxRefusedRequests: maxOpenRequests * REFUSED_PER_OPEN_REQUEST,
    maxPipelinedRequests: MAX_PIPELINED_REQUESTS,
    maxPausedConnections: limit(
      (memoryBytes * PAUSED_MEMORY_PART) / PAUSED_CONNECTION_BYTES,
    ),
    maxBodyBytes: Math.floor(FULL_BODY_BYTES * bodyFraction),
    reservedBodyBytes: Math.floor(FULL_RESERVED_BODY_BYTES * bodyFraction),
    maxHeadBytes: limit(
      memoryBytes * HEAD_MEMORY_PART,
      heapBytes * HEAD_HEAP_PART,
    ),
    maxUncollectedBytes: Math.floor(memoryBytes * UNCOLLECTED_MEMORY_PART),
    maxResponseBytes: Math.floor(memoryBytes * RESPONSE_MEMORY_PART),
  };
}
