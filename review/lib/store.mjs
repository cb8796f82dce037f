// Stand-in of the platform's store: one key space, one listener per caller, so that each caller can
// be turned away on its own.
import {Buffer} from 'node:buffer';
import {clearTimeout, setTimeout} from 'node:timers';
import {URL} from 'node:url';
import http from 'node:http';

/** Status of a listener. */
export const Mode = {Ok: 'ok', Silent: 'silent', Reset: 'reset', Busy: 'busy'};

export class Store {
  #items = new Map();
  #events = [];
  #watches = new Set();
  #servers = [];
  #leases = 0;
  #historyStart = 0;
  revision = 1;

  /** Opens a listener and returns its address and a switch for its mode. */
  async listen(host) {
    const gate = {mode: Mode.Ok, watches: new Set()};
    gate.dropWatches = () => {
      for (const res of gate.watches) res.socket?.resetAndDestroy();
    };
    const server = http.createServer((req, res) => {
      if (gate.mode === Mode.Silent) return;
      if (gate.mode === Mode.Reset) return req.socket.resetAndDestroy();
      if (gate.mode === Mode.Busy) return respond(res, 503, {});
      this.#handle(req, res, gate);
    });
    server.keepAliveTimeout = 60_000;
    await new Promise(resolve => server.listen(0, host, resolve));
    this.#servers.push(server);
    gate.address = `${host}:${server.address().port}`;
    return gate;
  }

  /** Writes a key (the value is encoded as JSON) and returns the new revision. */
  put(key, value) {
    const rev = ++this.revision;
    const old = this.#items.get(key);
    const text = Buffer.from(JSON.stringify(value)).toString('base64');
    const item = {
      key,
      value: text,
      rev,
      created: old?.created ?? rev,
      lease: 0,
    };
    this.#items.set(key, item);
    this.#record(item);
    return rev;
  }

  /** Removes a key. */
  remove(key) {
    if (!this.#items.delete(key)) return;
    this.#record({key, rev: ++this.revision, removed: true});
  }

  close() {
    for (const server of this.#servers) {
      server.closeAllConnections();
      server.close();
    }
  }

  #record(event) {
    this.#events.push(event);
    for (const check of [...this.#watches]) check();
  }

  #handle(req, res, gate) {
    const url = new URL(req.url, 'http://store');
    const name = url.pathname.split('/')[2] ?? '';
    const chunks = [];
    req.on('data', chunk => chunks.push(chunk));
    req.on('end', () => {
      const body = chunks.length > 0 ? JSON.parse(Buffer.concat(chunks)) : {};
      if (name === 'kv-range') this.#range(url, res);
      else if (name === 'kv-watch') this.#watch(url, res, gate);
      else if (name === 'kv-txn') this.#transact(body, res);
      else if (name === 'kv-lease') {
        respond(res, 200, {
          lease: ++this.#leases,
          'ttl-s_time': body['ttl-s_time'],
        });
      } else if (name === 'kv-keep') respond(res, 200, {});
      else respond(res, 404, {});
    });
  }

  #range(url, res) {
    const prefix = url.searchParams.get('prefix') ?? '';
    const items = [...this.#items.values()]
      .filter(({key}) => key.startsWith(prefix))
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    respond(res, 200, {items, 'has-more': false, 'current-rev': this.revision});
  }

  #watch(url, res, gate) {
    const prefix = url.searchParams.get('prefix') ?? '';
    const after = Number(url.searchParams.get('after'));
    if (after < this.#historyStart) return respond(res, 410, {});
    const check = () => {
      // A watch of a caller that is cut off delivers nothing either.
      if (gate.mode !== Mode.Ok) return;
      const events = this.#events.filter(
        ({key, rev}) => rev > after && key.startsWith(prefix),
      );
      if (events.length > 0) finish(events);
    };
    const finish = events => {
      clearTimeout(timer);
      this.#watches.delete(check);
      respond(res, 200, {events, 'current-rev': this.revision});
    };
    const timer = setTimeout(
      () => gate.mode === Mode.Ok && finish([]),
      Number(url.searchParams.get('wait-ms')),
    );
    this.#watches.add(check);
    gate.watches.add(res);
    res.on('close', () => {
      gate.watches.delete(res);
      clearTimeout(timer);
      this.#watches.delete(check);
    });
    check();
  }

  #transact(body, res) {
    const failed = (body.expect ?? []).some(
      ({key, rev}) => (this.#items.get(key)?.rev ?? 0) !== rev,
    );
    if (failed) return respond(res, 412, {items: []});
    for (const {key, value, lease} of body['set-keys'] ?? []) {
      const rev = ++this.revision;
      const item = {key, value, rev, created: rev, lease};
      this.#items.set(key, item);
      this.#record(item);
    }
    for (const key of body.remove ?? []) this.remove(key);
    respond(res, 200, {rev: this.revision});
  }
}

function respond(res, status, body) {
  const text = JSON.stringify(body);
  res.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  res.end(text);
}
