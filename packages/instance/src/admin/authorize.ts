import {createHash, timingSafeEqual} from 'node:crypto';

/** A team and the SHA-256 digests of its operators' tokens, in hexadecimal. */
export interface TeamTokens {
  name: string;
  tokenSha256: readonly string[];
}

/** Whether a token grants access to a team. */
export enum Access {
  Granted = 'granted',
  /** The token belongs to another team. */
  Forbidden = 'forbidden',
  /** There is no token, or it belongs to no team. */
  Unauthenticated = 'unauthenticated',
}

/**
 * Checks a bearer token.
 * @param header - Value of the `authorization` header.
 * @param team - Name of the requested team, which may not exist.
 * @param teams - All teams.
 * @returns Whether access is granted. The check takes the same time for every token.
 */
export function authorize(
  header: string | undefined,
  team: string,
  teams: readonly TeamTokens[],
): Access {
  const token = /^Bearer ([\x21-\x7e]+)$/i.exec(header ?? '')?.[1] ?? '';
  const digest = createHash('sha256').update(token).digest();
  let isKnown = false;
  let isGranted = false;
  // Compares every digest, so that the duration does not reveal which one matched.
  for (const {name, tokenSha256} of teams) {
    for (const hex of tokenSha256) {
      const isEqual = timingSafeEqual(digest, Buffer.from(hex, 'hex'));
      isKnown = isEqual || isKnown;
      isGranted = (isEqual && name === team) || isGranted;
    }
  }
  if (token === '' || !isKnown) return Access.Unauthenticated;
  return isGranted ? Access.Granted : Access.Forbidden;
}
