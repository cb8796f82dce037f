import {formatChange} from './run_presets.js';
import type {CommandContext, CommandOutput} from './command_context.js';

/**
 * Runs `primrosectl drain` and `primrosectl undrain`.
 * @param context - Client of the administration API.
 * @param action - drain or undrain.
 * @param kind - instance, endpoint, zone or region.
 * @param target - Id or name of the instance, endpoint, zone or region.
 * @returns The output.
 */
export async function runDrain(
  {client}: CommandContext,
  action: string,
  kind: string,
  target: string,
): Promise<CommandOutput> {
  return formatChange(
    await client.change('POST', 'drains', {action, kind, target}),
  );
}
