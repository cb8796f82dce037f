/** Holds the parts of an idempotency key. */
export interface IdempotencyKey {
  /** Id of the instance that keeps the key's record. */
  readonly home: string;
  /** Start time of that instance in milliseconds since the Unix epoch. */
  readonly incarnation: number;
  readonly epoch: number;
  /** The caller's part. */
  readonly unique: string;
}

const KEY_PATTERN =
  /^([a-z0-9-]{1,64})\.(\d{1,15})\.(\d{1,9})\.([\x21-\x7e]{1,128})$/;

/**
 * Parses an idempotency key.
 * @param text - The header, `home.incarnation.epoch.unique`.
 * @returns The key, or undefined where it is malformed.
 */
export function parseIdempotencyKey(text: string): IdempotencyKey | undefined {
  const match = KEY_PATTERN.exec(text);
  if (!match) return undefined;
  const [, home = '', incarnation, epoch, unique = ''] = match;
  return {
    home,
    incarnation: Number(incarnation),
    epoch: Number(epoch),
    unique,
  };
}

/**
 * Formats the part of a key that a lookup answer gives.
 * @param home - Id of the instance.
 * @param incarnation - Its start time in milliseconds since the Unix epoch.
 * @param epoch - Its current epoch.
 */
export function formatKeyPrefix(
  home: string,
  incarnation: number,
  epoch: number,
): string {
  return `${home}.${incarnation}.${epoch}`;
}
