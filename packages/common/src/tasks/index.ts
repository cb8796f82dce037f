export {Mailbox, type MailboxOptions} from './mailbox.js';
