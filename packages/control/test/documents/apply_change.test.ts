import {
  applyChange,
  type ChangeAction,
  ChangeKind,
  ChangeStatus,
  diffPresets,
  DrainKind,
  MAX_RECORDED_CHANGES,
  parseTeamDocument,
  PRESET_SCHEMA,
} from '@primrosestage/control';
import {describe, expect, it} from 'vitest';
import {
  createDocument,
  createDrainChange,
  TEAM,
  TOPOLOGY,
} from '../support/fixtures.js';

const CONTEXT = {team: TEAM, topology: TOPOLOGY};

describe('applyChange', () => {
  it('returns the first result for a retried change (guards against a change applied twice)', () => {
    const first = applyChange(
      createDocument(),
      createDrainChange('c1', 1),
      CONTEXT,
    );
    expect(first).toMatchObject({status: ChangeStatus.Applied, revision: 2});
    const second = applyChange(
      first.document,
      createDrainChange('c2', 2),
      CONTEXT,
    );
    const retry = applyChange(
      second.document,
      createDrainChange('c1', 1),
      CONTEXT,
    );
    expect(retry).toMatchObject({
      status: ChangeStatus.AlreadyApplied,
      revision: 2,
    });
    expect(retry.document).toBe(second.document);
  });

  it('rejects a change based on another revision (guards against lost updates)', () => {
    const {document} = applyChange(
      createDocument(),
      createDrainChange('c1', 1),
      CONTEXT,
    );
    const result = applyChange(document, createDrainChange('c2', 1), CONTEXT);
    expect(result).toMatchObject({status: ChangeStatus.Conflict, revision: 2});
  });

  it('keeps a limited number of change identifiers (guards against growth beyond the value size limit)', () => {
    let document = createDocument();
    for (let i = 0; i < MAX_RECORDED_CHANGES + 10; i++) {
      const change = createDrainChange(`c${i}`, document.revision);
      document = applyChange(document, change, CONTEXT).document;
    }
    expect(document.changes).toHaveLength(MAX_RECORDED_CHANGES);
    expect(document.drains).toHaveLength(1);
    expect(document.changes.at(-1)?.revision).toBe(document.revision);
  });

  const invalid: Array<[string, ChangeAction]> = [
    [
      'an unknown preset that is named like a property of objects',
      {kind: ChangeKind.Activate, name: 'constructor'},
    ],
    [
      'an unknown endpoint',
      {kind: ChangeKind.Drain, drain: {kind: DrainKind.Endpoint, target: 'x'}},
    ],
    [
      'a drain that is not in force',
      {
        kind: ChangeKind.Undrain,
        drain: {kind: DrainKind.Zone, target: 'addis-a'},
      },
    ],
    [
      'a cap above the capacity of its link',
      {
        kind: ChangeKind.PutPreset,
        name: 'day',
        preset: PRESET_SCHEMA.parse({linkCaps: {'addis>hawassa': 4_001}}),
      },
    ],
  ];
  it.each(invalid)(
    'rejects %s (guards against invalid documents)',
    (_, action) => {
      const change = {changeId: 'c', basedOn: 1, action};
      const result = applyChange(createDocument(), change, CONTEXT);
      expect(result.status).toBe(ChangeStatus.Invalid);
      expect(result.issues).toHaveLength(1);
    },
  );
});

describe('diffPresets', () => {
  it('lists each differing key (guards against unnoticed edits)', () => {
    const from = PRESET_SCHEMA.parse({shiftCap: 0.1});
    const shares = {orders: {addis: {addis: 0.5, hawassa: 0.5}}};
    const to = PRESET_SCHEMA.parse({shiftCap: 0.2, shares});
    expect(diffPresets(from, to)).toEqual([
      {key: 'shares.orders.addis.addis', to: 0.5},
      {key: 'shares.orders.addis.hawassa', to: 0.5},
      {key: 'shiftCap', from: 0.1, to: 0.2},
    ]);
    expect(diffPresets(to, to)).toEqual([]);
  });
});

describe('parseTeamDocument', () => {
  it('rejects a document whose active preset is missing (guards against a team without a preset)', () => {
    expect(parseTeamDocument(createDocument())).toBeDefined();
    expect(
      parseTeamDocument({...createDocument(), active: 'none'}),
    ).toBeUndefined();
  });
});
