import type {Duplex} from 'node:stream';
import {type ConnectTarget, connectTcp} from '@primrosestage/common';
import {FaultSocket} from './fault_socket.js';

/** How connections to a partitioned host fail. */
export enum PartitionKind {
  /** New connections are refused and existing ones are reset. */
  Refused = 'refused',
  /** New connections are never established and existing ones carry no more data. */
  Silent = 'silent',
}

/** Port without a listener, so that the kernel refuses the connection. */
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
   * Replaces the set of partitioned hosts.
   * @param partitions - Kind of partition by host.
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
   * Permanently stops all data on the existing connections to hosts; new connections work.
   * @param hosts - Hosts whose connections are silenced.
   */
  silenceConnections(hosts: string[]): void {
    for (const socket of this.sockets) {
      if (hosts.includes(socket.target.host)) socket.silence();
    }
  }
}
