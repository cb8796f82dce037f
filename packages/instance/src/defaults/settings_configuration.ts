import type {
  ConfigurationView,
  Drain,
  Preset,
  SystemSettings,
} from '@primrosestage/control';

/** Gives the presets that the settings name as active; there are no drains. */
export class SettingsConfiguration implements ConfigurationView {
  constructor(private readonly system: SystemSettings) {}

  getPreset(team: string): Preset | undefined {
    const settings = this.system.teams.find(({name}) => name === team);
    return settings?.presets[settings.active];
  }

  getDrains(): readonly Drain[] {
    return [];
  }
}
