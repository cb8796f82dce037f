import type {Topology} from '@primrosestage/steering';
import {convertSchemaIssues, type ValueIssue} from '../validation/index.js';
import {findPresetIssues} from './find_preset_issues.js';
import {type Preset, PRESET_SCHEMA} from './preset.js';

/** Holds a checked preset, or its issues. */
export interface PresetCheck {
  /** The preset with defaults filled in; absent if it does not match its schema. */
  preset?: Preset;
  issues: ValueIssue[];
}

/**
 * Checks a preset from outside the process.
 * @param data - The preset as parsed JSON or TOML.
 * @param team - Name of the team.
 * @param topology - Regions, links and services.
 * @returns The preset and all its issues.
 */
export function checkPreset(
  data: unknown,
  team: string,
  topology: Topology,
): PresetCheck {
  const result = PRESET_SCHEMA.safeParse(data);
  if (!result.success) {
    return {issues: convertSchemaIssues(data, result.error)};
  }
  return {
    preset: result.data,
    issues: findPresetIssues(result.data, team, topology),
  };
}
