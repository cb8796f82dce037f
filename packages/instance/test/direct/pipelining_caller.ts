import net from 'node:net';
import {HOST, type TestInstance} from './fleet.js';
import {NAMES} from './names.js';

/** A caller that sends several requests over one connection without waiting for responses. */
export class PipeliningCaller {
  isClosed = false;
  private received = '';
  private readonly socket: net.Socket;

  /**
   * Connects to an instance.
   * @param instance - The instance.
   */
  constructor(instance: TestInstance) {
    const [host, port] = instance.settings.callerAddress.split(':');
    this.socket = net.connect({host, port: Number(port)});
    this.socket.on('data', bytes => (this.received += String(bytes)));
    this.socket.on('close', () => (this.isClosed = true));
    this.socket.on('error', () => {});
  }

  /** Status and request id of each response so far, in order. */
  get responses(): string[] {
    return this.received
      .split(/(?=HTTP\/1\.1 )/)
      .filter(text => text.includes('\r\n\r\n'))
      .map(text => `${text.slice(9, 12)} ${findHeader(text, NAMES.requestId)}`);
  }

  /** Positions of the responses that close the connection. */
  get closingResponses(): number[] {
    return this.received
      .split(/(?=HTTP\/1\.1 )/)
      .flatMap((text, i) =>
        findHeader(text, 'connection') === 'close' ? [i] : [],
      );
  }

  /** Sends requests in one write, each given by its method, path and id. */
  send(...requests: Array<[string, string, string]>): void {
    const texts = requests.map(
      ([method, path, id]) =>
        `${method} ${path} HTTP/1.1\r\nHost: ${HOST}\r\n${NAMES.requestId}: ${id}\r\n` +
        `${NAMES.deadlineMs}: 8000\r\n${method === 'GET' ? '' : 'Content-Length: 0\r\n'}\r\n`,
    );
    this.socket.write(texts.join(''));
  }

  /** Closes the connection. */
  close(): void {
    this.socket.destroy();
  }
}

function findHeader(text: string, name: string): string {
  return new RegExp(`^${name}: (.*)\r$`, 'im').exec(text)?.[1] ?? '';
}
