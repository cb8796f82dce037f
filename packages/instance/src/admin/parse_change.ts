import {
  CHANGE_ACTION_SCHEMA,
  CHANGE_BASE_SCHEMA,
  type ChangeAction,
  ChangeKind,
  checkPreset,
  convertSchemaIssues,
  type DocumentChange,
  PRESET_NAME_SCHEMA,
  type ValueIssue,
} from '@primrosestage/control';
import type {Topology} from '@primrosestage/steering';
import {z} from 'zod';

const PUT_PRESET_SCHEMA = CHANGE_BASE_SCHEMA.extend({
  name: PRESET_NAME_SCHEMA,
  preset: z.unknown(),
});
const ACTIVATE_SCHEMA = CHANGE_BASE_SCHEMA.extend({name: PRESET_NAME_SCHEMA});
const DRAIN_SCHEMA = CHANGE_BASE_SCHEMA.extend({
  action: z.enum([ChangeKind.Drain, ChangeKind.Undrain]),
  kind: z.string(),
  target: z.string(),
});

/** A parsed change, or all issues found in it. */
export interface ParsedChange {
  change?: DocumentChange;
  issues: ValueIssue[];
}

/**
 * Parses the body of `PUT presets/{name}`.
 * @param body - The body.
 * @param name - Name of the preset.
 * @param team - Name of the team.
 * @param topology - Topology that the preset is validated against.
 */
export function parsePutPreset(
  body: unknown,
  name: string,
  team: string,
  topology: Topology,
): ParsedChange {
  const fields = typeof body === 'object' && body !== null ? body : {};
  const result = PUT_PRESET_SCHEMA.safeParse({...fields, name});
  const {preset, issues} = checkPreset(
    (fields as {preset?: unknown}).preset,
    team,
    topology,
  );
  const presetIssues = issues.map(issue => ({
    ...issue,
    key: `preset.${issue.key}`,
  }));
  if (!result.success) {
    const baseIssues = convertSchemaIssues({...fields, name}, result.error);
    return {issues: [...baseIssues, ...presetIssues]};
  }
  if (!preset || issues.length > 0) return {issues: presetIssues};
  return createParsedChange(result.data, {
    kind: ChangeKind.PutPreset,
    name,
    preset,
  });
}

/** Parses the body of `POST active`. */
export function parseActivate(body: unknown): ParsedChange {
  const result = ACTIVATE_SCHEMA.safeParse(body);
  if (!result.success) return {issues: convertSchemaIssues(body, result.error)};
  const {name} = result.data;
  return createParsedChange(result.data, {kind: ChangeKind.Activate, name});
}

/** Parses the body of `POST drains`. */
export function parseDrain(body: unknown): ParsedChange {
  const result = DRAIN_SCHEMA.safeParse(body);
  if (!result.success) return {issues: convertSchemaIssues(body, result.error)};
  const {action: actionKind, kind, target} = result.data;
  const action = CHANGE_ACTION_SCHEMA.safeParse({
    kind: actionKind,
    drain: {kind, target},
  });
  if (!action.success) {
    const data = {drain: {kind, target}};
    return {issues: convertSchemaIssues(data, action.error)};
  }
  return createParsedChange(result.data, action.data);
}

function createParsedChange(
  {basedOn, changeId}: z.infer<typeof CHANGE_BASE_SCHEMA>,
  action: ChangeAction,
): ParsedChange {
  return {change: {basedOn, changeId, action}, issues: []};
}
