import type {IncomingMessage} from 'node:http';
import {Outcome, Step} from '@primrosestage/common';
import {describe, expect, it} from 'vitest';
import {InstanceRole} from '../../src/relay/index.js';
import {readRefusal} from '../../src/relay/read_refusal.js';

const read = (
  status: number,
  outcome: string | undefined,
  role = InstanceRole.Owner,
) =>
  readRefusal('n1', role, {
    res: {
      statusCode: status,
      headers: {'primrose-outcome': outcome, 'primrose-request-id': 'q-1'},
    } as unknown as IncomingMessage,
    chunks: (async function* () {})(),
    isReused: true,
    cancel: () => {},
  });

describe('readRefusal', () => {
  it.each([408, 421, 429, 503])(
    'guards against a status of %i, which promises, for an outcome that is unknown',
    async status => {
      for (const outcome of ['unknown', undefined, 'answered']) {
        expect(await read(status, outcome)).toMatchObject({
          outcome: Outcome.Unknown,
          status: 502,
        });
      }
    },
  );

  it('guards against losing the status of a deadline, or that the home has no records', async () => {
    expect((await read(504, 'unknown')).status).toBe(504);
    expect((await read(421, 'unknown', InstanceRole.Home)).status).toBe(421);
  });

  it('guards against losing a refusal that is proven', async () => {
    expect(await read(503, 'not-run')).toMatchObject({
      outcome: Outcome.NotRun,
      status: 503,
      step: Step.Relay,
    });
  });
});
