import {getErrorMessage} from '@primrosestage/common';
import {
  buildTopology,
  InstanceState,
  loadDirectSettings,
  loadDirectState,
  type LoadedSettings,
  loadSettings,
  MemoryStore,
  SettingsError,
} from '@primrosestage/control';
import {cac} from 'cac';
import {serve} from '../serve.js';
import {runDirectCommand} from './run_direct_command.js';

/** Exit code for invalid settings or arguments. */
const EXIT_USAGE = 2;

/**
 * Runs the `primrosestage` command line.
 * @param argv - Arguments as in `process.argv`.
 */
export async function main(argv: string[]): Promise<void> {
  const cli = cac('primrosestage');
  cli
    .command('serve', 'Run an instance')
    .option('--settings <file>', 'TOML settings of the instance')
    .option('--embedded-store', 'Keep an in-memory store inside the process')
    .action(runServe);
  cli
    .command(
      'direct <file>',
      'Run an instance that selects endpoints itself, without endpoint owners',
    )
    .action(runDirectCommand);
  cli
    .command(
      'check-direct <file>',
      'Check the settings and state files of a direct instance',
    )
    .action((file: string) => {
      loadDirectState(loadDirectSettings(file).state);
      process.stdout.write(`${file}: valid\n`);
    });
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

interface ServeArguments {
  settings?: string;
  embeddedStore?: boolean;
}

async function runServe(options: ServeArguments): Promise<void> {
  if (typeof options.settings !== 'string') {
    process.stderr.write('option --settings: found nothing, expected a file\n');
    process.exitCode = EXIT_USAGE;
    return;
  }
  const settings = loadSettings(options.settings);
  const instance = options.embeddedStore
    ? await serveStandalone(settings)
    : await serve(settings);
  let isStopping = false;
  // The handler stays registered; without one, a second SIGTERM would end the process at once.
  process.on('SIGTERM', () => {
    if (isStopping) return;
    isStopping = true;
    void instance[Symbol.asyncDispose]().then(() => process.exit(0));
  });
}

/** Starts the only instance of a system, with an in-memory store. */
function serveStandalone({system, instance}: LoadedSettings) {
  const instances = system.instances.filter(({id}) => id === instance.id);
  const [self] = buildTopology({...system, instances}).instances;
  const listedInstance = {
    id: instance.id,
    zone: self!.zone,
    region: self!.region,
    internal: self!.internalAddress,
    public: self!.publicAddress,
    state: InstanceState.Live,
  };
  return serve(
    {instance, system: {...system, instances: [...instances] as never}},
    {
      createStore: timers =>
        new MemoryStore({timers, getInstances: () => [listedInstance]}),
    },
  );
}
