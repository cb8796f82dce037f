import process from 'node:process';
import {loadSettings} from '@primrosestage/control';
import {serve} from '@primrosestage/instance';
import {serveCommands} from '../process/index.js';
import {type PartitionKind, FaultConnector} from './fault_connector.js';

/**
 * Runs an instance whose connections fail on command.
 * @param settingsFile - TOML settings of the instance.
 */
export async function runInstanceProcess(settingsFile: string): Promise<void> {
  let isStopping = false;
  const connector = new FaultConnector();
  // The partitions must be known before the first connection is opened.
  await new Promise<void>(resolve =>
    serveCommands({
      setPartitions: (partitions: Record<string, PartitionKind>) => {
        connector.setPartitions(partitions);
        resolve();
      },
      silenceConnections: (hosts: string[]) =>
        connector.silenceConnections(hosts),
    }),
  );
  const instance = await serve(loadSettings(settingsFile), {
    connect: connector.connect,
  });
  // As in the published binary, later signals must not shorten the shutdown.
  process.on('SIGTERM', () => {
    if (isStopping) return;
    isStopping = true;
    void instance[Symbol.asyncDispose]().then(() => process.exit(0));
  });
}
