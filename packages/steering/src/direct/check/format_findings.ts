import {
  type ConfigurationFinding,
  FindingCode,
  FindingSeverity,
} from './configuration_finding.js';

/**
 * Formats the findings of the configuration check as readable text.
 * @param findings - The findings.
 * @returns One line per finding; a last line says `valid` if there are only differences or none.
 */
export function formatFindings(
  findings: readonly ConfigurationFinding[],
): string {
  const lines = findings.map(formatFinding);
  if (!hasIssues(findings)) lines.push('valid');
  return lines.map(line => `${line}\n`).join('');
}

/**
 * Returns whether there are findings other than differences from the configuration in force.
 * @param findings - The findings.
 */
export function hasIssues(findings: readonly ConfigurationFinding[]): boolean {
  return findings.some(({severity}) => severity !== FindingSeverity.Difference);
}

function formatFinding(finding: ConfigurationFinding): string {
  const {severity, code, place, value, expected} = finding;
  if (severity !== FindingSeverity.Difference) {
    return `${severity} ${code}: ${place}: found ${value}, expected ${expected}`;
  }
  return code === FindingCode.Changed
    ? `${severity}: ${place}: ${value}, in force: ${expected}`
    : `${severity}: ${place}: ${code}`;
}
