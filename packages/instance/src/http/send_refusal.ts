import type {ServerResponse} from 'node:http';
import {HeaderName, Outcome, type Step} from '@primrosestage/common';

/** Describes an answer that no backend server gave. */
export interface RefusalOptions {
  status: number;
  outcome: Outcome;
  step: Step;
  peer: string;
  message: string;
  /** Seconds after which a repeat makes sense. */
  retryAfterSeconds?: number;
}

/**
 * Sends an answer that no backend server gave, with its outcome, step and peer.
 * @param res - The response; it is destroyed where its headers were already sent.
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
  const text = JSON.stringify({
    outcome: options.outcome,
    step: options.step,
    peer: options.peer,
    message: options.message,
  });
  res.writeHead(options.status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
    [HeaderName.Outcome]: options.outcome,
    [HeaderName.Step]: options.step,
    [HeaderName.Peer]: options.peer,
    ...(options.retryAfterSeconds === undefined
      ? {}
      : {'retry-after': String(options.retryAfterSeconds)}),
  });
  res.end(text);
}
