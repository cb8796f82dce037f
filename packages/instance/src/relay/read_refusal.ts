import {HeaderName, Outcome, Step} from '@primrosestage/common';
import {
  type ExchangeResult,
  isProvenNotRun,
  type Refusal,
} from '../exchange/index.js';
import {getHeader} from '../http/index.js';
import {InstanceRole} from './instance_role.js';

const MAX_REFUSAL_BYTES = 8 * 1024;
/** Status of an instance that does not have the records of a key: Misdirected Request. */
export const NO_RECORDS_STATUS = 421;
const STEPS = new Set<string>(Object.values(Step));

/**
 * Reads the refusal that another instance sent.
 * @param peer - Id of the instance.
 * @param role - Role in which it handled the request.
 * @param result - Its response, which is not marked as answered.
 * @returns The refusal; its outcome is `unknown` unless the response states `not-run`.
 */
export async function readRefusal(
  peer: string,
  role: InstanceRole,
  result: ExchangeResult & {err?: undefined},
): Promise<Refusal> {
  const {headers, statusCode = 502} = result.res;
  const outcome = getHeader(headers, HeaderName.Outcome);
  const step = getHeader(headers, HeaderName.Step) ?? '';
  const freeSlots = Number(getHeader(headers, HeaderName.FreeSlots));
  const message = await readMessage(result);
  const common = {
    step: STEPS.has(step) ? (step as Step) : Step.Relay,
    peer: getHeader(headers, HeaderName.Peer) ?? peer,
    message: message ?? `${peer} answered ${statusCode}`,
    freeSlots: Number.isInteger(freeSlots) ? freeSlots : undefined,
  };
  if (isProvenNotRun(result)) {
    return {...common, outcome: Outcome.NotRun, status: statusCode};
  }
  return {
    ...common,
    outcome: Outcome.Unknown,
    status:
      outcome === Outcome.Unknown ? getUnknownStatus(role, statusCode) : 502,
  };
}

/** Most statuses of refusals promise that a request has not run, which is not known here. */
function getUnknownStatus(role: InstanceRole, status: number): number {
  const isKept =
    status === 504 ||
    (role === InstanceRole.Home && status === NO_RECORDS_STATUS);
  return isKept ? status : 502;
}

async function readMessage(
  result: ExchangeResult & {err?: undefined},
): Promise<string | undefined> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  try {
    for await (const chunk of result.chunks) {
      bytes += chunk.length;
      if (bytes > MAX_REFUSAL_BYTES) return undefined;
      chunks.push(chunk);
    }
    const value: unknown = JSON.parse(Buffer.concat(chunks).toString('utf8'));
    const {message} = value as {message?: unknown};
    return typeof message === 'string' ? message : undefined;
  } catch {
    return undefined;
  }
}
