import {cpSync, mkdtempSync, readFileSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {RealTimerService} from '@primrosestage/common';
import {loadDirectSettings} from '@primrosestage/control';
import {afterEach, describe, expect, it} from 'vitest';
import {createFileSource} from '../../src/direct/control/file_registry.js';
import {send, waitFor, waitUntilServing, type TestInstance} from './fleet.js';
import {MemoryRegistry} from './memory_registry.js';
import {TestFleet} from './test_fleet.js';

describe('createFileSource', () => {
  const fleet = new TestFleet();

  afterEach(() => fleet.end());

  const copyExample = () => {
    const dir = mkdtempSync(path.join(tmpdir(), 'primrose-direct-'));
    cpSync('examples/direct', dir, {recursive: true});
    return path.join(dir, 'north-a-1.toml');
  };
  const replaceInFile = (file: string, from: string | RegExp, to: string) =>
    writeFileSync(
      file,
      readFileSync(file, 'utf8').replace(from, () => to),
    );

  const start = async (file: string, number: number): Promise<TestInstance> => {
    const source = createFileSource(file, new RealTimerService());
    const test = await fleet.start(new MemoryRegistry(), number, {}, source);
    await waitUntilServing(test);
    return test;
  };

  it('serves, evacuates, drains and changes routes as the file specifies', async () => {
    const {state} = loadDirectSettings(copyExample());
    const stub = await fleet.startEndpoint('catalogue-1');
    replaceInFile(state, '127.0.0.1:7200', stub.address);
    const test = await start(state, 50);
    expect((await send(test)).body).toBe('answer of catalogue-1');
    const waitForStatus = (status: number) =>
      waitFor(
        `callers get ${status}`,
        async () => (await send(test)).status === status,
      );
    replaceInFile(state, 'evacuatedZones = []', 'evacuatedZones = ["north-a"]');
    await waitForStatus(503);
    replaceInFile(state, 'evacuatedZones = ["north-a"]', 'evacuatedZones = []');
    await waitForStatus(200);
    replaceInFile(state, /$/, 'state = "draining"\n');
    await waitForStatus(503);
    replaceInFile(state, 'state = "draining"\n', '');
    await waitForStatus(200);
    replaceInFile(state, 'prefix = "/"', 'prefix = "/new/"');
    replaceInFile(state, 'version = 1', 'version = 2');
    await waitForStatus(404);
  });

  it('keeps the last valid state and reports the fault of an invalid one', async () => {
    const {state} = loadDirectSettings(copyExample());
    const stub = await fleet.startEndpoint('catalogue-1');
    replaceInFile(state, '127.0.0.1:7200', stub.address);
    const test = await start(state, 51);
    replaceInFile(state, 'kind = "safe"', 'kind = "odd"');
    await waitFor('the fault is reported', () =>
      test.lines.some(
        ({event, fields}) =>
          event === 'registry lost' && String(fields.reason).includes('kind'),
      ),
    );
    expect((await send(test)).status).toBe(200);
  });

  it('rejects settings whose zone is not listed', () => {
    const file = copyExample();
    replaceInFile(file, 'zone = "north-a"', 'zone = "west-a"');
    expect(() => loadDirectSettings(file)).toThrow('a zone listed under zones');
  });
});
