import {readFileSync} from 'node:fs';
import {getErrorMessage} from '@primrosestage/common';
import {parse} from 'smol-toml';
import {CommandError} from './command_error.js';
import {ExitCode} from './exit_code.js';

/**
 * Reads a preset from a file.
 * @param file - Path of a TOML file, or of a JSON file that ends in `.json`.
 * @returns The preset, unchecked.
 * @throws CommandError when the file cannot be read.
 */
export function readPresetFile(file: string): unknown {
  try {
    const text = readFileSync(file, 'utf8');
    return file.endsWith('.json') ? JSON.parse(text) : parse(text);
  } catch (err) {
    throw new CommandError(
      ExitCode.Usage,
      `${file}: ${getErrorMessage(err)}, expected a preset in TOML or JSON`,
    );
  }
}

/**
 * Sets keys of a preset.
 * @param preset - The preset; it is not modified.
 * @param assignments - Texts as `shares.orders.addis.hawassa=0.2`; an empty value removes the key.
 * @returns The new preset, unchecked.
 * @throws CommandError when a text is not an assignment.
 */
export function assignKeys(
  preset: unknown,
  assignments: readonly string[],
): unknown {
  const result = structuredClone(preset ?? {}) as Record<string, unknown>;
  for (const text of assignments) {
    const equals = text.indexOf('=');
    const path = text.slice(0, Math.max(0, equals)).split('.');
    if (path.some(key => key === '' || key === '__proto__')) {
      throw new CommandError(
        ExitCode.Usage,
        `--set: found ${text}, expected key=value`,
      );
    }
    assignKey(result, path, text.slice(equals + 1));
  }
  return result;
}

function assignKey(
  target: Record<string, unknown>,
  path: readonly string[],
  text: string,
): void {
  let node = target;
  for (const key of path.slice(0, -1)) {
    const child = Object.hasOwn(node, key) ? node[key] : undefined;
    const next = typeof child === 'object' && child !== null ? child : {};
    node[key] = next;
    node = next as Record<string, unknown>;
  }
  const lastKey = path.at(-1) ?? '';
  if (text === '') delete node[lastKey];
  // Other text is sent unchanged; the server reports its key, its value and the expected value.
  else node[lastKey] = Number.isNaN(Number(text)) ? text : Number(text);
}
