import type http from 'node:http';
import {GuardedAgent} from './guarded_agent.js';
import type {ConnectFunction} from './connect_function.js';

/** Configures a pool of connections. */
export interface CreateAgentOptions {
  connect: ConnectFunction;
  /** Maximum number of open connections per peer. */
  maxSockets?: number;
  /** Time after which an idle connection is closed, in milliseconds. */
  idleTimeoutMs?: number;
}

/**
 * Creates a pool of keep-alive connections, which are opened by the given function.
 * @param options - Connection function and limits.
 * @returns The pool; `destroy` closes its connections.
 */
export function createAgent(options: CreateAgentOptions): http.Agent {
  const agent = new GuardedAgent({
    keepAlive: true,
    maxSockets: options.maxSockets ?? Infinity,
    timeout: options.idleTimeoutMs ?? 10_000,
  });
  agent.createConnection = target => {
    const {host, port} = target as {host: string; port: number};
    return options.connect({host, port: Number(port)});
  };
  return agent;
}
