import type http from 'node:http';

/** The whole body of a request. */
export interface RequestBody {
  /** Its bytes, in one or more buffers. */
  readonly parts: readonly Buffer[];
  /** Its length in bytes. */
  readonly length: number;
}

/**
 * Ends a request with its body.
 * @param req - A request whose headers state the length of the body.
 * @param body - The body; undefined if there is none.
 */
export function endWithBody(
  req: http.ClientRequest,
  body: RequestBody | undefined,
): void {
  const {parts = []} = body ?? {};
  if (parts.length > 1) req.cork();
  for (const part of parts.slice(0, -1)) req.write(part);
  req.end(parts.at(-1));
  if (parts.length > 1) req.uncork();
}
