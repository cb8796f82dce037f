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
   * @param ageMs - Age in milliseconds.
   */
  get(ageMs: number): ListedInstance[] {
    const atMs = Date.now() - ageMs;
    return this.history.findLast(past => past.atMs <= atMs)?.instances ?? [];
  }
}
