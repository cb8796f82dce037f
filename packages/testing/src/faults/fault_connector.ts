import type {Duplex} from 'node:stream';
import {type ConnectTarget, connectTcp} from '@primrosestage/common';
import {FaultSocket} from './fault_socket.js';

/** Says how connections to a host fail. */
export enum CutKind {
  /** New connections are refused and existing ones are reset. */
  Refused = 'refused',
  /** New connections are never answered and existing ones go silent. */
  Silent = 'silent',
}

/** Port on which nothing listens, so that the kernel refuses the connection. */
const CLOSED_PORT = 1;

/** Opens the connections of an instance and makes them fail on command. */
export class FaultConnector {
  private cuts = new Map<string, CutKind>();
  private readonly sockets = new Set<FaultSocket>();

  /** Opens a connection; pass it to `serve` as its `ConnectFunction`. */
  readonly connect = (target: ConnectTarget): Duplex => {
    const cut = this.cuts.get(target.host);
    if (cut === CutKind.Refused) {
      return connectTcp({host: target.host, port: CLOSED_PORT});
    }
    const socket = new FaultSocket(target, cut === CutKind.Silent);
    this.sockets.add(socket);
    socket.once('close', () => this.sockets.delete(socket));
    return socket;
  };

  /**
   * Replaces the hosts that are cut off.
   * @param cuts - Kind of cut by host.
   */
  setCuts(cuts: Record<string, CutKind>): void {
    this.cuts = new Map(Object.entries(cuts));
    for (const socket of this.sockets) {
      const cut = this.cuts.get(socket.target.host);
      if (cut === CutKind.Silent) socket.silence();
      if (cut === CutKind.Refused) {
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
  stall(hosts: string[]): void {
    for (const socket of this.sockets) {
      if (hosts.includes(socket.target.host)) socket.silence();
    }
  }
}
