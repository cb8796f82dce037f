/**
 * Gets a port that no other test process listens on, as tests of several checkouts may run
 * concurrently. The kernel may assign the same port on 127.0.0.1 to an outgoing connection of any
 * process, so a listener must use another loopback address.
 * @param offset - Index of the port within the process, 0 to 9.
 */
export function getTestPort(offset: number): number {
  return 10_000 + (process.pid % 5_000) * 10 + offset;
}
