import process from 'node:process';
import {getErrorMessage} from '@primrosestage/common';

/** Asks a child process to run a command. */
export interface CommandMessage {
  call: number;
  command: string;
  args: unknown[];
}

/** Answers a command, or reports records where `call` is absent. */
export interface ReportMessage {
  call?: number;
  result?: unknown;
  error?: string;
  records?: unknown[];
}

/** Maps command names to their handlers. */
export type CommandHandlers = Record<
  string,
  // Arguments come from the parent process of the same build, so they are not checked again.
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
  // Without its parent a child has no use and would keep the ports of the next run.
  process.on('disconnect', () => process.exit(0));
  sendReport({call: 0});
}

/**
 * Sends a message to the parent process, where there is one.
 * @param message - The answer or the records.
 */
export function sendReport(message: ReportMessage): void {
  if (process.connected) process.send?.(message);
}

async function runCommand(
  handlers: CommandHandlers,
  {call, command, args}: CommandMessage,
): Promise<ReportMessage> {
  const handler = handlers[command];
  if (!handler) return {call, error: `no command ${command}`};
  try {
    return {call, result: await handler(...args)};
  } catch (err) {
    return {call, error: getErrorMessage(err)};
  }
}
