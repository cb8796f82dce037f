/** Describes one fault of a value. */
export interface ValueIssue {
  /** Dotted path of the key. */
  key: string;
  /** The value found, as JSON. */
  value: string;
  expected: string;
}
