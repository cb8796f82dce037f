import {DrainKind} from '@primrosestage/control';
import type {Endpoint} from '@primrosestage/steering';
import {describe, expect, it} from 'vitest';
import {isEndpointDrained} from '../../src/owner/is_endpoint_drained.js';

const ENDPOINT: Endpoint = {
  id: 's-r-a-1',
  team: 't',
  service: 's',
  zone: 'r-a',
  region: 'r',
  address: '127.40.9.1:8080',
  slots: 1,
  maxConnections: 1,
};

describe('isEndpointDrained', () => {
  it.each([
    [DrainKind.Endpoint, 's-r-a-1', true],
    [DrainKind.Endpoint, 's-r-a-2', false],
    [DrainKind.Zone, 'r-a', true],
    [DrainKind.Zone, 'r-b', false],
  ])(
    'detects the drain of the endpoint or its zone (%s %s)',
    (kind, target, expected) => {
      expect(isEndpointDrained(ENDPOINT, [{kind, target}])).toBe(expected);
    },
  );

  it('guards against refusing the traffic of a drained region before the shift cap allows it to be shifted', () => {
    const drains = [{kind: DrainKind.Region, target: 'r'}];
    expect(isEndpointDrained(ENDPOINT, drains)).toBe(false);
  });
});
