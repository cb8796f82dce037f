import {type Figure, getRatio, isGoalMet} from '../figure.js';
import {formatNumber} from './format_number.js';

/** Names the columns of the tables of figures. */
export const COLUMNS = [
  'name',
  'value',
  'unit',
  'baseline',
  'baseline value',
  'ratio',
  'goal',
  'n',
];

/**
 * Gets the cells of a figure.
 * @param figure - The figure.
 * @returns One text per column.
 */
export function getCells(figure: Figure): string[] {
  const {name, value, unit, baseline, goal, n} = figure;
  const ratio = getRatio(figure);
  const verdict = isGoalMet(figure) ? 'met' : 'missed';
  const ratioSuffix = goal?.isRatio ? ' x' : '';
  return [
    name,
    formatNumber(value),
    unit,
    baseline?.name ?? '',
    baseline ? formatNumber(baseline.value) : '',
    ratio === undefined ? '' : formatNumber(ratio),
    goal
      ? `${goal.kind} ${formatNumber(goal.bound)}${ratioSuffix}: ${verdict}`
      : '',
    formatNumber(n),
  ];
}

/**
 * Formats figures as a text table.
 * @param figures - The figures.
 * @returns Lines of aligned columns.
 */
export function formatTable(figures: readonly Figure[]): string {
  const rows = [COLUMNS, ...figures.map(getCells)];
  const widths = COLUMNS.map((_, i) =>
    Math.max(...rows.map(row => row[i]?.length ?? 0)),
  );
  return rows
    .map(row =>
      row
        .map((cell, i) => cell.padEnd(widths[i] ?? 0))
        .join('  ')
        .trimEnd(),
    )
    .join('\n');
}
