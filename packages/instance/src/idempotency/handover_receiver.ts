import {Step, StepError} from '@primrosestage/common';
import type {KeyTable, KeyTableOptions} from '@primrosestage/steering';
import {decodeRecord} from './handover.js';
import type {HandoverMessage} from './handover_schema.js';

/** A table of which not all messages have been received. */
interface IncomingTable {
  readonly table: KeyTable;
  /** Index of the message that is due. */
  nextPart: number;
}

/** The fields of a table's options that a handover determines. */
export type HandedOverOptions = Pick<
  KeyTableOptions,
  'home' | 'incarnation' | 'startedAt' | 'lastEpoch'
>;

/** Receives tables of key records in several messages. */
export class HandoverReceiver {
  private readonly incoming = new Map<string, IncomingTable>();

  /**
   * Creates the receiver.
   * @param createTable - Creates an empty table.
   */
  constructor(
    private readonly createTable: (options: HandedOverOptions) => KeyTable,
  ) {}

  /**
   * Receives one message.
   * @param message - The message.
   * @param now - Monotonic time in milliseconds.
   * @returns The table, if the message is its last one.
   * @throws StepError if a message before it is missing: the sender deletes its records after the
   *   last one has been confirmed.
   */
  receive(message: HandoverMessage, now: number): KeyTable | undefined {
    const {home, incarnation, lastEpoch, ageMs, part} = message;
    const id = `${home}.${incarnation}`;
    if (part === 0) {
      const startedAt = now - ageMs;
      const options = {home, incarnation, lastEpoch, startedAt};
      this.incoming.set(id, {table: this.createTable(options), nextPart: 0});
    }
    const incoming = this.incoming.get(id);
    if (incoming?.nextPart !== part) {
      const expected = incoming?.nextPart ?? 0;
      throw new StepError(
        {step: Step.Shutdown, peer: home},
        `part ${part} of the key records of ${id}, expected part ${expected}`,
      );
    }
    incoming.nextPart++;
    for (const record of message.records) {
      incoming.table.adopt(record.id, decodeRecord(record));
    }
    if (!message.isLast) return undefined;
    this.incoming.delete(id);
    return incoming.table;
  }
}
