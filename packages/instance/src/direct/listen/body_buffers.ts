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
  /**
   * Raises the reserved size.
   * @param bytes - The new size of the body, in bytes.
   * @returns Whether there is memory for it. If not, the reserved size stays as it is.
   */
  growTo(bytes: number): boolean;
}

/**
 * Counts the bytes of the request bodies that all open requests hold. Buffers lie outside the heap,
 * so that no limit of Node.js applies to them.
 */
export class BodyBuffers {
  private bytes = 0;

  /**
   * Creates the account of the buffered bytes.
   * @param limits - Limits on them.
   */
  constructor(private readonly limits: BodyBufferLimits) {}

  /** The number of buffered bytes. */
  get usedBytes(): number {
    return this.bytes;
  }

  /** Starts the account of one request, which ends when it is disposed of. */
  open(): BodyReservation {
    let own = 0;
    const {maxBytes, reservedBytes} = this.limits;
    return {
      maxBytes: Math.max(maxBytes - reservedBytes, MAX_SMALL_BODY_BYTES),
      growTo: bytes => {
        if (bytes <= own) return true;
        const total = this.bytes + bytes - own;
        if (total > this.getLimit(bytes)) return false;
        this.bytes = total;
        own = bytes;
        return true;
      },
      [Symbol.dispose]: () => {
        this.bytes -= own;
        own = 0;
      },
    };
  }

  private getLimit(bodyBytes: number): number {
    const {maxBytes, reservedBytes} = this.limits;
    return bodyBytes <= MAX_SMALL_BODY_BYTES
      ? maxBytes
      : maxBytes - reservedBytes;
  }
}
