/** Largest body that counts as small, in bytes. */
const MAX_SMALL_BODY_BYTES = 64 * 1024;

/** Limits on the memory for request bodies. */
export interface BodyBufferLimits {
  /** Most bytes that are buffered at a time. */
  maxBytes: number;
  /** Part of `maxBytes` that only small bodies may use, so that large ones do not crowd them out. */
  reservedBytes: number;
}

/** Memory for the body of one request. */
export interface BodyReservation extends Disposable {
  /** Largest body for which there is memory if no other request has one, in bytes. */
  readonly maxBytes: number;
  /** The reserved size in bytes. */
  readonly bytes: number;
  /**
   * Raises the reserved size.
   * @param bytes - The new size of the body, in bytes.
   * @returns Whether there is memory for it. If not, the reserved size stays as it is.
   */
  growTo(bytes: number): boolean;
}

/**
 * Counts the bytes of the request bodies that all open requests hold, and the bytes of connections
 * that have been read and not been parsed yet. Buffers lie outside the heap, so that no limit of
 * Node.js applies to them.
 */
export class BodyBuffers {
  /** Called with the size of a buffer that has been given up. */
  handleReleased?: (bytes: number) => void;
  private bytes = 0;
  private pendingBytes = 0;

  /**
   * Creates the account of the buffered bytes.
   * @param limits - Limits on them.
   */
  constructor(private readonly limits: BodyBufferLimits) {}

  /** The number of buffered bytes. */
  get usedBytes(): number {
    return this.bytes + this.pendingBytes;
  }

  /**
   * Counts bytes that wait to be parsed, which are held in any case.
   * @param bytes - Number of bytes; negative once they have been parsed.
   */
  addPending(bytes: number): void {
    this.pendingBytes += bytes;
  }

  /** Starts the account of one request, which ends when it is disposed of. */
  open(): BodyReservation {
    let own = 0;
    let isDisposed = false;
    const {maxBytes, reservedBytes} = this.limits;
    return {
      maxBytes: Math.max(maxBytes - reservedBytes, MAX_SMALL_BODY_BYTES),
      get bytes() {
        return own;
      },
      growTo: bytes => {
        if (bytes <= own) return true;
        if (isDisposed || !this.hasRoom(bytes, own)) return false;
        this.bytes += bytes - own;
        own = bytes;
        return true;
      },
      [Symbol.dispose]: () => {
        if (own > 0) this.handleReleased?.(own);
        this.bytes -= own;
        own = 0;
        isDisposed = true;
      },
    };
  }

  private hasRoom(bytes: number, own: number): boolean {
    return this.usedBytes + bytes - own <= this.getLimit(bytes);
  }

  private getLimit(bodyBytes: number): number {
    const {maxBytes, reservedBytes} = this.limits;
    return bodyBytes <= MAX_SMALL_BODY_BYTES
      ? maxBytes
      : maxBytes - reservedBytes;
  }
}
