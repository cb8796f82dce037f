import type {ListedInstance} from '@primrosestage/control';

/** Keeps the platform's list of instances and its past, so that it can lag. */
export class InstanceList {
  private history: {atMs: number; instances: ListedInstance[]}[];

  constructor(instances: ListedInstance[]) {
    this.history = [{atMs: 0, instances}];
  }

  /** Replaces the list as of now. */
  set(instances: ListedInstance[]): void {
    this.history.push({atMs: Date.now(), instances});
  }

  /**
   * Gets the list as it was.
   * @param lagMs - Age in milliseconds.
   */
  get(lagMs: number): ListedInstance[] {
    const atMs = Date.now() - lagMs;
    return this.history.findLast(past => past.atMs <= atMs)?.instances ?? [];
  }
}
