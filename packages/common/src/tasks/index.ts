export {Mailbox, type MailboxOptions} from './mailbox.js';
export {linkAbort} from './link_abort.js';
