import {describe, expect, it} from 'vitest';
import {parseLoadReport} from '../../src/direct/send/parse_load_report.js';

describe('parseLoadReport', () => {
  it('reads the fourth figure as a factor on the duration of work', () => {
    const load = {running: 2, waiting: 1, slots: 3};
    expect(parseLoadReport('2,1,3,250')).toEqual({...load, workFactor: 2.5});
    expect(parseLoadReport('2, 1, 3, 62.5')?.workFactor).toBe(0.625);
  });

  it('ignores an absent or invalid fourth figure but keeps the others (guards against losing the load of services without it)', () => {
    const values = ['', ',', ',x', ',-100', ',0', ',1e3', ',NaN', ',Infinity'];
    for (const value of values) {
      const report = parseLoadReport(`2,1,3${value}`);
      expect(report, value).toEqual({running: 2, waiting: 1, slots: 3});
    }
    expect(parseLoadReport('2,1')).toBeUndefined();
    expect(parseLoadReport('2,x,3,100')).toBeUndefined();
  });
});
