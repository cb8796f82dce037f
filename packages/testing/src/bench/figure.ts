/** Names how a figure is compared with the bound of its goal. */
export enum GoalKind {
  AtMost = 'at most',
  AtLeast = 'at least',
}

/** Holds a bound that a figure or its ratio to the baseline should meet. */
export interface Goal {
  kind: GoalKind;
  bound: number;
  /** Whether the bound applies to the ratio to the baseline; otherwise it applies to the value. */
  isRatio: boolean;
}

/** Holds one measured figure. */
export interface Figure {
  /** Dotted name that begins with the name of the benchmark. */
  name: string;
  value: number;
  unit: string;
  seed: number;
  /** Number of observations behind the value. */
  n: number;
  /** The same quantity of a baseline, measured in the same run. */
  baseline?: {name: string; value: number};
  goal?: Goal;
}

/** Receives figures as they are measured. */
export interface FigureSink {
  readonly seed: number;
  /** Records a figure with the seed of the run. */
  record(figure: Omit<Figure, 'seed'>): void;
}

/** Gets the ratio of a figure to its baseline, or undefined if it has none or the baseline is 0. */
export function getRatio({value, baseline}: Figure): number | undefined {
  return baseline && baseline.value !== 0 ? value / baseline.value : undefined;
}

/** Says whether a figure meets its goal; undefined if it has none. */
export function isGoalMet(figure: Figure): boolean | undefined {
  const {goal, value} = figure;
  if (!goal) return undefined;
  const measured = goal.isRatio ? getRatio(figure) : value;
  if (measured === undefined) return undefined;
  return goal.kind === GoalKind.AtMost
    ? measured <= goal.bound
    : measured >= goal.bound;
}
