/** The fields of an idempotency key. */
export interface IdempotencyKey {
  /** Id of the home instance, which keeps the record of the key. */
  readonly home: string;
  /** Start time of that instance in milliseconds since the Unix epoch. */
  readonly incarnation: number;
  /** Epoch of the home instance in which the key's prefix was issued. */
  readonly epoch: number;
  /** The suffix chosen by the caller. */
  readonly unique: string;
}

const KEY_PATTERN =
  /^([a-z0-9-]{1,64})\.(\d{1,15})\.(\d{1,9})\.([\x21-\x7e]{1,128})$/;

/**
 * Parses an idempotency key.
 * @param text - The header value, `home.incarnation.epoch.unique`.
 * @returns The key, or undefined if the text is malformed.
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
 * Formats the prefix of idempotency keys that lookup responses contain.
 * @param home - Id of the home instance.
 * @param incarnation - Its start time in milliseconds since the Unix epoch.
 * @param epoch - Its current epoch.
 * @returns The prefix, `home.incarnation.epoch`.
 */
export function formatKeyPrefix(
  home: string,
  incarnation: number,
  epoch: number,
): string {
  return `${home}.${incarnation}.${epoch}`;
}
