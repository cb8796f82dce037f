import {type MemberInfo, MemberTable} from '../../src/direct/index.js';

/** Creates an announcement. */
export function createInfo(changes: Partial<MemberInfo> = {}): MemberInfo {
  return {
    id: 'b',
    zone: 'z',
    region: 'r',
    controlAddress: '127.0.0.1:1',
    gossipAddress: '127.0.0.1:1',
    callerAddress: '127.0.0.1:2',
    bornAt: 1,
    version: 1,
    isServing: true,
    isFollowing: false,
    openRequests: {pages: 2},
    heartbeat: 1,
    ...changes,
  };
}

/** Creates the table of instance `a`. */
export function createTable(): MemberTable {
  return new MemberTable(() => createInfo({id: 'a'}));
}

/** Returns the ids of the serving instances. */
export function getServingIds(table: MemberTable, now: number): string[] {
  return table.getServing(now).map(({id}) => id);
}
