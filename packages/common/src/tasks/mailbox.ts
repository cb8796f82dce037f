import PQueue from 'p-queue';
import {Step, StepError} from '../errors/index.js';

/** Configures a mailbox. */
export interface MailboxOptions {
  /** Name of the task, used in errors. */
  name: string;
  /** Step reported by errors of this mailbox. */
  step: Step;
  /** Maximum number of queued messages. */
  maxPending: number;
}

/** Runs the messages of one task one at a time, in order of arrival. */
export class Mailbox implements AsyncDisposable {
  private readonly queue = new PQueue({concurrency: 1});
  private isClosed = false;

  constructor(private readonly options: MailboxOptions) {}

  /** The number of queued messages. */
  get pending(): number {
    return this.queue.size;
  }

  /**
   * Queues a message.
   * @param handle - Handles the message; the next one starts after its promise settles.
   * @returns The handler's result.
   * @throws StepError when the mailbox is closed or full.
   */
  async post<T>(handle: () => T | Promise<T>): Promise<T> {
    const {name, step, maxPending} = this.options;
    if (this.isClosed) {
      throw new StepError({step, peer: name}, `mailbox of ${name} is closed`);
    }
    if (this.queue.size >= maxPending) {
      throw new StepError(
        {step, peer: name},
        `mailbox of ${name} is full at ${maxPending} messages`,
      );
    }
    return this.queue.add(async () => handle());
  }

  /** Refuses new messages and waits for the queued ones. */
  async [Symbol.asyncDispose](): Promise<void> {
    this.isClosed = true;
    await this.queue.onIdle();
  }
}
