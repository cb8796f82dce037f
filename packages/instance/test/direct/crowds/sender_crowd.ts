import net from 'node:net';

/** Interval at which a slow reader reads, in milliseconds. */
const READ_INTERVAL_MS = 100;

/** Describes callers that send much and read little. */
export interface SenderCrowdOptions {
  /** Address that they connect to, `host:port`. */
  address: string;
  connections: number;
  /** Returns what a caller sends first. */
  createHead: () => string;
  /** What it sends then, again and again. */
  block?: Buffer;
  /** How often it sends the block; then its connection stays open. */
  blocks?: number;
  /** Bytes of responses that it reads in each interval; none by default. */
  readBytes?: number;
}

/** Connections of callers that send as fast as they may and stay open. */
export class SenderCrowd implements Disposable {
  private readonly sockets: net.Socket[] = [];
  private readonly readers: NodeJS.Timeout[] = [];

  /**
   * Opens connections, on which the callers then send in the background.
   * @param options - How the callers behave.
   */
  join(options: SenderCrowdOptions): void {
    for (let i = 0; i < options.connections; i++) this.open(options);
  }

  [Symbol.dispose](): void {
    for (const reader of this.readers.splice(0)) clearInterval(reader);
    for (const socket of this.sockets.splice(0)) socket.destroy();
  }

  private open(options: SenderCrowdOptions): void {
    const [host, port] = options.address.split(':');
    const socket = net.connect({host, port: Number(port)});
    this.sockets.push(socket);
    // The instance may close the connection, which ends this caller.
    socket.on('error', () => {});
    socket.pause();
    socket.once('connect', () => {
      socket.write(options.createHead());
      sendBlocks(socket, options.block, options.blocks ?? 0);
    });
    const {readBytes} = options;
    if (readBytes === undefined) return;
    const reader = setInterval(() => socket.read(readBytes), READ_INTERVAL_MS);
    this.readers.push(reader);
  }
}

function sendBlocks(
  socket: net.Socket,
  block: Buffer | undefined,
  count: number,
): void {
  if (!block) return;
  for (let left = count; left > 0 && socket.writable; left--) {
    if (socket.write(block)) continue;
    socket.once('drain', () => sendBlocks(socket, block, left - 1));
    return;
  }
}
