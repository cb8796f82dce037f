import {setTimeout as sleep} from 'node:timers/promises';
import {Step, StepError} from '@primrosestage/common';

/** Longer than the joining phase of an instance that receives no messages from peers. */
const READY_TIMEOUT_MS = 40_000;

/**
 * Waits until all instances are ready for requests.
 * @param publicAddresses - Public address of each instance.
 * @throws StepError when one is not ready in time.
 */
export async function waitUntilReady(
  publicAddresses: readonly string[],
): Promise<void> {
  const endAt = performance.now() + READY_TIMEOUT_MS;
  for (const address of publicAddresses) {
    for (;;) {
      const res = await fetch(`http://${address}/readyz`).catch(
        () => undefined,
      );
      if (res?.status === 200) break;
      if (performance.now() > endAt) {
        throw new StepError(
          {step: Step.Settings, peer: address},
          `not ready after ${READY_TIMEOUT_MS} ms`,
        );
      }
      await sleep(50);
    }
  }
}
