import {Step, StepError} from '@primrosestage/common';
import {formatSettingsIssue, type SettingsIssue} from './settings_issue.js';

/** Reports all issues of a settings file at once. */
export class SettingsError extends StepError {
  constructor(
    file: string,
    readonly issues: readonly SettingsIssue[],
  ) {
    super(
      {step: Step.Settings, peer: file},
      issues.map(formatSettingsIssue).join('\n'),
    );
  }
}
