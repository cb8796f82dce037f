import {createSocket, type Socket} from 'node:dgram';
import {getErrorMessage, Step, StepError} from '@primrosestage/common';
import {parseAddress} from '../../http/parse_address.js';

/** Handles a datagram. */
export type ReceiveDatagram = (bytes: Buffer) => void;

/** Sends and receives datagrams on one address. */
export class GossipSocket implements AsyncDisposable {
  private readonly socket: Socket;
  private isOpen = false;

  /**
   * Creates a socket that is not open yet.
   * @param address - Address to receive on, `host:port`.
   * @param onError - Handles an error of the socket or of a datagram that could not be sent.
   */
  constructor(
    private readonly address: string,
    private readonly onError: (err: StepError) => void,
  ) {
    this.socket = createSocket('udp4');
  }

  /**
   * Binds the socket and starts to receive.
   * @param receive - Handles each datagram.
   * @throws StepError if the address cannot be used.
   */
  async open(receive: ReceiveDatagram): Promise<void> {
    const {host, port} = parseAddress(this.address);
    await new Promise<void>((resolve, reject) => {
      const fail = (err: Error) => reject(createError(this.address, err));
      this.socket.once('error', fail);
      this.socket.bind({address: host, port, exclusive: true}, () => {
        this.socket.off('error', fail);
        resolve();
      });
    });
    this.isOpen = true;
    this.socket.on('error', err =>
      this.onError(createError(this.address, err)),
    );
    this.socket.on('message', receive);
  }

  /**
   * Sends a datagram, which may be lost.
   * @param bytes - The datagram.
   * @param address - Destination, `host:port`.
   */
  send(bytes: Buffer, address: string): void {
    if (!this.isOpen) return;
    const {host, port} = parseAddress(address);
    const handleResult = (err: Error | null) => {
      if (err) this.onError(createError(address, err));
    };
    try {
      this.socket.send(bytes, port, host, handleResult);
    } catch (err) {
      // An invalid address must not keep the sender from its other destinations.
      handleResult(err as Error);
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    if (!this.isOpen) return;
    this.isOpen = false;
    await new Promise<void>(resolve => {
      this.socket.close(() => resolve());
    });
  }
}

function createError(peer: string, cause: Error): StepError {
  return new StepError(
    {step: Step.Membership, peer, cause},
    `datagrams at ${peer}: ${getErrorMessage(cause)}`,
  );
}
