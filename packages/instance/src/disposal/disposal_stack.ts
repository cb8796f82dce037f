/** Disposes resources in reverse order of their creation; Node.js 20 has no AsyncDisposableStack. */
export class DisposalStack implements AsyncDisposable {
  private readonly resources: AsyncDisposable[] = [];

  /**
   * Registers a resource for disposal.
   * @param resource - The resource.
   * @returns The resource.
   */
  use<T extends AsyncDisposable>(resource: T): T {
    this.resources.push(resource);
    return resource;
  }

  /**
   * Registers a function to be called on disposal.
   * @param dispose - The function.
   */
  defer(dispose: () => void): void {
    this.resources.push({[Symbol.asyncDispose]: async () => dispose()});
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const resource of this.resources.splice(0).reverse()) {
      await resource[Symbol.asyncDispose]();
    }
  }
}
