export {Mailbox, type MailboxOptions} from './mailbox.js';
export {createLinkedAbortController} from './create_linked_abort_controller.js';
