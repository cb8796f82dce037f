import {createHash} from 'node:crypto';

/**
 * Creates the body of a download, which is unique to the id of its request.
 * @param id - Id of the request.
 * @param sizeBytes - Length of the body.
 * @returns The repeated SHA-256 of the id.
 */
export function createBody(id: string, sizeBytes: number): Buffer {
  return Buffer.alloc(sizeBytes, createHash('sha256').update(id).digest('hex'));
}
