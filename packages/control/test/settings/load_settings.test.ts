import {mkdtempSync, readFileSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {loadSettings, SettingsError} from '@primrosestage/control';
import {describe, expect, it} from 'vitest';

const EXAMPLES = ['ruotalibera/lombardia-a-1', 'tesfaye/addis-a-1'];

/** Returns the issues of the Ruotalibera example after replacing a text in its system settings. */
function findIssues(from: string | RegExp, to: string): string[] {
  const dir = mkdtempSync(path.join(tmpdir(), 'primrose-settings-'));
  const source = readFileSync('examples/ruotalibera/system.toml', 'utf8');
  writeFileSync(path.join(dir, 'system.toml'), source.replace(from, to));
  const file = path.join(dir, 'instance.toml');
  writeFileSync(file, 'system = "system.toml"\nid = "lombardia-a-1"\n');
  try {
    loadSettings(file);
    return [];
  } catch (err) {
    if (!(err instanceof SettingsError)) throw err;
    return err.message.split('\n');
  }
}

describe('loadSettings', () => {
  it.each(EXAMPLES)('accepts the example %s', name => {
    const settings = loadSettings(`examples/${name}.toml`);
    expect(settings.system.instances).toHaveLength(7);
  });

  it.each([
    ['an unknown key', 'active = "day"', 'actve = "day"', 'actve'],
    ['a wrong type', 'slots = 4', 'slots = "four"', 'teams.0.services.0.slots'],
    [
      'a link to an unknown region',
      'regions = ["lombardia", "piemonte"], ',
      'regions = ["lombardia", "rome"], ',
      'links.0.regions.1',
    ],
    [
      'a zone without an instance',
      'zone = "veneto-b"\npublic',
      'zone = "veneto-a"\npublic',
      'zone veneto-b',
    ],
    [
      'a cap above the capacity of its link',
      '[teams.presets.day]',
      '[teams.presets.day]\nlinkCaps = {"lombardia>piemonte" = 5000}',
      '4000 Mbit/s',
    ],
    [
      'a duration with a unit',
      '[teams.presets.day]\nshiftCap = 0.1\nshiftIntervalMs = 10000',
      '[teams.presets.day]\nshiftIntervalMs = "10s"',
      'shiftIntervalMs: found "10s", expected a whole number of milliseconds',
    ],
    [
      'a fractional duration',
      '[store]',
      '[store]\ntimeoutMs = 0.5',
      'store.timeoutMs: found 0.5, expected a whole number of milliseconds',
    ],
    [
      'a duplicate endpoint id',
      /name = "dispatch"([^]*?)zone = "lombardia-b"/,
      'name = "dispatch"$1zone = "lombardia-a"',
      'an endpoint id that occurs once',
    ],
    [
      'a preset for an unknown service',
      '[teams.presets.day]',
      '[teams.presets.day.shares.archive.veneto]\nveneto = 1\n[teams.presets.day]',
      'presets.day.shares.archive: found "archive", expected a service',
    ],
    ['a syntax error', 'regions = [', 'regions = = [', ':3'],
  ])('reports %s with its location', (_, from, to, expected) => {
    expect(findIssues(from, to).join('\n')).toContain(expected);
  });
});
