import {describe, expect, it} from 'vitest';
import {
  createLineLogger,
  VirtualTimerService,
  type WriteBytes,
} from '../../src/index.js';

describe('createLineLogger', () => {
  const create = (writeBytes: WriteBytes) => {
    const timers = new VirtualTimerService();
    const logger = createLineLogger({
      timers,
      fields: {instance: 'a'},
      writeBytes,
    });
    return {timers, logger};
  };

  it('writes one JSON line per event with the common fields', async () => {
    let text = '';
    const {timers, logger} = create((bytes, done) => {
      text += bytes.toString();
      done(null, bytes.length);
    });
    logger.info('started', {zone: 'z'});
    logger.warn('odd');
    await timers.advance(100);
    const lines = text
      .trim()
      .split('\n')
      .map(line => JSON.parse(line));
    expect(lines).toMatchObject([
      {level: 'info', instance: 'a', event: 'started', zone: 'z'},
      {level: 'warn', instance: 'a', event: 'odd'},
    ]);
  });

  it('delays the next write if the reader accepts no data (guards against a busy loop)', async () => {
    let writes = 0;
    const {timers, logger} = create((_bytes, done) => {
      writes++;
      const err: NodeJS.ErrnoException = new TypeError('full');
      err.code = 'EAGAIN';
      done(err, 0);
    });
    logger.info('event');
    await timers.advance(1_000);
    expect(writes).toBeLessThan(10);
  });

  it('completes lines after partial writes', async () => {
    let text = '';
    const {timers, logger} = create((bytes, done) => {
      text += bytes.subarray(0, 7).toString();
      done(null, Math.min(7, bytes.length));
    });
    logger.info('event');
    await timers.advance(100);
    expect(JSON.parse(text)).toMatchObject({event: 'event'});
  });

  it('drops and counts lines if the reader is slow', async () => {
    const {timers, logger} = create(() => {});
    logger.info('first');
    await timers.advance(100);
    for (let i = 0; i < 3_000; i++) logger.info('x', {text: 'y'.repeat(1_000)});
    expect(logger.droppedLines).toBeGreaterThan(1_000);
  });
});
