import {type ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import {readFileSync} from 'node:fs';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';

const PROGRAM = fileURLToPath(
  new URL(
    '../bin/primrosestage.js',
    import.meta.resolve('@primrosestage/instance'),
  ),
);
/** Clock ticks per second, the unit in which Linux counts the processor time of a process. */
const TICKS_PER_S = 100;
/** Indexes of the ticks in user and kernel mode among the fields after the program name. */
const USER_TICKS_INDEX = 11;
const KERNEL_TICKS_INDEX = 12;

/** One line of an instance's log. */
interface LogLine {
  at: string;
  event: string;
  version?: number;
}

/** Runs an instance of the direct path in a child process; disposal kills it. */
export class DirectInstanceProcess implements AsyncDisposable {
  private readonly child: ChildProcess;
  private readonly appliedAtByVersion = new Map<number, number>();

  /**
   * Starts an instance.
   * @param settings - Path of its settings.
   */
  constructor(settings: string) {
    this.child = spawn(process.execPath, [PROGRAM, 'direct', settings], {
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    const {stdout} = this.child;
    if (stdout)
      createInterface(stdout).on('line', line => this.readLogLine(line));
  }

  /** Processor time used so far, in milliseconds. */
  get cpuMs(): number {
    const stat = readFileSync(`/proc/${this.child.pid}/stat`, 'utf8');
    const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
    const user = Number(fields[USER_TICKS_INDEX]);
    const kernel = Number(fields[KERNEL_TICKS_INDEX]);
    return ((user + kernel) * 1_000) / TICKS_PER_S;
  }

  /**
   * Returns when a configuration was applied.
   * @param version - Its version.
   * @returns Unix time in milliseconds, or undefined if it has not been applied.
   */
  getAppliedAt(version: number): number | undefined {
    return this.appliedAtByVersion.get(version);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    if (this.child.exitCode !== null) return;
    const exited = once(this.child, 'exit');
    this.child.kill('SIGKILL');
    await exited;
  }

  private readLogLine(text: string): void {
    const line = JSON.parse(text) as LogLine;
    if (line.event !== 'configuration in force') return;
    this.appliedAtByVersion.set(line.version ?? 0, Date.parse(line.at));
  }
}
