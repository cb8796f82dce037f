import net from 'node:net';
import {HOST} from './fleet.js';
import {NAMES} from './names.js';

/** A caller that reads nothing until it is told to. */
export class SlowCaller implements Disposable {
  private readonly socket: net.Socket;
  private readonly chunks: Buffer[] = [];
  private readonly closed: Promise<void>;
  private error?: string;

  /**
   * Connects to a listener.
   * @param address - Its address, `host:port`.
   * @param options - Whether the caller never closes its side of the connection.
   */
  constructor(address: string, {neverCloses = false} = {}) {
    const [host, port] = address.split(':');
    this.socket = net.connect({
      host,
      port: Number(port),
      allowHalfOpen: neverCloses,
    });
    this.socket.pause();
    this.socket.on('error', ({message}) => (this.error = message));
    this.closed = new Promise(resolve => this.socket.on('close', resolve));
  }

  /** Sends a request for a page, with further header lines. */
  requestPage(id: string, deadlineMs: number, lines = ''): void {
    this.send(
      `GET /${id} HTTP/1.1\r\nHost: ${HOST}\r\n${NAMES.requestId}: ${id}\r\n` +
        `${NAMES.deadlineMs}: ${deadlineMs}\r\n${lines}\r\n`,
    );
  }

  /** Sends text as it is. */
  send(text: string): void {
    this.socket.write(text);
  }

  /**
   * Reads until the connection ends.
   * @returns What has arrived in all, and the error of the connection if there was one.
   */
  async readToEnd(): Promise<{text: string; error?: string}> {
    this.socket.on('data', (chunk: Buffer) => this.chunks.push(chunk));
    this.socket.resume();
    await this.closed;
    return {text: Buffer.concat(this.chunks).toString(), error: this.error};
  }

  [Symbol.dispose](): void {
    this.socket.destroy();
  }
}
