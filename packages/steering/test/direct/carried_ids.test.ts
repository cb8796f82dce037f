import {describe, expect, it} from 'vitest';
import {CarriedIds, MAX_CARRIED_IDS} from '@primrosestage/steering';

describe('CarriedIds', () => {
  it('counts how often a connection has carried an id', () => {
    const ids = new CarriedIds();
    const uses = ['a', 'b', 'a', 'c', 'a'].map(id => ids.add(id));
    expect(uses).toEqual([1, 1, 2, 1, 3]);
  });

  it('knows which ids a connection has carried', () => {
    const ids = new CarriedIds();
    ids.add('a');
    expect(['a', 'b', ''].map(id => ids.has(id))).toEqual([true, false, false]);
  });

  it('remembers each id until it is full, and stays bounded then', () => {
    const ids = new CarriedIds();
    for (let i = 0; i < MAX_CARRIED_IDS; i++) {
      expect(ids.isFull).toBe(false);
      expect(ids.add(`id ${i}`)).toBe(1);
    }
    expect(ids.isFull).toBe(true);
    ids.add('one too many');
    for (let i = 0; i < MAX_CARRIED_IDS; i++) {
      expect(ids.add(`id ${i}`)).toBe(2);
    }
  });
});
