import {getErrorMessage} from '@primrosestage/common';
import {loadSettings, SettingsError} from '@primrosestage/control';
import {cac} from 'cac';
import {serve} from '../serve.js';

/** Exit code for settings or arguments that are not valid. */
const EXIT_USAGE = 2;

/**
 * Runs the `primrosestage` command line.
 * @param argv - Arguments as in `process.argv`.
 */
export async function main(argv: string[]): Promise<void> {
  const cli = cac('primrosestage');
  cli
    .command('serve', 'Run one entry instance')
    .option('--settings <file>', 'TOML settings of the instance')
    .option('--embedded-store', 'Keep an in-memory store inside the process')
    .action((options: {settings: string}) => runServe(options.settings));
  cli
    .command('check <file>', 'Check settings without starting')
    .action((file: string) => {
      loadSettings(file);
      process.stdout.write(`${file}: valid\n`);
    });
  cli.help();
  try {
    cli.parse(argv, {run: false});
    if (!cli.matchedCommand && !cli.options.help) {
      cli.outputHelp();
      process.exitCode = EXIT_USAGE;
      return;
    }
    await cli.runMatchedCommand();
  } catch (err) {
    process.stderr.write(`${getErrorMessage(err)}\n`);
    const isUsage =
      err instanceof SettingsError ||
      (err instanceof Error && err.name === 'CACError');
    process.exitCode = isUsage ? EXIT_USAGE : 1;
  }
}

async function runServe(file: string): Promise<void> {
  const instance = await serve(loadSettings(file));
  let isStopping = false;
  // The handler stays in place: without it, a second signal would end the process at once.
  process.on('SIGTERM', () => {
    if (isStopping) return;
    isStopping = true;
    void instance[Symbol.asyncDispose]().then(() => process.exit(0));
  });
}
