/** Names how serious a finding of the configuration check is. */
export enum FindingSeverity {
  /** Instances skip the entry, apply it wrongly or refuse its requests. */
  Error = 'error',
  /** The entry has no effect or contradicts another one. */
  Warning = 'warning',
  /** The entry differs from the configuration in force, which is no fault. */
  Difference = 'difference',
}

/** Names the checks; scripts may rely on the values. */
export enum FindingCode {
  InvalidValue = 'invalid-value',
  InvalidTable = 'invalid-table',
  InvalidNumber = 'invalid-number',
  NotWholeNumber = 'not-whole-number',
  VersionNotHigher = 'version-not-higher',
  DuplicateName = 'duplicate-name',
  UnknownService = 'unknown-service',
  ZeroWeights = 'zero-weights',
  InvalidHost = 'invalid-host',
  InvalidPrefix = 'invalid-prefix',
  NoKeys = 'no-keys',
  SharedKey = 'shared-key',
  NoHeaderValue = 'no-header-value',
  SameMatch = 'same-match',
  HostCase = 'host-case',
  PrefixWithoutSlash = 'prefix-without-slash',
  UnusedService = 'unused-service',
  NoCommonRegion = 'no-common-region',
  BurstWithoutRate = 'burst-without-rate',
  ObjectiveAboveTimeout = 'objective-above-timeout',
  AttemptsWithoutTimeout = 'attempts-without-timeout',
  AttemptsBelowOne = 'attempts-below-one',
  BurstBelowOne = 'burst-below-one',
  BodyAboveMemory = 'body-above-memory',
  HeaderAboveServer = 'header-above-server',
  ColdTimeWithoutRate = 'cold-time-without-rate',
  Added = 'added',
  Removed = 'removed',
  Changed = 'changed',
}

/** Describes one result of the configuration check; it never holds a key of an account. */
export interface ConfigurationFinding {
  severity: FindingSeverity;
  code: FindingCode;
  /** Dotted path of the entry and its field; entries are named, not numbered. */
  place: string;
  /** The value found, as text. */
  value: string;
  /** What was expected; for a difference, the value in force. */
  expected: string;
}
