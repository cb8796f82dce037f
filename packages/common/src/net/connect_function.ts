import type {Duplex} from 'node:stream';

/** Names the listener to connect to. */
export interface ConnectTarget {
  host: string;
  port: number;
}

/** Opens a connection; failure tests pass a function that refuses, drops or stalls connections. */
export type ConnectFunction = (target: ConnectTarget) => Duplex;
