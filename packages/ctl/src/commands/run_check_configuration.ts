import {
  buildRouteConfiguration,
  type DirectFileState,
  loadDirectState,
  SettingsError,
} from '@primrosestage/control';
import {
  compareConfigurations,
  type ConfigurationFinding,
  findConfigurationIssues,
  FindingCode,
  FindingSeverity,
  formatFindings,
  hasIssues,
} from '@primrosestage/steering';
import {CommandError} from '../command_error.js';
import {ExitCode} from '../exit_code.js';
import type {CommandOutput} from './command_context.js';

/** Key of an issue that concerns the file as a whole. */
const FILE_KEY = '(file)';

/**
 * Runs `primrosectl check-configuration`.
 * @param file - Path of a state file in TOML.
 * @param inForceFile - Path of the state file in force, if the files are to be compared.
 * @returns The output; the exit code is 1 if there are findings other than differences.
 * @throws CommandError if a file cannot be read, or if the one in force is invalid.
 */
export function runCheckConfiguration(
  file: string,
  inForceFile: string | undefined,
): CommandOutput {
  const inForceState =
    inForceFile === undefined ? undefined : loadOrThrow(inForceFile);
  const findings = findIssues(file, inForceState);
  return {
    json: findings,
    text: formatFindings(findings),
    exitCode: hasIssues(findings) ? ExitCode.Refused : ExitCode.Success,
  };
}

function findIssues(
  file: string,
  inForceState: DirectFileState | undefined,
): ConfigurationFinding[] {
  let state: DirectFileState;
  try {
    state = loadDirectState(file);
  } catch (err) {
    return convertSettingsIssues(err);
  }
  const configuration = buildRouteConfiguration(state);
  const inForce = inForceState && buildRouteConfiguration(inForceState);
  const issues = findConfigurationIssues(configuration, {
    inForce,
    serviceNames: state.services.map(({name}) => name),
  });
  if (!inForce) return issues;
  return [...issues, ...compareConfigurations(inForce, configuration)];
}

/** Converts the issues of a file that was read but does not have the form of a state file. */
function convertSettingsIssues(err: unknown): ConfigurationFinding[] {
  if (!(err instanceof SettingsError)) throw err;
  if (err.issues.some(({key}) => key === FILE_KEY)) throwUnreadable(err);
  return err.issues.map(({key, value, expected}) => ({
    severity: FindingSeverity.Error,
    code: FindingCode.InvalidValue,
    place: key,
    value,
    expected,
  }));
}

function loadOrThrow(file: string): DirectFileState {
  try {
    return loadDirectState(file);
  } catch (err) {
    if (!(err instanceof SettingsError)) throw err;
    return throwUnreadable(err);
  }
}

function throwUnreadable(err: SettingsError): never {
  throw new CommandError(ExitCode.Usage, err.message);
}
