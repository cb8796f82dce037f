import {type ChildProcess, spawn} from 'node:child_process';
import {closeSync, openSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {Step, StepError} from '@primrosestage/common';
import type {ReportMessage} from './serve_commands.js';

/** Timeout of a command to a child. */
const CALL_TIMEOUT_MS = 10_000;

/** Configures a child process. */
export interface ChildOptions {
  name: string;
  /** Script and its arguments. */
  args: string[];
  /** Directory of the log file, which receives stdout and stderr. */
  logDir: string;
  /** Receives the records that the child reports. */
  onRecords?: (records: never[]) => void;
  /** Whether the child serves commands over IPC. */
  hasCommands?: boolean;
}

/** Controls one child process. */
export class Child implements AsyncDisposable {
  readonly exited: Promise<number | NodeJS.Signals>;
  private readonly child: ChildProcess;
  private readonly pendingCalls = new Map<
    number,
    (message: ReportMessage) => void
  >();
  private readonly started: Promise<void>;
  private nextCall = 1;
  private hasExited = false;

  constructor(private readonly options: ChildOptions) {
    const log = openSync(path.join(options.logDir, `${options.name}.log`), 'a');
    this.child = spawn(process.execPath, options.args, {
      stdio: ['ignore', log, log, 'ipc'],
    });
    closeSync(log);
    this.exited = new Promise(resolve => {
      this.child.once('error', () => resolve(-1));
      this.child.once('exit', (code, signal) => resolve(code ?? signal ?? -1));
    });
    const end = () => this.child.kill('SIGKILL');
    process.once('exit', end);
    void this.exited.then(code => {
      this.hasExited = true;
      process.off('exit', end);
      for (const settle of this.pendingCalls.values()) {
        settle({error: `${options.name} exited with ${code}`});
      }
    });
    this.child.on('message', (message: ReportMessage) => {
      if (message.records) options.onRecords?.(message.records as never[]);
      if (message.call !== undefined)
        this.pendingCalls.get(message.call)?.(message);
    });
    this.started = options.hasCommands
      ? this.waitForReply(0).then(() => {})
      : Promise.resolve();
    this.started.catch(() => {});
  }

  /** Whether the process has not exited yet. */
  get isRunning(): boolean {
    return !this.hasExited;
  }

  /** Id of the process. */
  get pid(): number {
    return this.child.pid ?? 0;
  }

  /**
   * Runs a command in the child.
   * @returns The command's result.
   * @throws StepError if the command fails, the child exits or no reply arrives within 10 s.
   */
  async call<T = unknown>(command: string, ...args: unknown[]): Promise<T> {
    await this.started;
    const call = this.nextCall++;
    const reply = this.waitForReply(call);
    if (this.child.connected) this.child.send({call, command, args});
    return (await reply) as T;
  }

  /** Sends a signal to the process if it is still running. */
  signal(signal: NodeJS.Signals): void {
    if (this.isRunning) this.child.kill(signal);
  }

  /** Kills the process immediately, even if it is stopped by SIGSTOP. */
  async [Symbol.asyncDispose](): Promise<void> {
    this.signal('SIGKILL');
    await this.exited;
  }

  private waitForReply(call: number): Promise<unknown> {
    const {name} = this.options;
    return new Promise((resolve, reject) => {
      const fail = (reason: string) =>
        reject(new StepError({step: Step.Admin, peer: name}, reason));
      const timer = setTimeout(
        () => settle({error: `${name}: no reply within ${CALL_TIMEOUT_MS} ms`}),
        CALL_TIMEOUT_MS,
      );
      const settle = (message: ReportMessage) => {
        clearTimeout(timer);
        this.pendingCalls.delete(call);
        if (message.error === undefined) resolve(message.result);
        else fail(message.error);
      };
      this.pendingCalls.set(call, settle);
      if (this.hasExited) settle({error: `${name} has exited`});
    });
  }
}
