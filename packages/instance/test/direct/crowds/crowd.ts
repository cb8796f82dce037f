import net from 'node:net';

/** Time for which connecting to an instance may take, in milliseconds. */
const CONNECT_TIMEOUT_MS = 2_000;

/** Describes callers that behave alike. */
export interface CrowdOptions {
  /** Address that they connect to, `host:port`. */
  address: string;
  connections: number;
  /** Returns what a caller sends after connecting; nothing by default. */
  createBytes?: (index: number) => string;
  /** Time after which a caller closes its connection, in milliseconds; none by default. */
  leaveAfterMs?: number;
}

/** Connections of callers that never read a response. */
export class Crowd implements Disposable {
  private readonly sockets: net.Socket[] = [];

  /**
   * Opens connections and waits until each is open or has failed.
   * @param options - How the callers behave.
   */
  async join(options: CrowdOptions): Promise<void> {
    const opened: Array<Promise<void>> = [];
    for (let i = 0; i < options.connections; i++) {
      opened.push(this.open(options, i));
      // A burst larger than the backlog of the listener would be dropped by the kernel.
      if (i % 100 === 99) await Promise.all(opened);
    }
    await Promise.all(opened);
  }

  [Symbol.dispose](): void {
    for (const socket of this.sockets.splice(0)) socket.destroy();
  }

  private open(
    {address, createBytes, leaveAfterMs}: CrowdOptions,
    index: number,
  ): Promise<void> {
    const [host, port] = address.split(':');
    const socket = net.connect({host, port: Number(port)});
    this.sockets.push(socket);
    socket.pause();
    return new Promise(resolve => {
      const timeout = setTimeout(resolve, CONNECT_TIMEOUT_MS);
      const settle = () => {
        clearTimeout(timeout);
        resolve();
      };
      socket.once('connect', () => {
        if (createBytes) socket.write(createBytes(index));
        if (leaveAfterMs !== undefined) {
          setTimeout(() => socket.destroy(), leaveAfterMs);
        }
        settle();
      });
      socket.on('error', settle);
      socket.on('close', settle);
    });
  }
}
