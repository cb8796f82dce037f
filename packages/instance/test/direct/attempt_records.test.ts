import {RequestKind} from '@primrosestage/steering';
import {afterEach, describe, expect, it} from 'vitest';
import type {EndpointStub} from './endpoint_stub.js';
import {createRoute, send, type TestInstance, waitFor} from './fleet.js';
import {TestFleet} from './test_fleet.js';

/** The fields of an attempt's record that describe its connection. */
interface UseRecord {
  outcome: string;
  connection: number;
  connectionUses: number;
  idUses: number;
}

describe('records of attempts', () => {
  const fleet = new TestFleet();

  afterEach(() => fleet.end());

  const start = (number: number) =>
    fleet.startServing(number, [
      createRoute({kind: RequestKind.Unsafe, attempts: 1}),
    ]);

  const getRecords = (instance: TestInstance) =>
    instance.lines
      .filter(({event}) => event === 'request')
      .flatMap(({fields}) =>
        (fields['attempts'] as UseRecord[]).map(record => ({
          id: String(fields['id']),
          ...record,
        })),
      );

  const closeAfterResponse = (stub: EndpointStub) => {
    stub.handle = (req, res, self) => {
      res.shouldKeepAlive = false;
      self.respond(req, res);
    };
  };

  it('number the connections and count their requests', async () => {
    const {stub, instance} = await start(105);
    for (const id of ['a', 'b']) await send(instance, {id});
    closeAfterResponse(stub);
    await send(instance, {id: 'c'});
    await send(instance, {id: 'd'});
    expect(getRecords(instance)).toMatchObject([
      {id: 'a', connection: 1, connectionUses: 1, idUses: 1},
      {id: 'b', connection: 1, connectionUses: 2, idUses: 1},
      {id: 'c', connection: 1, connectionUses: 3, idUses: 1},
      {id: 'd', connection: 2, connectionUses: 1, idUses: 1},
    ]);
  });

  it('count how often a connection has carried the id of a request', async () => {
    const {stub, instance} = await start(106);
    for (const id of ['a', 'b', 'a', 'a']) {
      stub.handle = (req, res, self) => self.refuse(req, res);
      await send(instance, {id});
      stub.handle = undefined;
      await waitFor('the endpoint serves', async () => {
        const {status} = await send(instance);
        return status === 200;
      });
    }
    const records = getRecords(instance);
    for (const [i, {id, connection, idUses}] of records.entries()) {
      const uses = records
        .slice(0, i + 1)
        .filter(each => each.id === id && each.connection === connection);
      expect(idUses).toBe(uses.length);
    }
    const repeats = records.filter(({id}) => id === 'a');
    expect(repeats.length).toBeGreaterThan(1);
  });

  it('name the connection of an attempt that is still open', async () => {
    const {stub, instance} = await start(107);
    stub.handle = () => {};
    const {status} = await send(instance, {id: 'a', deadlineMs: 300});
    expect(status).toBe(504);
    expect(getRecords(instance)).toMatchObject([
      {connection: 1, connectionUses: 1, idUses: 1},
    ]);
  });
});
