/** Names what a child process of the benchmark runs. */
export enum ChildRole {
  /** Answers every request with a fixed response; also stands in for a backend server. */
  FixedServer = 'fixed-server',
  /** Forwards every request to one address. */
  BareRelay = 'bare-relay',
  /** Runs an instance from its settings. */
  Instance = 'instance',
}

/** Tells a child process what to run. */
export interface ChildTask {
  role: ChildRole;
  /** `host:port` to listen on. */
  address?: string;
  /** `host:port` to forward requests to. */
  target?: string;
  /** Body of the fixed response. */
  body?: string;
  /** Path of an instance's settings. */
  settings?: string;
}

/** Reports the resource usage of a child process so far. */
export interface ChildUsage {
  /** Processor time in milliseconds. */
  cpuMs: number;
  rssBytes: number;
  heapBytes: number;
}
