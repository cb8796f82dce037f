import type {Duplex} from 'node:stream';
import {type ConnectTarget, connectTcp} from '@primrosestage/common';
import {FaultSocket} from './fault_socket.js';

/** Says how connections to a host fail. */
export enum PartitionKind {
  /** New connections are refused and existing ones are reset. */
  Refused = 'refused',
  /** New connections are never answered and existing ones go silent. */
  Silent = 'silent',
}

/** Port on which nothing listens, so that the kernel refuses the connection. */
const CLOSED_PORT = 1;

/** Opens the connections of an instance and makes them fail on command. */
export class FaultConnector {
  private partitions = new Map<string, PartitionKind>();
  private readonly sockets = new Set<FaultSocket>();

  /** Opens a connection; pass it to `serve` as its `ConnectFunction`. */
  readonly connect = (target: ConnectTarget): Duplex => {
    const kind = this.partitions.get(target.host);
    if (kind === PartitionKind.Refused) {
      return connectTcp({host: target.host, port: CLOSED_PORT});
    }
    const socket = new FaultSocket(target, kind === PartitionKind.Silent);
    this.sockets.add(socket);
    socket.once('close', () => this.sockets.delete(socket));
    return socket;
  };

  /**
   * Replaces the hosts that are cut off.
   * @param partitions - Kind of cut by host.
   */
  setPartitions(partitions: Record<string, PartitionKind>): void {
    this.partitions = new Map(Object.entries(partitions));
    for (const socket of this.sockets) {
      const kind = this.partitions.get(socket.target.host);
      if (kind === PartitionKind.Silent) socket.silence();
      if (kind === PartitionKind.Refused) {
        socket.destroy(
          Object.assign(new Error('read ECONNRESET'), {code: 'ECONNRESET'}),
        );
      }
    }
  }

  /**
   * Makes the existing connections to hosts silent for ever; new ones work.
   * @param hosts - The hosts.
   */
  silenceConnections(hosts: string[]): void {
    for (const socket of this.sockets) {
      if (hosts.includes(socket.target.host)) socket.silence();
    }
  }
}
