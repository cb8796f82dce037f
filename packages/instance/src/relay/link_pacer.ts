import type {Priority} from '@primrosestage/common';

/** Describes bytes that cross the link to another region. */
export interface LinkTransfer {
  fromRegion: string;
  toRegion: string;
  priority: Priority;
  bytes: number;
}

/**
 * Accounts for bytes on a link.
 * @returns A promise to wait for before more bytes, or undefined where the link has capacity left.
 */
export type LinkPacer = (transfer: LinkTransfer) => Promise<void> | undefined;
