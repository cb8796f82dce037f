import {
  buildTopology,
  ChangeKind,
  createInitialDocument,
  type DocumentChange,
  DrainKind,
  loadSettings,
  type TeamDocument,
} from '@primrosestage/control';

export const TEAM = 'tesfaye';
export const {system: SYSTEM} = loadSettings('examples/tesfaye/addis-a-1.toml');
export const TOPOLOGY = buildTopology(SYSTEM);

export function createDocument(): TeamDocument {
  const [team] = SYSTEM.teams;
  return createInitialDocument(team!);
}

export function createDrainChange(
  changeId: string,
  basedOn: number,
  target = 'addis-a-1',
): DocumentChange {
  const drain = {kind: DrainKind.Instance, target};
  return {changeId, basedOn, action: {kind: ChangeKind.Drain, drain}};
}
