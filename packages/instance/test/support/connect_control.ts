import type {Duplex} from 'node:stream';
import {type ConnectFunction, connectTcp} from '@primrosestage/common';

/** Refuses, stalls or breaks connections by the peer's address. */
export class ConnectControl {
  /** Addresses to which connections are refused. */
  readonly refusedAddresses = new Set<string>();
  private readonly openSockets = new Map<string, Set<Duplex>>();

  readonly connect: ConnectFunction = target => {
    const address = `${target.host}:${target.port}`;
    // Port 1 of the loopback address has no listener.
    const socket = this.refusedAddresses.has(address)
      ? connectTcp({host: target.host, port: 1})
      : connectTcp(target);
    const sockets = this.openSockets.get(address) ?? new Set();
    this.openSockets.set(address, sockets.add(socket));
    socket.once('close', () => sockets.delete(socket));
    return socket;
  };

  /** Stops established connections to a peer from receiving data; new ones work. */
  stall(address: string): void {
    for (const socket of this.openSockets.get(address) ?? []) {
      socket.pause();
      socket.removeAllListeners('data');
    }
  }

  /** Breaks established connections to a peer. */
  breakConnections(address: string): void {
    for (const socket of this.openSockets.get(address) ?? []) socket.destroy();
  }
}
