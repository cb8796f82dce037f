import type {ServerResponse} from 'node:http';
import {HeaderName, Outcome, type Step} from '@primrosestage/common';

/** Delay after which callers may retry a request that was not run; sent as `retry-after`. */
const RETRY_AFTER_SECONDS = 1;

/** Describes an error answer that an instance generates, not a backend server. */
export interface RefusalOptions {
  status: number;
  outcome: Outcome.NotRun | Outcome.Unknown;
  step: Step;
  peer: string;
  message: string;
  requestId?: string;
  freeSlots?: number;
}

/**
 * Sends an error answer that an instance generates, not a backend server.
 * @param res - The response; it is destroyed if its headers were already sent.
 * @param options - Status, outcome, step, peer and message.
 */
export function sendRefusal(
  res: ServerResponse,
  options: RefusalOptions,
): void {
  if (res.headersSent) {
    res.destroy();
    return;
  }
  const {status, outcome, step, peer, message, requestId, freeSlots} = options;
  const text = JSON.stringify({outcome, step, peer, message, requestId});
  res.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
    [HeaderName.Outcome]: outcome,
    [HeaderName.Step]: step,
    [HeaderName.Peer]: peer,
    ...(requestId === undefined ? {} : {[HeaderName.RequestId]: requestId}),
    ...(freeSlots === undefined
      ? {}
      : {[HeaderName.FreeSlots]: String(freeSlots)}),
    ...(outcome === Outcome.NotRun && status === 503
      ? {'retry-after': String(RETRY_AFTER_SECONDS)}
      : {}),
  });
  res.end(text);
}
