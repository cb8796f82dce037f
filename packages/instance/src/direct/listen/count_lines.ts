const LINE_FEED = 10;

/**
 * Counts the ends of lines in received bytes.
 * @param bytes - The bytes.
 */
export function countLines(bytes: Buffer): number {
  let lines = 0;
  let at = bytes.indexOf(LINE_FEED);
  while (at >= 0) {
    lines++;
    at = bytes.indexOf(LINE_FEED, at + 1);
  }
  return lines;
}
