import process from 'node:process';
import {loadSettings} from '@primrosestage/control';
import {serve} from '@primrosestage/instance';
import {serveCommands} from '../process/index.js';
import {type CutKind, FaultConnector} from './fault_connector.js';

/**
 * Runs an instance whose connections fail on command.
 * @param settingsFile - TOML settings of the instance.
 */
export async function runInstanceProcess(settingsFile: string): Promise<void> {
  let isStopping = false;
  const connector = new FaultConnector();
  // The cuts must be known before the first connection is opened.
  await new Promise<void>(resolve =>
    serveCommands({
      setCuts: (cuts: Record<string, CutKind>) => {
        connector.setCuts(cuts);
        resolve();
      },
      stall: (hosts: string[]) => connector.stall(hosts),
    }),
  );
  const instance = await serve(loadSettings(settingsFile), {
    connect: connector.connect,
  });
  // Later signals must not shorten the shutdown, as with the published binary.
  process.on('SIGTERM', () => {
    if (isStopping) return;
    isStopping = true;
    void instance[Symbol.asyncDispose]().then(() => process.exit(0));
  });
}
