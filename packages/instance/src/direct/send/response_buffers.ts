/** Part of the limit above which responses are streamed instead of collected. */
const COLLECTION_PART = 0.75;

/** Memory for the response to one request. */
export interface ResponseReservation extends Disposable {
  /** The reserved bytes. */
  readonly bytes: number;
  /**
   * Reserves memory for further bytes of a response that is collected.
   * @param bytes - Number of bytes.
   * @returns Whether there is memory for them. If not, nothing is reserved.
   */
  tryAdd(bytes: number): boolean;
  /** Adds bytes that are held in any case, as those of a response that is streamed. */
  add(bytes: number): void;
}

/** Counts the bytes of responses that have been received from endpoints and not been sent. */
export class ResponseBuffers {
  /** Called when a response does not fit, so that memory can be freed. */
  handlePressure?: () => void;
  private bytes = 0;

  /**
   * Creates the account of the held bytes.
   * @param maxBytes - Limit on them; Infinity for none.
   */
  constructor(private readonly maxBytes: number) {}

  /** The number of held bytes. */
  get usedBytes(): number {
    return this.bytes;
  }

  /** Whether responses are streamed, since the memory to collect them is used up. */
  get isNearLimit(): boolean {
    return this.bytes > this.maxBytes * COLLECTION_PART;
  }

  /** Whether more is held than the limit allows. */
  get isAboveLimit(): boolean {
    return this.bytes > this.maxBytes;
  }

  /** Starts the account of one response, which ends when it is disposed of. */
  open(): ResponseReservation {
    let own = 0;
    let isDisposed = false;
    const hasRoom = (bytes: number) =>
      this.bytes + bytes <= this.maxBytes * COLLECTION_PART;
    const add = (bytes: number) => {
      if (isDisposed) return;
      this.bytes += bytes;
      own += bytes;
    };
    return {
      get bytes() {
        return own;
      },
      tryAdd: bytes => {
        if (!hasRoom(bytes)) this.handlePressure?.();
        if (!hasRoom(bytes)) return false;
        add(bytes);
        return true;
      },
      add: bytes => {
        add(bytes);
        if (this.isAboveLimit) this.handlePressure?.();
      },
      [Symbol.dispose]: () => {
        this.bytes -= own;
        own = 0;
        isDisposed = true;
      },
    };
  }
}
