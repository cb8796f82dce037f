import net from 'node:net';
import {HOST, type TestInstance} from './fleet.js';
import {NAMES} from './names.js';

/** A request whose body stops after its first half, sent over a connection of its own. */
export class HalfRequest {
  /** What the instance has sent so far. */
  received = '';
  isClosed = false;
  private readonly socket: net.Socket;

  /**
   * Sends the head and the first half of the body.
   * @param instance - The instance that gets it.
   * @param path - Path of the request.
   */
  constructor(instance: TestInstance, path: string) {
    const [host, port] = instance.settings.callerAddress.split(':');
    this.socket = net.connect({host, port: Number(port)});
    this.socket.on('data', bytes => (this.received += String(bytes)));
    this.socket.on('close', () => (this.isClosed = true));
    this.socket.on('error', () => {});
    this.socket.write(
      `POST ${path} HTTP/1.1\r\nHost: ${HOST}\r\n${NAMES.requestId}: half\r\n` +
        'Content-Length: 8\r\n\r\nhalf',
    );
  }

  /** Sends the second half of the body. */
  sendRest(): void {
    this.socket.write('rest');
  }

  /** Closes the connection. */
  close(): void {
    this.socket.destroy();
  }
}
