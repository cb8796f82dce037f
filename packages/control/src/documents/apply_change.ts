import type {Topology} from '@primrosestage/steering';
import {describeValue, type ValueIssue} from '../validation/index.js';
import {
  type ChangeAction,
  ChangeKind,
  type DocumentChange,
} from './document_change.js';
import {type Drain, DrainKind} from './drain.js';
import {findPresetIssues} from './find_preset_issues.js';
import type {TeamDocument} from './team_document.js';

/** Maximum number of change identifiers that a document keeps. */
export const MAX_RECORDED_CHANGES = 256;

/** Says whether a change was applied to a document. */
export enum ChangeStatus {
  Applied = 'applied',
  /** The document already contains the change. */
  AlreadyApplied = 'repeated',
  /** The change is based on another revision of the document. */
  Conflict = 'conflict',
  Invalid = 'invalid',
}

/** Holds the result of a change to a document. */
export interface ChangeResult {
  status: ChangeStatus;
  /** Revision created by the change, or the current one if it created none. */
  revision: number;
  /** The document after the change, or unchanged. */
  document: TeamDocument;
  issues: ValueIssue[];
}

/** Holds what a change is checked against. */
export interface ChangeContext {
  team: string;
  topology: Topology;
}

/**
 * Applies a change to a team document.
 * @param document - The current document; it is not modified.
 * @param change - The change, already checked against its schema.
 * @param context - Team and topology.
 * @returns The new document, or why the change was not applied.
 */
export function applyChange(
  document: TeamDocument,
  change: DocumentChange,
  context: ChangeContext,
): ChangeResult {
  const {revision, changes} = document;
  const recorded = changes.find(({id}) => id === change.changeId);
  if (recorded) {
    const status = ChangeStatus.AlreadyApplied;
    return {status, revision: recorded.revision, document, issues: []};
  }
  if (change.basedOn !== revision) {
    return {status: ChangeStatus.Conflict, revision, document, issues: []};
  }
  const issues = findActionIssues(document, change.action, context);
  if (issues.length > 0) {
    return {status: ChangeStatus.Invalid, revision, document, issues};
  }
  const nextRevision = revision + 1;
  return {
    status: ChangeStatus.Applied,
    revision: nextRevision,
    document: {
      ...applyAction(document, change.action),
      revision: nextRevision,
      changes: [
        ...changes,
        {id: change.changeId, revision: nextRevision},
      ].slice(-MAX_RECORDED_CHANGES),
    },
    issues: [],
  };
}

function applyAction(
  document: TeamDocument,
  action: ChangeAction,
): TeamDocument {
  switch (action.kind) {
    case ChangeKind.PutPreset:
      return {
        ...document,
        presets: {...document.presets, [action.name]: action.preset},
      };
    case ChangeKind.Activate:
      return {...document, active: action.name};
    case ChangeKind.Drain:
      return {
        ...document,
        drains: [...removeDrain(document.drains, action.drain), action.drain],
      };
    case ChangeKind.Undrain:
      return {...document, drains: removeDrain(document.drains, action.drain)};
  }
}

function findActionIssues(
  document: TeamDocument,
  action: ChangeAction,
  {team, topology}: ChangeContext,
): ValueIssue[] {
  const report = (key: string, value: unknown, expected: string) => [
    {key, value: describeValue(value), expected},
  ];
  switch (action.kind) {
    case ChangeKind.PutPreset:
      return findPresetIssues(action.preset, team, topology);
    case ChangeKind.Activate:
      return Object.hasOwn(document.presets, action.name)
        ? []
        : report('name', action.name, 'the name of a preset of the team');
    case ChangeKind.Drain: {
      const {kind, target} = action.drain;
      return isKnownTarget(action.drain, team, topology)
        ? []
        : report('target', target, `the id or name of a known ${kind}`);
    }
    case ChangeKind.Undrain:
      return document.drains.some(drain => isSameDrain(drain, action.drain))
        ? []
        : report('target', action.drain, 'a drain that is in force');
  }
}

function isKnownTarget(
  drain: Drain,
  team: string,
  topology: Topology,
): boolean {
  switch (drain.kind) {
    case DrainKind.Instance:
      return topology.getInstance(drain.target) !== undefined;
    case DrainKind.Endpoint:
      return topology.getEndpoint(drain.target)?.team === team;
    case DrainKind.Zone:
      return topology.zones.some(({name}) => name === drain.target);
    case DrainKind.Region:
      return topology.regions.includes(drain.target);
  }
}

function removeDrain(drains: readonly Drain[], removed: Drain): Drain[] {
  return drains.filter(drain => !isSameDrain(drain, removed));
}

function isSameDrain(a: Drain, b: Drain): boolean {
  return a.kind === b.kind && a.target === b.target;
}
