import net from 'node:net';
import type {ConnectTarget} from './connect_function.js';

/**
 * Opens a TCP connection.
 * @param target - Host and port.
 * @returns The socket, which may still be connecting.
 */
export function connectTcp(target: ConnectTarget): net.Socket {
  return net.connect({...target, noDelay: true, keepAlive: true});
}
