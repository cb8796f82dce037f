import type {KeyRecord, KeyTable} from '@primrosestage/steering';
import type {HandoverMessage} from './handover_schema.js';

/** Maximum estimated size of the records in one message, in bytes; a larger record is sent alone. */
const MAX_MESSAGE_BYTES = 512 * 1024;

/**
 * Splits the records of a table into messages.
 * @param table - The table, of which no request may be running.
 * @param now - Monotonic time in milliseconds.
 * @returns At least one message; `isLast` marks the last one.
 */
export function* createHandoverMessages(
  table: KeyTable,
  now: number,
): Generator<HandoverMessage> {
  const {home, incarnation, startedAt, lastEpoch} = table.options;
  const commonFields = {
    home,
    incarnation,
    ageMs: now - startedAt,
    lastEpoch: Math.min(table.getEpoch(now), lastEpoch ?? Infinity),
  };
  let part = 0;
  let records: HandoverMessage['records'] = [];
  let bytes = 0;
  for (const [id, record] of table.list()) {
    const encoded = encodeRecord(id, record);
    const size = id.length + (encoded.answer?.body?.length ?? 0) + 256;
    if (records.length > 0 && bytes + size > MAX_MESSAGE_BYTES) {
      yield {...commonFields, part: part++, isLast: false, records};
      records = [];
      bytes = 0;
    }
    records.push(encoded);
    bytes += size;
  }
  yield {...commonFields, part, isLast: true, records};
}

function encodeRecord(
  id: string,
  {state, epoch, fingerprint, answer}: KeyRecord,
): HandoverMessage['records'][number] {
  return {
    id,
    state,
    epoch,
    fingerprint,
    answer: answer && {
      status: answer.status,
      headers: {...answer.headers},
      body: answer.body && Buffer.from(answer.body).toString('base64'),
    },
  };
}

/**
 * Decodes a record of a message.
 * @param record - The encoded record.
 */
export function decodeRecord({
  state,
  epoch,
  fingerprint,
  answer,
}: HandoverMessage['records'][number]): KeyRecord {
  return {
    state,
    epoch,
    fingerprint,
    answer: answer && {
      status: answer.status,
      headers: answer.headers,
      body:
        answer.body === undefined
          ? undefined
          : Buffer.from(answer.body, 'base64'),
    },
  };
}
