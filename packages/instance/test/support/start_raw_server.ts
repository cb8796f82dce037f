import net from 'node:net';

/** A TCP server that responds with raw bytes. */
export interface RawServer {
  readonly address: string;
  readonly sockets: net.Socket[];
  /** Heads of the received requests, in order. */
  readonly heads: string[];
  stop(): Promise<void>;
}

/** Starts a server that calls `handle` for each request head; bodies are ignored. */
export async function startRawServer(
  address: string,
  handle: (socket: net.Socket, run: number) => void,
): Promise<RawServer> {
  const [host, port] = address.split(':');
  const sockets: net.Socket[] = [];
  const heads: string[] = [];
  const server = net.createServer(socket => {
    sockets.push(socket);
    let text = '';
    socket.on('error', () => {});
    socket.on('data', data => {
      text += data.toString('latin1');
      const end = text.indexOf('\r\n\r\n');
      if (end < 0) return;
      heads.push(text.slice(0, end));
      text = '';
      handle(socket, heads.length);
    });
  });
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(Number(port), host, resolve);
  });
  return {
    address,
    sockets,
    heads,
    stop: () =>
      new Promise(resolve => {
        server.close(() => resolve());
        for (const socket of sockets) socket.destroy();
      }),
  };
}
