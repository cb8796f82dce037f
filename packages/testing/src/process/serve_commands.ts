import process from 'node:process';
import {getErrorMessage} from '@primrosestage/common';

/** Asks a child process to run a command. */
export interface CommandMessage {
  call: number;
  command: string;
  args: unknown[];
}

/** Replies to a command, or reports records if `call` is absent. */
export interface ReportMessage {
  call?: number;
  result?: unknown;
  error?: string;
  records?: unknown[];
}

/** Maps command names to their handlers. */
export type CommandHandlers = Record<
  string,
  // The arguments come from the parent process of the same build, so they are not validated.
  // eslint-disable-next-line @typescript-eslint/no-explicit-any
  (...args: any[]) => unknown
>;

/**
 * Serves the commands of the parent process over the IPC channel.
 * @param handlers - Commands by name.
 */
export function serveCommands(handlers: CommandHandlers): void {
  process.on('message', (message: CommandMessage) => {
    void runCommand(handlers, message).then(sendReport);
  });
  // An orphaned child would occupy the ports that the next run needs.
  process.on('disconnect', () => process.exit(0));
  sendReport({call: 0});
}

/**
 * Sends a message to the parent process, if there is one.
 * @param message - The reply or the records.
 */
export function sendReport(message: ReportMessage): void {
  if (process.connected) process.send?.(message);
}

async function runCommand(
  handlers: CommandHandlers,
  {call, command, args}: CommandMessage,
): Promise<ReportMessage> {
  const handler = handlers[command];
  if (!handler) return {call, error: `unknown command ${command}`};
  try {
    return {call, result: await handler(...args)};
  } catch (err) {
    return {call, error: getErrorMessage(err)};
  }
}
