import {Buffer} from 'node:buffer';
import {URL} from 'node:url';
import {clearTimeout, setTimeout} from 'node:timers';
import {createServer} from 'node:http';

/** How the stand-in of the platform's store answers. */
export const StoreMode = {
  Serving: 'serving',
  /** It accepts calls and never answers. */
  Silent: 'silent',
  /** It answers 503: nothing was done. */
  Busy: 'busy',
};

const FIRST_REVISION = 100;
const PAGE_SIZE = 500;

/**
 * Stand-in of the platform's metadata store: items, pages, watches, transactions and leases as
 * PROTOCOL.md has them. The operator and the endpoints write through `put` and `remove`.
 */
export class StandInStore {
  mode = StoreMode.Serving;
  #revision = FIRST_REVISION;
  #items = new Map();
  #events = [];
  #leases = new Set();
  #waiting = new Set();
  #server = createServer((req, res) => {
    const chunks = [];
    req.on('data', chunk => chunks.push(chunk));
    req.on('end', () => this.#answer(req, res, Buffer.concat(chunks)));
  });

  /**
   * Starts the store.
   * @param {string} host - Loopback address.
   */
  async start(host) {
    await new Promise(resolve => this.#server.listen(0, host, resolve));
    this.address = `${host}:${this.#server.address().port}`;
  }

  /** Writes an item with a JSON value and returns its revision. */
  put(key, value, lease = 0) {
    const text = Buffer.from(JSON.stringify(value)).toString('base64');
    return this.#write(key, text, lease);
  }

  /** Removes an item. */
  remove(key) {
    this.#items.delete(key);
    this.#addEvent({key, rev: ++this.#revision, removed: true});
  }

  /** Closes the store and all its connections. */
  stop() {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  #write(key, value, lease) {
    const rev = ++this.#revision;
    const created = this.#items.get(key)?.created ?? rev;
    const item = {key, value, rev, created, lease};
    this.#items.set(key, item);
    this.#addEvent(item);
    return rev;
  }

  #addEvent(event) {
    this.#events.push(event);
    for (const wake of [...this.#waiting]) wake();
  }

  #answer(req, res, body) {
    if (this.mode === StoreMode.Silent) return;
    if (this.mode === StoreMode.Busy) {
      sendJson(res, 503, {});
      return;
    }
    const url = new URL(req.url, 'http://store');
    const [call, id] = url.pathname.replace('/primrosestage/', '').split('/');
    const fields = body.length > 0 ? JSON.parse(body.toString()) : {};
    switch (call) {
      case 'kv-key':
        this.#readItem(res, url.searchParams);
        break;
      case 'kv-range':
        this.#readRange(res, url.searchParams);
        break;
      case 'kv-watch':
        this.#watch(res, url.searchParams);
        break;
      case 'kv-txn':
        this.#applyTransaction(res, fields);
        break;
      case 'kv-lease': {
        const lease = 7000 + this.#leases.size;
        this.#leases.add(lease);
        sendJson(res, 200, {lease, 'ttl-s_time': fields['ttl-s_time']});
        break;
      }
      case 'kv-keep':
        sendJson(res, this.#leases.has(Number(id)) ? 200 : 404, {});
        break;
      default:
        sendJson(res, 404, {});
    }
  }

  #readItem(res, query) {
    const item = this.#items.get(query.get('key'));
    sendJson(res, item ? 200 : 404, {
      ...item,
      'current-rev': this.#revision,
    });
  }

  #readRange(res, query) {
    const prefix = query.get('prefix') ?? '';
    const after = query.get('after') ?? '';
    const keys = [...this.#items.keys()]
      .filter(key => key.startsWith(prefix) && key > after)
      .sort();
    sendJson(res, 200, {
      items: keys.slice(0, PAGE_SIZE).map(key => this.#items.get(key)),
      'has-more': keys.length > PAGE_SIZE,
      'current-rev': this.#revision,
    });
  }

  #watch(res, query) {
    const prefix = query.get('prefix') ?? '';
    const after = Number(query.get('after'));
    const find = () =>
      this.#events.filter(
        ({key, rev}) => rev > after && key.startsWith(prefix),
      );
    const finish = () => {
      clearTimeout(timer);
      this.#waiting.delete(wake);
      if (this.mode !== StoreMode.Serving) return;
      sendJson(res, 200, {events: find(), 'current-rev': this.#revision});
    };
    const wake = () => {
      if (find().length > 0) finish();
    };
    const timer = setTimeout(finish, Number(query.get('wait-ms')));
    this.#waiting.add(wake);
    res.on('close', () => {
      clearTimeout(timer);
      this.#waiting.delete(wake);
    });
    wake();
  }

  #applyTransaction(res, fields) {
    const {expect = [], remove = []} = fields;
    const writes = fields['set-keys'] ?? [];
    if (writes.some(({lease}) => lease && !this.#leases.has(lease))) {
      sendJson(res, 404, {});
      return;
    }
    const isMet = expect.every(
      ({key, rev}) => (this.#items.get(key)?.rev ?? 0) === rev,
    );
    if (!isMet) {
      sendJson(res, 412, {items: expect.map(({key}) => this.#items.get(key))});
      return;
    }
    for (const {key, value, lease = 0} of writes)
      this.#write(key, value, lease);
    for (const key of remove) this.remove(key);
    sendJson(res, 200, {rev: this.#revision});
  }
}

function sendJson(res, status, body) {
  const text = JSON.stringify(body);
  res.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  res.end(text);
}
