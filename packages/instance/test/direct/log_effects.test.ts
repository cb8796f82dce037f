import type {EventLogger} from '@primrosestage/common';
import {EndpointEffect, ControlView} from '@primrosestage/steering';
import {describe, expect, it} from 'vitest';
import {logEffects} from '../../src/direct/control/log_effects.js';

describe('logEffects', () => {
  const getLines = (effects: EndpointEffect[]) => {
    const lines: Array<{event: string; fields: object}> = [];
    const log = (event: string, fields: object = {}) => {
      lines.push({event, fields});
    };
    const logger: EventLogger = {info: log, warn: log, error: log};
    const endpoints = effects.map((effect, i) => ({
      id: `e-${i}`,
      effect,
      revision: i + 1,
    }));
    const view = new ControlView(0);
    const source = {view, from: 'registry', now: 0};
    logEffects({endpoints, evacuations: []}, source, logger);
    return lines;
  };

  it('limits the lines of a start (guards against one line per endpoint at every instance)', () => {
    const lines = getLines(
      Array<EndpointEffect>(3_000).fill(EndpointEffect.Joined),
    );
    expect(lines.length).toBe(21);
    expect(lines.at(-1)).toEqual({
      event: 'endpoints joined',
      fields: {count: 2_980, revision: 3_000, from: 'registry'},
    });
  });

  it('logs each endpoint that left', () => {
    const lines = getLines(
      Array<EndpointEffect>(100).fill(EndpointEffect.Left),
    );
    expect(lines.map(({event}) => event)).toEqual(
      Array(100).fill('endpoint changed'),
    );
  });
});
