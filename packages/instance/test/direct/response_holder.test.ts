import {PassThrough} from 'node:stream';
import {describe, expect, it} from 'vitest';
import {
  type ReceivedResponse,
  ResponseHolder,
} from '../../src/direct/send/response_holder.js';

describe('ResponseHolder', () => {
  const createReceived = (bodyStream?: PassThrough) =>
    ({response: {status: 500, bodyStream}}) as unknown as ReceivedResponse;

  it('guards against forwarding a response that its endpoint has broken off', () => {
    const holder = new ResponseHolder();
    const bodyStream = new PassThrough();
    holder.hold(createReceived(bodyStream));
    bodyStream.destroy();
    expect(holder.take(true)).toBeUndefined();
  });

  it('guards against an open connection of a response that cannot be streamed in time', () => {
    const holder = new ResponseHolder();
    const bodyStream = new PassThrough();
    holder.hold(createReceived(bodyStream));
    expect(holder.take(false)).toBeUndefined();
    expect(bodyStream.destroyed).toBe(true);
  });

  it('guards against a complete response that a longer one replaces', () => {
    const holder = new ResponseHolder();
    const complete = createReceived();
    const bodyStream = new PassThrough();
    holder.hold(complete);
    holder.hold(createReceived(bodyStream));
    expect(bodyStream.destroyed).toBe(true);
    expect(holder.take(true)).toBe(complete);
    expect(holder.take(true)).toBeUndefined();
  });

  it('closes the connection of a response that another one replaces', () => {
    const holder = new ResponseHolder();
    const bodyStream = new PassThrough();
    const complete = createReceived();
    holder.hold(createReceived(bodyStream));
    holder.hold(complete);
    expect(bodyStream.destroyed).toBe(true);
    expect(holder.take(true)).toBe(complete);
  });
});
