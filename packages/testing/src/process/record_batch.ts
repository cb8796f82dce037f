import {sendReport} from './serve_commands.js';

/** Time between batches; one message per record would cost more than the requests themselves. */
const FLUSH_INTERVAL_MS = 100;

/** Collects records and sends them to the parent process in batches. */
export class RecordBatch<T> {
  private records: T[] = [];

  constructor() {
    setInterval(() => this.flush(), FLUSH_INTERVAL_MS).unref();
  }

  /** Adds a record to the next batch. */
  add(record: T): void {
    this.records.push(record);
  }

  /** Sends the collected records. */
  flush(): void {
    if (this.records.length === 0) return;
    sendReport({records: this.records});
    this.records = [];
  }
}
