import {mkdirSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import * as Plot from '@observablehq/plot';
import {parseHTML} from 'linkedom';
import {type Figure, getRatio} from '../figure.js';
import {COLUMNS, getCells} from './format_table.js';

const STYLE = `body{font-family:system-ui,sans-serif;margin:2rem;max-width:75rem}
table{border-collapse:collapse;font-size:.85rem}td,th{padding:.2rem .6rem;text-align:left;border-bottom:1px solid #ddd}
td:nth-child(2),td:nth-child(5),td:nth-child(6),td:nth-child(8){text-align:right}`;

/** Declares the members of DOM nodes that the page uses; the compiler has no DOM types. */
interface PageNode {
  textContent: string;
  outerHTML: string;
  appendChild(child: PageNode): void;
}

interface PageDocument {
  head: PageNode;
  body: PageNode;
  documentElement: PageNode;
  createElement(tag: string): PageNode;
}

/** Describes the run that figures come from. */
export interface RunInfo {
  seed: number;
  startedAt: string;
  command: string;
  node: string;
}

/**
 * Writes the figures as one HTML page without external resources.
 * @param directory - Directory to write `index.html` to.
 * @param figures - The figures.
 * @param run - The run.
 * @returns Path of the page.
 */
export function writeReport(
  directory: string,
  figures: readonly Figure[],
  run: RunInfo,
): string {
  const {document} = parseHTML(
    '<!doctype html><html lang="en"><head><meta charset="utf-8"><title>primrosestage benchmark</title></head><body></body></html>',
  ) as unknown as {document: PageDocument};
  const append = (parent: PageNode, tag: string, text = '') => {
    const element = document.createElement(tag);
    element.textContent = text;
    parent.appendChild(element);
    return element;
  };
  append(document.head, 'style', STYLE);
  append(document.body, 'h1', 'primrosestage benchmark');
  append(
    document.body,
    'p',
    `${run.command}; seed ${run.seed}; ${run.startedAt}; Node.js ${run.node}`,
  );
  for (const benchmark of new Set(figures.map(getBenchmark))) {
    const benchmarkFigures = figures.filter(
      figure => getBenchmark(figure) === benchmark,
    );
    append(document.body, 'h2', benchmark);
    const table = append(document.body, 'table');
    const head = append(table, 'tr');
    COLUMNS.forEach(column => append(head, 'th', column));
    for (const figure of benchmarkFigures) {
      const row = append(table, 'tr');
      getCells(figure).forEach(cell => append(row, 'td', cell));
    }
    for (const plot of createPlots(benchmarkFigures, document)) {
      document.body.appendChild(plot);
    }
  }
  mkdirSync(directory, {recursive: true});
  const file = path.join(directory, 'index.html');
  writeFileSync(file, `<!doctype html>${document.documentElement.outerHTML}`);
  return file;
}

function getBenchmark({name}: Figure): string {
  return name.split('.')[0] ?? name;
}

function createPlots(
  figures: readonly Figure[],
  document: PageDocument,
): PageNode[] {
  const plots: PageNode[] = [];
  const addBarPlot = (title: string, unit: string, data: object[]) => {
    const plot = Plot.plot({
      document: document as never,
      title,
      marginLeft: 320,
      width: 1000,
      x: {label: unit, grid: true},
      y: {label: null},
      marks: [
        Plot.barX(data, {x: 'value', y: 'name', fill: 'kind'}),
        Plot.ruleX([0]),
      ],
      color: {legend: false, scheme: 'tableau10'},
    });
    plots.push(plot as unknown as PageNode);
  };
  const byUnit = new Map<string, object[]>();
  for (const {name, value, unit, baseline} of figures) {
    const data = byUnit.get(unit) ?? [];
    byUnit.set(unit, data);
    data.push({name, value, kind: 'measured'});
    if (baseline) {
      const label = `${name} (${baseline.name})`;
      data.push({name: label, value: baseline.value, kind: 'baseline'});
    }
  }
  for (const [unit, data] of byUnit) {
    if (data.length > 1) addBarPlot(`Figures in ${unit}`, unit, data);
  }
  const ratios = figures
    .map(figure => ({
      name: figure.name,
      value: getRatio(figure),
      kind: 'ratio',
    }))
    .filter(({value}) => value !== undefined);
  if (ratios.length > 1) addBarPlot('Ratio to the baseline', 'ratio', ratios);
  return plots;
}
