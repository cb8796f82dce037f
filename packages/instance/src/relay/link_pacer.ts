import type {Priority} from '@primrosestage/common';

/** Describes a transfer over the link between two regions. */
export interface LinkTransfer {
  fromRegion: string;
  toRegion: string;
  priority: Priority;
  bytes: number;
}

/**
 * Charges a transfer to the budget of a link.
 * @returns A promise that resolves when more bytes may be sent; undefined if they may be sent
 *   immediately.
 */
export type LinkPacer = (transfer: LinkTransfer) => Promise<void> | undefined;
