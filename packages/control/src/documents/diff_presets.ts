import type {Preset} from './preset.js';

/** Describes one key in which two presets differ. */
export interface PresetDifference {
  /** Dotted path of the key. */
  key: string;
  /** Value in the first preset; absent if it has none. */
  from?: number;
  /** Value in the second preset; absent if it has none. */
  to?: number;
}

/**
 * Compares two presets key by key.
 * @param from - The first preset.
 * @param to - The second preset.
 * @returns The differences, sorted by key; empty if the presets are equal.
 */
export function diffPresets(from: Preset, to: Preset): PresetDifference[] {
  const fromValues = flatten(from);
  const toValues = flatten(to);
  return [...new Set([...fromValues.keys(), ...toValues.keys()])]
    .sort()
    .map(key => ({key, from: fromValues.get(key), to: toValues.get(key)}))
    .filter(difference => difference.from !== difference.to);
}

function flatten(value: object): Map<string, number> {
  const values = new Map<string, number>();
  const visit = (node: object, prefix: string) => {
    for (const [name, child] of Object.entries(node)) {
      const key = prefix === '' ? name : `${prefix}.${name}`;
      if (typeof child === 'number') values.set(key, child);
      else visit(child as object, key);
    }
  };
  visit(value, '');
  return values;
}
