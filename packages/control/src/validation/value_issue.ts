/** Describes one value that is not valid. */
export interface ValueIssue {
  /** Dotted path of the key. */
  key: string;
  /** The value found, as JSON. */
  value: string;
  expected: string;
}
