import type {PresetDifference, ValueIssue} from '@primrosestage/control';
import {formatIssue} from '../admin_client.js';
import {assignKeys, readPresetFile} from '../build_preset.js';
import {CommandError} from '../command_error.js';
import {ExitCode} from '../exit_code.js';
import {formatTable} from '../format_table.js';
import type {CommandContext, CommandOutput} from './command_context.js';

/**
 * Runs `primrosectl presets`.
 * @param context - Client and options.
 * @param verb - list, show, create, edit, validate, diff or activate.
 * @param names - Names of presets.
 * @returns The output.
 */
export async function runPresets(
  context: CommandContext,
  verb: string,
  names: readonly string[],
): Promise<CommandOutput> {
  switch (verb) {
    case 'list':
      checkNameCount(verb, names, 0);
      return listPresets(context);
    case 'show':
      checkNameCount(verb, names, 1);
      return showPreset(context, names[0]!);
    case 'create':
    case 'edit':
      checkNameCount(verb, names, 1);
      return putPreset(context, verb, names[0]!);
    case 'validate':
      checkNameCount(verb, names, 1);
      return validatePreset(context, names[0]!);
    case 'diff':
      checkNameCount(verb, names, 2);
      return diffPresets(context, names[0]!, names[1]!);
    case 'activate':
      checkNameCount(verb, names, 1);
      return activatePreset(context, names[0]!);
  }
  throw new CommandError(
    ExitCode.Usage,
    `found ${verb}, expected list, show, create, edit, validate, diff or activate`,
  );
}

function checkNameCount(
  verb: string,
  names: readonly string[],
  count: number,
): void {
  if (names.length === count) return;
  throw new CommandError(
    ExitCode.Usage,
    `presets ${verb}: found ${names.length} names, expected ${count}`,
  );
}

async function listPresets({client}: CommandContext): Promise<CommandOutput> {
  const json = await client.get('presets');
  const rows = (json.presets as string[]).map(name => [
    name,
    name === json.active ? 'yes' : '',
  ]);
  const text = `revision ${String(json.revision)}\n${formatTable(['preset', 'active'], rows)}`;
  return {json, text};
}

async function showPreset(
  {client}: CommandContext,
  name: string,
): Promise<CommandOutput> {
  const json = await client.get(`presets/${encodeURIComponent(name)}`);
  return {json, text: `${JSON.stringify(json.preset, undefined, 2)}\n`};
}

async function putPreset(
  context: CommandContext,
  verb: string,
  name: string,
): Promise<CommandOutput> {
  const {client} = context;
  if (!client.isRetry) {
    const {presets} = await client.get('presets');
    const exists = (presets as string[]).includes(name);
    if (exists !== (verb === 'edit')) {
      throw new CommandError(
        ExitCode.Refused,
        exists
          ? `preset ${name} exists; use edit`
          : `no preset ${name}; use create`,
      );
    }
  }
  const preset = await buildPreset(context, verb === 'edit' ? name : undefined);
  const path = `presets/${encodeURIComponent(name)}`;
  return formatChange(await client.change('PUT', path, {preset}));
}

async function validatePreset(
  context: CommandContext,
  name: string,
): Promise<CommandOutput> {
  const preset = await buildPreset(context, name);
  const json = await context.client.validate(encodeURIComponent(name), preset);
  const issues = json.issues as ValueIssue[];
  const text = issues.map(issue => `${formatIssue(issue)}\n`).join('');
  const isValid = issues.length === 0;
  return {
    json,
    text: isValid ? 'valid\n' : text,
    exitCode: isValid ? ExitCode.Success : ExitCode.Refused,
  };
}

/** Builds a preset from the file, else from the preset to copy, else from the stored one. */
async function buildPreset(
  {client, file, from, assignments}: CommandContext,
  storedName: string | undefined,
): Promise<unknown> {
  const source = from ?? storedName;
  const base =
    file !== undefined
      ? readPresetFile(file)
      : source === undefined
        ? {}
        : (await client.get(`presets/${encodeURIComponent(source)}`)).preset;
  return assignKeys(base, assignments);
}

async function diffPresets(
  {client}: CommandContext,
  from: string,
  to: string,
): Promise<CommandOutput> {
  const json = await client.get(
    `presets/${encodeURIComponent(from)}/diff/${encodeURIComponent(to)}`,
  );
  const rows = (json.differences as PresetDifference[]).map(d => [
    d.key,
    String(d.from ?? '-'),
    String(d.to ?? '-'),
  ]);
  return {json, text: formatTable(['key', from, to], rows)};
}

async function activatePreset(
  {client}: CommandContext,
  name: string,
): Promise<CommandOutput> {
  return formatChange(await client.change('POST', 'active', {name}));
}

/** Formats the response to an accepted change. */
export function formatChange(json: Record<string, unknown>): CommandOutput {
  return {json, text: `accepted as revision ${String(json.revision)}\n`};
}
