import type {Preset} from './preset.js';
import type {TeamDocument} from './team_document.js';

/** Holds the presets of a team's initial document. */
export interface InitialPresets {
  presets: Record<string, Preset>;
  /** Name of the preset in force. */
  active: string;
}

/**
 * Creates the document that is written if the store has none of the team.
 * @param initial - Presets from the settings.
 * @returns The document of revision 1.
 */
export function createInitialDocument(initial: InitialPresets): TeamDocument {
  return {
    revision: 1,
    active: initial.active,
    presets: initial.presets,
    drains: [],
    changes: [],
  };
}
