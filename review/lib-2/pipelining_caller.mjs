/** A caller that sends further safe requests before the first one has been answered. */
import {Buffer} from 'node:buffer';
import net from 'node:net';
import {clearTimeout, setTimeout} from 'node:timers';
import {createRequestId, now, sleep} from './harness.mjs';

/** Pause of a caller after a connection that it could not open or that the instance closed. */
const RECONNECT_MS = 500;

/** Sends batches of safe requests over kept connections and notes those that get no answer. */
export class PipeliningCaller {
  /** Requests without an answer on kept connections that the instance closed. */
  lost = [];
  /** Number of answers by status and seconds. */
  answers = new Map();
  answered = 0;
  waiting = [];
  buffer = Buffer.alloc(0);

  /**
   * @param options.getTarget - Returns the address to connect to.
   * @param options.formatHead - Returns the request line and the headers of a request, given its id.
   * @param options.batches - Numbers of requests that are sent at once, in turn.
   */
  constructor({name, getTarget, formatHead, batches, deadlineMs}) {
    Object.assign(this, {name, getTarget, formatHead, batches, deadlineMs});
  }

  async run(endAt) {
    while (now() < endAt) {
      if (!(await this.connect())) {
        await sleep(RECONNECT_MS);
        continue;
      }
      for (let i = 0; this.isOpen && now() < endAt; i++) {
        await this.exchange(this.batches[i % this.batches.length]);
      }
      if (!this.isOpen) await sleep(RECONNECT_MS);
      this.isOpen = false;
      this.socket.destroy();
    }
  }

  async connect() {
    const target = this.getTarget();
    const socket = net.connect(target);
    const isConnected = await new Promise(resolve => {
      socket.once('connect', () => resolve(true));
      socket.once('error', () => resolve(false));
    });
    if (!isConnected) return false;
    Object.assign(this, {socket, target, buffer: Buffer.alloc(0)});
    this.isOpen = true;
    this.isKept = false;
    this.isClosing = false;
    this.hasGivenUp = false;
    const end = () => {
      if (socket === this.socket) this.handleEnd();
    };
    socket.on('error', end);
    socket.on('close', end);
    socket.on('data', chunk => {
      if (socket === this.socket) this.receive(chunk);
    });
    return true;
  }

  /** Sends requests at once and waits for their answers, or for the end of the connection. */
  async exchange(count) {
    const heads = [];
    for (let i = 0; i < count; i++) {
      const id = createRequestId();
      this.waiting.push({id, sentAt: now()});
      heads.push(this.formatHead(id));
    }
    this.socket.write(heads.join(''));
    await new Promise(resolve => {
      this.wake = resolve;
      this.timer = setTimeout(() => {
        this.hasGivenUp = true;
        this.socket.destroy();
      }, this.deadlineMs);
    });
    clearTimeout(this.timer);
  }

  receive(chunk) {
    this.buffer = Buffer.concat([this.buffer, chunk]);
    for (;;) {
      const headEnd = this.buffer.indexOf('\r\n\r\n');
      if (headEnd < 0) return;
      const head = this.buffer.subarray(0, headEnd).toString('latin1');
      const length = Number(/content-length: (\d+)/i.exec(head)?.[1] ?? 0);
      if (this.buffer.length < headEnd + 4 + length) return;
      this.buffer = this.buffer.subarray(headEnd + 4 + length);
      this.countAnswer(head);
      if (/connection: close/i.test(head)) this.isClosing = true;
      if (this.waiting.length === 0) this.wake?.();
    }
  }

  countAnswer(head) {
    const {sentAt} = this.waiting.shift();
    const seconds = Math.round((now() - sentAt) / 1_000);
    const key = `${head.slice(9, 12)} in ${seconds} s`;
    this.answers.set(key, (this.answers.get(key) ?? 0) + 1);
    this.answered++;
    this.isKept = true;
  }

  handleEnd() {
    if (!this.isOpen) return;
    this.isOpen = false;
    if (this.isKept && !this.hasGivenUp && !this.isClosing) {
      const {name, target} = this;
      const endedAt = now();
      this.lost.push(
        ...this.waiting.map(each => ({...each, endedAt, name, target})),
      );
    }
    this.waiting = [];
    this.wake?.();
  }
}

/** Writes how many answers of each status and duration all callers have got. */
export function recordAnswers(record, callers) {
  const answers = new Map();
  for (const caller of callers) {
    for (const [key, count] of caller.answers) {
      answers.set(key, (answers.get(key) ?? 0) + count);
    }
  }
  for (const key of [...answers.keys()].sort()) {
    record.write(`${key}: ${answers.get(key)}`);
  }
}
