import type {ListedInstance} from '@primrosestage/control';

/** Keeps the history of the platform's list of instances, so that stale lists can be returned. */
export class InstanceList {
  private history: {atMs: number; instances: ListedInstance[]}[];

  constructor(instances: ListedInstance[]) {
    this.history = [{atMs: 0, instances}];
  }

  /** Replaces the current list. */
  set(instances: ListedInstance[]): void {
    this.history.push({atMs: Date.now(), instances});
  }

  /**
   * Gets the list as it was at a time in the past.
   * @param ageMs - Age in milliseconds.
   */
  get(ageMs: number): ListedInstance[] {
    const atMs = Date.now() - ageMs;
    return this.history.findLast(past => past.atMs <= atMs)?.instances ?? [];
  }
}
