import type {Drain} from './drain.js';
import type {Preset} from './preset.js';

/** Provides the configuration that is in force at this instance. */
export interface ConfigurationView {
  /**
   * Gets the preset in force.
   * @param team - Name of the team.
   * @returns The preset, or undefined if no document of the team is known yet.
   */
  getPreset(team: string): Preset | undefined;

  /**
   * Gets the drains in force, of all teams.
   * @returns The drains.
   */
  getDrains(): readonly Drain[];
}
