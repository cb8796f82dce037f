/** Names what a child process of the benchmark runs. */
export enum ChildRole {
  /** Answers every request with a fixed answer. */
  FixedServer = 'fixed-server',
  /** Passes every request on to one address. */
  BareRelay = 'bare-relay',
  /** Runs the stand-in of a backend server. */
  Backend = 'backend',
  /** Runs an entry instance from its settings. */
  Instance = 'instance',
}

/** Tells a child process what to run. */
export interface ChildTask {
  role: ChildRole;
  /** `host:port` to listen on. */
  address?: string;
  /** `host:port` to pass requests on to. */
  target?: string;
  /** Body of the fixed answer. */
  body?: string;
  /** Path of an instance's settings. */
  settings?: string;
  /** Id of the backend server. */
  endpointId?: string;
}

/** Reports what a child process used so far. */
export interface ChildUsage {
  /** Processor time in milliseconds. */
  cpuMs: number;
  rssBytes: number;
  heapBytes: number;
}
