import {Buffer} from 'node:buffer';
import {performance} from 'node:perf_hooks';
import {connect} from 'node:net';

/** Returns the head of a request, in which the length of its body comes last. */
export function createHead(request) {
  const {id, method = 'GET', host, path, deadlineMs, body} = request;
  const lines = [
    `${method} ${path} HTTP/1.1`,
    `Host: ${host}`,
    `Primrosestage-Request-Id: ${id}`,
    `Primrosestage-Deadline-Ms: ${deadlineMs}`,
    ...Object.entries(request.headers ?? {}).map(
      ([name, value]) => `${name}: ${value}`,
    ),
  ];
  if (body !== undefined) lines.push(`Content-Length: ${body.length}`);
  return `${lines.join('\r\n')}\r\n\r\n`;
}

/**
 * A client's connection: it may send several requests before the first answer, and matches answers to
 * requests in their order.
 */
export class ClientConnection {
  /** Sent requests; `answer` is set once the whole answer has come. */
  sent = [];
  #buffer = Buffer.alloc(0);

  /**
   * @param {{host: string, port: number}} address - The front address of an instance.
   * @param {(event: string, fields: object) => void} record - Writes a line of the record.
   */
  constructor(address, record) {
    this.record = record;
    this.socket = connect(address);
    this.socket.setNoDelay(true);
    this.opened = new Promise((resolve, reject) => {
      this.socket.once('connect', resolve);
      this.socket.once('error', reject);
    });
    this.socket.on('data', chunk => this.#receive(chunk));
    this.socket.on('error', err => (this.error = err.code));
    this.socket.on('close', () => this.#handleClose());
  }

  /**
   * Sends a request.
   * @returns {object} The request, whose `done` ends with the answer or the end of the connection.
   */
  send(request) {
    const {id, method = 'GET', path, deadlineMs, body} = request;
    const head = createHead(request);
    const headBytes = head.length;
    const sent = {id, path, headBytes, sentAt: performance.now()};
    sent.done = new Promise(resolve => (sent.finish = resolve));
    this.sent.push(sent);
    this.record('client sends', {
      request: id,
      method,
      path,
      deadlineMs,
      headBytes,
      bodyBytes: body?.length,
    });
    this.socket.write(`${head}${body ?? ''}`);
    return sent;
  }

  /** Closes the connection. */
  close() {
    this.socket.destroy();
  }

  #receive(chunk) {
    this.#buffer = Buffer.concat([this.#buffer, chunk]);
    while (this.#readAnswer());
  }

  #readAnswer() {
    const end = this.#buffer.indexOf('\r\n\r\n');
    if (end < 0) return false;
    const [statusLine, ...lines] = this.#buffer
      .subarray(0, end)
      .toString('latin1')
      .split('\r\n');
    const headers = Object.fromEntries(
      lines.map(line => {
        const colon = line.indexOf(':');
        const name = line.slice(0, colon).toLowerCase();
        return [name, line.slice(colon + 1).trim()];
      }),
    );
    const request = this.sent.find(({answer}) => !answer);
    if (request) request.hasHead = true;
    // An answer without a length is whole only when its end has come, which these cases don't need.
    if (headers['content-length'] === undefined) {
      this.#buffer = this.#buffer.subarray(0, end + 4);
      return false;
    }
    const length = Number(headers['content-length']);
    if (this.#buffer.length < end + 4 + length) return false;
    this.#buffer = this.#buffer.subarray(end + 4 + length);
    const answer = {
      status: Number(statusLine.split(' ')[1]),
      headers,
      bytes: length,
    };
    if (!request) {
      this.record('client gets an answer to no request', answer);
      return true;
    }
    request.answer = answer;
    request.ms = Math.round(performance.now() - request.sentAt);
    this.record('client gets', {
      request: request.id,
      status: answer.status,
      stamp: headers['primrosestage-server-stamp'] ?? 'none',
      connection: headers.connection,
      retryAfter: headers['retry-after'],
      bytes: length,
      ms: request.ms,
    });
    request.finish(request);
    return true;
  }

  #handleClose() {
    for (const request of this.sent) {
      if (request.answer || request.isCut) continue;
      request.isCut = true;
      request.ms = Math.round(performance.now() - request.sentAt);
      this.record('connection ends without a whole answer', {
        request: request.id,
        hasHead: request.hasHead === true,
        bytes: this.#buffer.length,
        error: this.error,
        ms: request.ms,
      });
      request.finish(request);
    }
  }
}
