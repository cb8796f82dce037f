import process from 'node:process';
import {loadSettings} from '@primrosestage/control';
import {serve} from '@primrosestage/instance';
import {serveCommands} from '../process/index.js';
import {FaultConnector} from './fault_connector.js';

/**
 * Runs an instance whose connections fail on command.
 * @param settingsFile - TOML settings of the instance.
 */
export async function runInstanceProcess(settingsFile: string): Promise<void> {
  const connector = new FaultConnector();
  const instance = await serve(loadSettings(settingsFile), {
    connect: connector.connect,
  });
  process.once('SIGTERM', () => {
    // A second SIGTERM must not shorten the shutdown, as with the published binary.
    process.on('SIGTERM', () => {});
    void instance[Symbol.asyncDispose]().then(() => process.exit(0));
  });
  serveCommands({
    setCuts: connector.setCuts.bind(connector),
    stall: connector.stall.bind(connector),
  });
}
