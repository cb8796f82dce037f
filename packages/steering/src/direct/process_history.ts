import {type EndpointChange, EndpointState} from './endpoint_entry.js';
import {getEra} from './revision.js';

/** How an entry relates to the process of its endpoint that was known in an earlier era. */
export enum Standing {
  /** The entry counts. */
  Current = 'current',
  /** The entry's process had drained or been removed. */
  Left = 'left',
  /** A later process of the endpoint had replaced the entry's one and is in use. */
  Replaced = 'replaced',
}

interface KnownProcess {
  bornAt: number;
  /** Era of the last statement that counted. */
  era: number;
  hasLeft: boolean;
}

/**
 * Remembers the last process of each endpoint, for the load condition that the registry returns
 * from an older copy: the copy shows processes as ready that have left since.
 */
export class ProcessHistory {
  private readonly processes = new Map<string, KnownProcess>();

  /**
   * Judges a change of one endpoint.
   * @param change - A change that is later than the last known one of the endpoint.
   */
  judge({id, entry, revision, isListed}: EndpointChange): Standing {
    const known = this.processes.get(id);
    if (!known || !entry || getEra(revision) <= known.era) {
      return Standing.Current;
    }
    // A write that was observed in the new era is no copy, so that an earlier start time in it only
    // shows that the time of day was set back.
    const isOlder = isListed === true && entry.bornAt < known.bornAt;
    if (known.hasLeft) {
      const isSame = entry.bornAt === known.bornAt;
      return isOlder || isSame ? Standing.Left : Standing.Current;
    }
    return isOlder ? Standing.Replaced : Standing.Current;
  }

  /**
   * Records that a process of an endpoint is in use.
   * @param id - Id of the endpoint.
   * @param bornAt - Start time of the process.
   * @param revision - Revision of the change that says so.
   */
  recordUse(id: string, bornAt: number, revision: number): void {
    this.processes.set(id, {bornAt, era: getEra(revision), hasLeft: false});
  }

  /**
   * Records that the process of an endpoint drains or was removed. An entry that cannot be read
   * states neither.
   * @param change - The change that says so.
   */
  recordDeparture({id, entry, isRemoved, revision}: EndpointChange): void {
    const known = this.processes.get(id);
    const isDraining = entry?.state === EndpointState.Draining;
    if (!isDraining && !isRemoved) return;
    const bornAt = entry?.bornAt ?? known?.bornAt;
    if (bornAt === undefined) return;
    const isRepeated = known?.hasLeft === true && known.bornAt === bornAt;
    // The era of the first departure is kept: in later ones, the process stays unused.
    const era = isRepeated ? known.era : getEra(revision);
    this.processes.set(id, {bornAt, era, hasLeft: true});
  }
}
