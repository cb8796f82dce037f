import net from 'node:net';
import {Duplex} from 'node:stream';
import {connectTcp, type ConnectTarget} from '@primrosestage/common';

/** Time for which the peer of a destroyed silent connection still sees it open. */
const HALF_OPEN_MS = 60_000;

/** Wraps a TCP connection and can stop its data without closing it, unnoticed by either end. */
export class FaultSocket extends Duplex {
  private readonly inner: net.Socket;
  private isSilent: boolean;
  private wasConnected = false;

  /**
   * Opens a connection.
   * @param target - Host and port of the peer.
   * @param isSilent - Whether the connection is never established.
   */
  constructor(
    readonly target: ConnectTarget,
    isSilent: boolean,
  ) {
    super({allowHalfOpen: true});
    // A connection that is never established is represented by an unconnected socket.
    this.inner = isSilent ? new net.Socket() : connectTcp(target);
    this.isSilent = isSilent;
    for (const event of ['connect', 'ready', 'drain'] as const) {
      this.inner.on(event, () => this.isSilent || this.emit(event));
    }
    // A silent connection has no activity, so its timeout still fires.
    this.inner.on('timeout', () => this.emit('timeout'));
    this.inner.on('data', chunk => {
      if (!this.isSilent && !this.push(chunk)) this.inner.pause();
    });
    this.inner.on('end', () => this.isSilent || this.push(null));
    this.inner.on('error', err => this.isSilent || this.destroy(err));
    this.inner.on('close', () => this.isSilent || this.destroy());
  }

  /** Whether the connection is not established yet. */
  get connecting(): boolean {
    return this.isSilent ? !this.wasConnected : this.inner.connecting;
  }

  get remoteAddress(): string | undefined {
    return this.inner.remoteAddress;
  }

  /** Permanently discards all data in both directions without closing the connection. */
  silence(): void {
    this.wasConnected = !this.inner.connecting;
    this.isSilent = true;
    this.inner.pause();
  }

  setKeepAlive(enable?: boolean, initialDelay?: number): this {
    this.inner.setKeepAlive(enable, initialDelay);
    return this;
  }

  setNoDelay(noDelay?: boolean): this {
    this.inner.setNoDelay(noDelay);
    return this;
  }

  setTimeout(timeoutMs: number, callback?: () => void): this {
    this.inner.setTimeout(timeoutMs);
    if (callback) this.once('timeout', callback);
    return this;
  }

  ref(): this {
    this.inner.ref();
    return this;
  }

  unref(): this {
    this.inner.unref();
    return this;
  }

  override _read(): void {
    if (!this.isSilent) this.inner.resume();
  }

  override _write(
    chunk: Buffer,
    encoding: BufferEncoding,
    done: (err?: Error | null) => void,
  ): void {
    if (this.isSilent) done();
    else this.inner.write(chunk, encoding, () => done());
  }

  override _final(done: () => void): void {
    if (this.isSilent) done();
    else this.inner.end(done);
  }

  override _destroy(
    err: Error | null,
    done: (err?: Error | null) => void,
  ): void {
    if (this.isSilent) {
      setTimeout(() => this.inner.destroy(), HALF_OPEN_MS).unref();
    } else {
      this.inner.destroy();
    }
    done(err);
  }
}
