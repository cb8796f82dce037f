import {Buffer} from 'node:buffer';
import {performance} from 'node:perf_hooks';
import {
  clearInterval,
  clearTimeout,
  setInterval,
  setTimeout,
} from 'node:timers';
import {createServer} from 'node:http';

const BEAT_MS = 1_500;

/**
 * Stand-in of an endpoint: it takes the requests that are meant for it, runs as many at once as it has
 * slots, queues a few more and turns the rest away with `Primrosestage-Not-Run`.
 */
export class StandInEndpoint {
  /** Requests that it began to run: id, path, received body and the times of start and end. */
  runs = [];
  state = 'ready';
  #running = 0;
  #waiting = [];
  #seq = 0;
  /** Its start, in Unix milliseconds. */
  bornAt = Date.now();
  #server = createServer((req, res) => {
    const chunks = [];
    req.on('data', chunk => chunks.push(chunk));
    req.on('end', () => this.#receive(req, res, Buffer.concat(chunks)));
  });

  /**
   * @param {object} options - `id`, `service`, `zone`, `slots`, `store`, `record` and `respond`, which
   *   returns for a request the time of its work, its body and, where the answer breaks off, the
   *   number of bytes that are sent.
   */
  constructor(options) {
    this.options = options;
  }

  /** Starts listening and checks in. */
  async start(host) {
    await new Promise(resolve => this.#server.listen(0, host, resolve));
    this.#server.keepAliveTimeout = 10_000;
    // It reads all header fields of a request, however many there are.
    this.#server.maxHeadersCount = 0;
    this.address = `${host}:${this.#server.address().port}`;
    this.checkIn();
    this.timer = setInterval(() => this.checkIn(), BEAT_MS);
  }

  /** Writes the endpoint's entry in the store. */
  checkIn() {
    const {id, service, zone, slots, store} = this.options;
    store.put(`servers/${id}`, {
      addr: this.address,
      born: this.bornAt,
      info: {service, version: 'v1', zone, slots},
      status: {state: this.state, 'cold-left-s': 0, seq: ++this.#seq},
    });
  }

  /** Ends the endpoint. */
  stop() {
    clearInterval(this.timer);
    this.#server.closeAllConnections();
    this.#server.close();
  }

  #receive(req, res, received) {
    const {id, slots, respond} = this.options;
    if (req.url === '/healthz') {
      res.writeHead(this.state === 'ready' ? 200 : 503, {
        'primrosestage-instance-id': id,
      });
      res.end();
      return;
    }
    const requestId = req.headers['primrosestage-request-id'];
    const expected = req.headers['primrosestage-expect-instance'];
    const request = {req, res, requestId, received, ...respond(req)};
    if (requestId === undefined) this.#reject(request, 400);
    else if (expected !== undefined && expected !== id) {
      this.#reject(request, 421);
    } else if (this.#running < slots) this.#run(request);
    else if (this.#waiting.length < 3 * slots) this.#waiting.push(request);
    else this.#reject(request, 503);
  }

  #reject({req, res, requestId}, status) {
    this.options.record(`endpoint ${this.options.id} rejects`, {
      request: requestId,
      path: req.url,
      status,
    });
    const headers = {'primrosestage-not-run': '1', 'content-length': 0};
    if (requestId) headers['primrosestage-request-id'] = requestId;
    res.writeHead(status, headers).end();
  }

  #run(request) {
    const {req, res, requestId, received, workMs} = request;
    const {id, record} = this.options;
    this.#running++;
    const run = {
      id: requestId,
      path: req.url,
      received: received.toString('latin1'),
      startedAt: performance.now(),
    };
    this.runs.push(run);
    record(`endpoint ${id} runs`, {
      request: requestId,
      path: req.url,
      bodyBytes: received.length,
      contentLength: req.headers['content-length'],
      transferEncoding: req.headers['transfer-encoding'],
      fields: req.rawHeaders.length / 2,
    });
    let isOver = false;
    const finish = outcome => {
      if (isOver) return;
      isOver = true;
      clearTimeout(timer);
      this.#running--;
      run.endedAt = performance.now();
      run.outcome = outcome;
      const ms = Math.round(run.endedAt - run.startedAt);
      record(`endpoint ${id} ${outcome}`, {request: requestId, ms});
      const next = this.#waiting.shift();
      if (next) this.#run(next);
    };
    const timer = setTimeout(() => {
      finish('has finished');
      this.#answer(request);
    }, workMs);
    // Most endpoints drop a request when its connection closes.
    res.on('close', () => finish('was cut off at work'));
  }

  #answer({req, res, requestId, body, breakAfter, endless}) {
    if (res.destroyed) return;
    const {id, slots} = this.options;
    if (endless) {
      this.options.record(`endpoint ${id} answers without end`, {
        request: requestId,
      });
      writeWithoutEnd(req.socket, requestId, endless);
      return;
    }
    res.writeHead(200, {
      'primrosestage-request-id': requestId,
      'primrosestage-server-stamp': `stamp.${id}.${requestId}`,
      'primrosestage-server-load': `${this.#running},${this.#waiting.length},${slots}`,
      'content-length': body.length,
    });
    if (breakAfter === undefined) {
      res.end(body);
      return;
    }
    this.options.record(`endpoint ${id} breaks its answer off`, {
      request: requestId,
      sent: breakAfter,
      of: body.length,
    });
    res.write(body.subarray(0, breakAfter), () => req.socket.destroy());
  }
}

/** Writes the head of an answer, and then the same bytes until the caller closes the connection. */
function writeWithoutEnd(socket, requestId, bytes) {
  const head = [
    'HTTP/1.1 200 OK',
    `Primrosestage-Request-Id: ${requestId}`,
    `Primrosestage-Server-Stamp: stamp.${requestId}`,
    'Transfer-Encoding: chunked',
  ];
  const pump = () => {
    while (!socket.destroyed && socket.write(bytes));
  };
  socket.on('drain', pump);
  socket.write(`${head.join('\r\n')}\r\n\r\n`);
  pump();
}
