/**
 * Creates an abort controller that a parent signal aborts too. Used instead of `AbortSignal.any`,
 * whose signal Node.js 20 may garbage-collect before it fires.
 * @param parent - The parent signal.
 * @returns The controller.
 */
export function createLinkedAbortController(
  parent: AbortSignal,
): AbortController {
  const controller = new AbortController();
  if (parent.aborted) {
    controller.abort(parent.reason);
    return controller;
  }
  const onAbort = () => controller.abort(parent.reason);
  parent.addEventListener('abort', onAbort, {
    once: true,
    signal: controller.signal,
  });
  return controller;
}
