/**
 * Wraps a function so that only the first call runs it.
 * @param fn - The function.
 * @returns The wrapped function.
 */
export function once<T extends unknown[]>(
  fn: (...args: T) => void,
): (...args: T) => void {
  let isCalled = false;
  return (...args) => {
    if (isCalled) return;
    isCalled = true;
    fn(...args);
  };
}
