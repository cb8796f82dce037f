import {fork} from 'node:child_process';
import {once} from 'node:events';
import {fileURLToPath} from 'node:url';
import {Step, StepError} from '@primrosestage/common';
import type {ChildTask, ChildUsage} from './child_roles.js';

const CHILD_MAIN = fileURLToPath(new URL('./child_main.js', import.meta.url));

/** Controls a child process of the benchmark; disposal kills it. */
export interface BenchChild extends AsyncDisposable {
  readonly pid: number;
  /** Collects garbage in the child and gets its resource usage so far. */
  getUsage(): Promise<ChildUsage>;
}

/**
 * Starts a child process and waits until it listens.
 * @param task - What it runs.
 * @returns The running child.
 * @throws StepError when it exits before it listens.
 */
export async function startChild(task: ChildTask): Promise<BenchChild> {
  const child = fork(CHILD_MAIN, [JSON.stringify(task)], {
    execArgv: ['--expose-gc'],
    stdio: ['ignore', 'ignore', 'inherit', 'ipc'],
  });
  const exited = once(child, 'exit');
  const firstEvent = await Promise.race([once(child, 'message'), exited]);
  if (firstEvent[0] !== 'ready') {
    throw new StepError(
      {step: Step.Settings, peer: task.role},
      `child process ${task.role} exited before it listened`,
    );
  }
  return {
    pid: child.pid ?? 0,
    async getUsage() {
      const response = once(child, 'message');
      child.send('usage');
      const [usage] = await response;
      return usage as ChildUsage;
    },
    async [Symbol.asyncDispose]() {
      child.kill('SIGKILL');
      await exited;
    },
  };
}
