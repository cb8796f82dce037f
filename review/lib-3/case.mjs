import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {clearTimeout, setTimeout} from 'node:timers';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

/** Exit codes of a case. */
export const Outcome = {Held: 0, Broken: 1, NotRun: 2};

const MAX_RUN_MS = 115_000;

/** What a case needs to run: its record, a temporary folder, and what has to be ended. */
export class Case {
  /** Whether the disruption is brought about. */
  isTroubled = process.env.TROUBLE !== '0';
  #startedAt = performance.now();
  #lines = [];
  #cleanUps = [];
  #isFinishing = false;

  /** @param {string} folder - The folder of the case. */
  constructor(folder) {
    this.recordFile = join(folder, 'record.txt');
    this.folder = mkdtempSync(join(tmpdir(), 'review-'));
    this.record = (event, fields) => {
      const seconds = (performance.now() - this.#startedAt) / 1_000;
      const text = Object.entries(fields)
        .filter(([, value]) => value !== undefined)
        .map(([name, value]) => `${name}=${JSON.stringify(value)}`);
      this.#lines.push([seconds.toFixed(3), event, ...text].join(' '));
    };
  }

  /** Ends what a function stops when the case is over. */
  defer(stop) {
    this.#cleanUps.push(stop);
  }

  /** A loopback address that no other process is likely to use. */
  createHost() {
    const pick = () => 2 + Math.floor(Math.random() * 250);
    return `127.${pick()}.${pick()}.${pick()}`;
  }

  /**
   * Runs the case and exits.
   * @param {() => Promise<string[]>} play - Returns how the rule was broken; empty if it held.
   */
  async run(play) {
    let outcome = Outcome.NotRun;
    const timer = setTimeout(() => {
      this.record('the case took too long', {});
      void this.#finish(Outcome.NotRun);
    }, MAX_RUN_MS);
    const giveUp = reason => {
      this.record('the case could not run', {reason: String(reason)});
      void this.#finish(Outcome.NotRun);
    };
    process.once('uncaughtException', err => giveUp(err?.stack));
    process.once('unhandledRejection', err => giveUp(err?.stack));
    for (const signal of ['SIGINT', 'SIGTERM']) {
      process.once(signal, () => giveUp(signal));
    }
    try {
      this.record('start', {trouble: this.isTroubled});
      const breaks = await play();
      for (const text of breaks) this.record(`BROKEN: ${text}`, {});
      if (breaks.length === 0) this.record('HELD', {});
      outcome = breaks.length > 0 ? Outcome.Broken : Outcome.Held;
    } catch (err) {
      this.record('the case could not run', {
        reason: String(err?.stack ?? err),
      });
    }
    clearTimeout(timer);
    await this.#finish(outcome);
  }

  async #finish(outcome) {
    if (this.#isFinishing) return;
    this.#isFinishing = true;
    for (const stop of this.#cleanUps.reverse()) {
      try {
        await stop();
      } catch (err) {
        this.record('cannot be stopped', {reason: String(err)});
      }
    }
    writeFileSync(this.recordFile, `${this.#lines.join('\n')}\n`);
    rmSync(this.folder, {recursive: true, force: true});
    process.exit(outcome);
  }
}

/** Waits for some milliseconds. */
export function sleep(ms) {
  return new Promise(resolve => setTimeout(resolve, ms));
}
