import {HOP_BY_HOP_HEADERS} from './hop_by_hop_headers.js';

/**
 * Copies headers, except hop-by-hop headers and those that are omitted by name.
 * @param rawHeaders - Alternating header names and values.
 * @param omitted - Lower-case names of further headers to leave out.
 * @returns Values by lower-case name; repeated headers have an array of values.
 */
export function copyHeaders(
  rawHeaders: readonly string[],
  omitted: ReadonlySet<string>,
): Record<string, string | string[]> {
  const connectionOptions = getConnectionOptions(rawHeaders);
  // Without a prototype, a header named `constructor` is like any other.
  const headers = Object.create(null) as Record<string, string | string[]>;
  for (let i = 0; i + 1 < rawHeaders.length; i += 2) {
    const name = (rawHeaders[i] ?? '').toLowerCase();
    const value = rawHeaders[i + 1] ?? '';
    if (
      HOP_BY_HOP_HEADERS.has(name) ||
      omitted.has(name) ||
      connectionOptions?.has(name)
    ) {
      continue;
    }
    const previous = headers[name];
    if (previous === undefined) headers[name] = value;
    else if (Array.isArray(previous)) previous.push(value);
    else headers[name] = [previous, value];
  }
  return headers;
}

function getConnectionOptions(
  rawHeaders: readonly string[],
): Set<string> | undefined {
  for (let i = 0; i + 1 < rawHeaders.length; i += 2) {
    if ((rawHeaders[i] ?? '').toLowerCase() !== 'connection') continue;
    const value = (rawHeaders[i + 1] ?? '').toLowerCase();
    if (value === 'keep-alive' || value === 'close') continue;
    return new Set(value.split(',').map(name => name.trim()));
  }
  return undefined;
}
