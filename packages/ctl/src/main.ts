import {getErrorMessage, RealTimerService} from '@primrosestage/common';
import {cac} from 'cac';
import {AdminClient} from './admin_client.js';
import {CommandError} from './command_error.js';
import {
  type CommandContext,
  type CommandOutput,
  runCheckConfiguration,
  runDrain,
  runPresets,
  runStatus,
} from './commands/index.js';
import {ExitCode} from './exit_code.js';

/** Environment variable that holds the token; an option would be visible in the process list. */
const TOKEN_VARIABLE = 'PRIMROSE_TOKEN';

interface CommandOptions {
  admin?: string | string[];
  team?: string;
  token?: string | number;
  json?: boolean;
  basedOn?: number;
  changeId?: string | number;
  file?: string;
  from?: string;
  inForce?: string;
  set?: string | string[];
}

/**
 * Runs the `primrosectl` command line and sets the exit code of the process.
 * @param argv - Arguments as in `process.argv`.
 */
export async function main(argv: string[]): Promise<void> {
  const cli = cac('primrosectl');
  cli.option(
    '--admin <url>',
    'Administration URL; repeat it for several instances',
  );
  cli.option('--team <name>', 'Name of the team');
  cli.option('--token <token>', `Token; by default from ${TOKEN_VARIABLE}`);
  cli.option('--json', 'Print JSON instead of tables');
  cli.option(
    '--based-on <revision>',
    'Revision of the change; by default the current one',
  );
  cli.option('--change-id <id>', 'Identifier of a change to retry');
  cli
    .command(
      'presets <verb> [...names]',
      'list, show, create, edit, validate, diff or activate presets',
    )
    .option(
      '--file <file>',
      'Preset in TOML, or in JSON if the name ends in .json',
    )
    .option('--from <preset>', 'Preset to copy')
    .option('--set <key=value>', 'Key to set; repeat it for several keys')
    .action((verb: string, names: string[], options: CommandOptions) =>
      run(options, context => runPresets(context, verb, names)),
    );
  for (const action of ['drain', 'undrain']) {
    cli
      .command(
        `${action} <kind> <target>`,
        `${action} an instance, endpoint, zone or region`,
      )
      .action((kind: string, target: string, options: CommandOptions) =>
        run(options, context => runDrain(context, action, kind, target)),
      );
  }
  cli
    .command('status', 'Show shares, headroom, drains and revisions')
    .action((options: CommandOptions) => run(options, runStatus));
  cli
    .command(
      'check-configuration <file>',
      'Find faults of a state file in TOML without an instance',
    )
    .option('--in-force <file>', 'State file in force, to compare with')
    .action((file: string, options: CommandOptions) =>
      printOutput(options, runCheckConfiguration(file, options.inForce)),
    );
  cli.help();
  try {
    cli.parse(argv, {run: false});
    if (cli.options.help) return;
    if (!cli.matchedCommand) {
      cli.outputHelp();
      process.exitCode = ExitCode.Usage;
      return;
    }
    await cli.runMatchedCommand();
  } catch (err) {
    process.stderr.write(`${getErrorMessage(err)}\n`);
    process.exitCode =
      err instanceof CommandError
        ? err.exitCode
        : err instanceof Error && err.name === 'CACError'
          ? ExitCode.Usage
          : ExitCode.Unreachable;
  }
}

async function run(
  options: CommandOptions,
  command: (context: CommandContext) => Promise<CommandOutput>,
): Promise<void> {
  printOutput(options, await command(createContext(options)));
}

function printOutput(
  options: CommandOptions,
  {json, text, exitCode}: CommandOutput,
): void {
  process.stdout.write(options.json ? `${JSON.stringify(json)}\n` : text);
  process.exitCode = exitCode ?? ExitCode.Success;
}

function createContext(options: CommandOptions): CommandContext {
  const urls = toList(options.admin);
  const token = String(options.token ?? process.env[TOKEN_VARIABLE] ?? '');
  const {basedOn, changeId} = options;
  if (urls.length === 0)
    throwUsageError('--admin', 'the URL of an administration listener');
  if (urls.some(url => !URL.canParse(url) || !/^https?:/.test(url))) {
    throwUsageError(
      '--admin',
      'a URL such as http://127.0.0.1:7002',
      urls.join(' '),
    );
  }
  if (!options.team) throwUsageError('--team', 'the name of a team');
  if (token === '')
    throwUsageError('--token', `a token, or one in ${TOKEN_VARIABLE}`);
  if (basedOn !== undefined && !Number.isInteger(basedOn)) {
    throwUsageError('--based-on', 'a revision', String(basedOn));
  }
  // The same identifier with another base revision would be another change.
  if (changeId !== undefined && basedOn === undefined) {
    throwUsageError('--based-on', 'the revision of the change to retry');
  }
  return {
    client: new AdminClient({
      urls,
      team: options.team ?? '',
      token,
      timers: new RealTimerService(),
      basedOn,
      changeId: changeId === undefined ? undefined : String(changeId),
    }),
    file: options.file,
    from: options.from,
    assignments: toList(options.set),
  };
}

function toList(value: string | string[] | undefined): string[] {
  return value === undefined ? [] : [value].flat().map(String);
}

function throwUsageError(
  option: string,
  expected: string,
  found = 'nothing',
): never {
  throw new CommandError(
    ExitCode.Usage,
    `option ${option}: found ${found}, expected ${expected}`,
  );
}
