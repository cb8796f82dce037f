import type {IncomingMessage} from 'node:http';
import {describe, expect, it} from 'vitest';
import {BodyBuffers} from '../../src/direct/listen/body_buffers.js';
import {HeadMeter} from '../../src/direct/listen/head_meter.js';

const MAX_BYTES = 100_000;

describe('HeadMeter', () => {
  const createHead = (fields: number) =>
    ({
      rawHeaders: Array.from({length: 2 * fields}, () => 'a'),
    }) as IncomingMessage;
  const createBuffers = () =>
    new BodyBuffers({maxBytes: MAX_BYTES, reservedBytes: 0});

  it('counts no memory for an ordinary head', () => {
    const buffers = createBuffers();
    using meter = new HeadMeter(buffers);
    expect(meter.count(Buffer.from('a: b\r\n'.repeat(30)))).toBe(true);
    expect(meter.finish(createHead(30))).toBeDefined();
    expect(buffers.usedBytes).toBe(0);
  });

  it('counts a head of many fields until its memory is given up', () => {
    const buffers = createBuffers();
    using meter = new HeadMeter(buffers);
    const memory = meter.finish(createHead(300));
    expect(buffers.usedBytes).toBeGreaterThan(50_000);
    expect(meter.finish(createHead(300))).toBeUndefined();
    memory?.[Symbol.dispose]();
    expect(buffers.usedBytes).toBe(0);
    expect(meter.finish(createHead(300))).toBeDefined();
  });

  it('counts parts of a body in chunks that add no data, until data follows', () => {
    const buffers = createBuffers();
    using meter = new HeadMeter(buffers);
    const part = Buffer.from('a:\r\n'.repeat(128));
    meter.finish(createHead(5));
    meter.count(part, 0);
    for (let i = 0; i < 3; i++) meter.count(part, 10);
    expect(buffers.usedBytes).toBe(0);
    for (let i = 0; i < 3; i++) meter.count(part, 10);
    expect(buffers.usedBytes).toBeGreaterThan(50_000);
    meter.count(part, 20);
    expect(buffers.usedBytes).toBe(0);
  });

  it('refuses a head that does not end, and releases what was counted of it', () => {
    const buffers = createBuffers();
    const meter = new HeadMeter(buffers);
    const part = Buffer.from('a:\r\n'.repeat(128));
    let parts = 0;
    while (meter.count(part)) parts++;
    expect(parts).toBeGreaterThan(2);
    expect(buffers.usedBytes).toBeLessThanOrEqual(MAX_BYTES);
    meter[Symbol.dispose]();
    expect(buffers.usedBytes).toBe(0);
  });
});
