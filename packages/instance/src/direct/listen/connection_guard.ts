import type {Server} from 'node:http';
import type {Socket} from 'node:net';
import {CloseReason, ConnectionLedger} from '@primrosestage/steering';
import type {LimitReport} from './limit_report.js';

/** Configures the guard of a listener. */
export interface ConnectionGuardOptions {
  /** Name of the listener in metrics and log lines. */
  listener: string;
  /** Most connections. */
  maxConnections: number;
  report: LimitReport;
}

/**
 * Limits the connections of a listener. A new connection is accepted in place of another one, so
 * that idle connections cannot keep out callers with requests.
 * @param server - The server of the listener.
 * @param options - The limit.
 */
export function guardConnections(
  server: Server,
  options: ConnectionGuardOptions,
): void {
  const {listener, maxConnections, report} = options;
  const ledger = new ConnectionLedger<Socket>();
  const openRequests = new WeakMap<Socket, number>();
  const countRequests = (socket: Socket, change: number) => {
    const count = (openRequests.get(socket) ?? 0) + change;
    openRequests.set(socket, count);
    if (count === 0) ledger.markIdle(socket);
    else if (count === change) ledger.markActive(socket);
  };
  server.on('connection', (socket: Socket) => {
    report.countAccepted(listener);
    if (ledger.size >= maxConnections) {
      const victim = ledger.selectVictim();
      if (victim) {
        ledger.remove(victim.connection);
        closeConnection(victim.connection, victim.reason);
        report.countClosed(listener, victim.reason);
      }
    }
    ledger.add(socket, socket.remoteAddress ?? '');
    report.setConnections(listener, ledger.size);
    socket.once('close', () => {
      ledger.remove(socket);
      report.setConnections(listener, ledger.size);
    });
  });
  server.on('request', (req, res) => {
    countRequests(req.socket, 1);
    res.once('close', () => countRequests(req.socket, -1));
  });
}

/**
 * Closes a connection. One with a request in progress is reset, because an orderly close would look
 * like the end of a response without a length.
 */
function closeConnection(socket: Socket, reason: CloseReason): void {
  if (reason === CloseReason.Idle) socket.destroy();
  else socket.resetAndDestroy();
}
