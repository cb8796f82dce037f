import {parseLoadReport} from './parse_load_report.js';
import {AttemptOutcome, type AttemptResult} from './attempt.js';
import type {EndpointSelector} from '../place/endpoint_selector.js';
import type {OpenAttempt} from './start_attempt.js';

/**
 * Updates the load and health statistics of an endpoint with the result of an attempt.
 * @param open - The attempt.
 * @param result - Its result.
 * @param selector - Holds the statistics of endpoints.
 * @param ended - Monotonic time of its end in milliseconds, and the key of its object.
 */
export function observeAttempt(
  open: Pick<OpenAttempt, 'endpoint' | 'startedAt' | 'depth'>,
  result: Pick<AttemptResult, 'outcome' | 'response' | 'load' | 'connectMs'>,
  selector: EndpointSelector,
  ended: {at: number; objectKey: string},
): void {
  const {endpoint, startedAt, depth} = open;
  const load = selector.getLoad(endpoint);
  load.end();
  if (result.connectMs !== undefined) {
    selector.observeConnect(endpoint, result.connectMs);
  }
  const report = parseLoadReport(result.load);
  if (report) load.observeReport(report, ended.at);
  switch (result.outcome) {
    case AttemptOutcome.Answered:
      if ((result.response?.status ?? 0) >= 500) {
        selector.observeRefusal(endpoint);
      } else {
        const {objectKey} = ended;
        const elapsedMs = ended.at - startedAt;
        const workFactor = report?.workFactor;
        const sent = {depth, objectKey, workFactor};
        selector.observeResponse(endpoint, elapsedMs, sent);
      }
      break;
    case AttemptOutcome.Refused:
      selector.observeRefusal(endpoint);
      break;
    case AttemptOutcome.NotSent:
      selector.observeFailure(endpoint, true);
      break;
    case AttemptOutcome.Broken:
    case AttemptOutcome.Foreign:
    case AttemptOutcome.TimedOut:
      selector.observeFailure(endpoint, false);
      break;
    case AttemptOutcome.Cancelled:
      break;
  }
}
