import type {Route} from '@primrosestage/steering';
import type {ControlSource, DirectSettings} from '../../src/direct/index.js';
import {EndpointStub} from './endpoint_stub.js';
import {
  putConfiguration,
  putEndpoint,
  startInstance,
  type TestInstance,
  waitUntilServing,
} from './fleet.js';
import {MemoryRegistry} from './memory_registry.js';

/** Starts the endpoints and instances of one test and disposes of them afterwards. */
export class TestFleet {
  private readonly resources: AsyncDisposable[] = [];

  /**
   * Starts an endpoint.
   * @param id - Its id.
   */
  async startEndpoint(id: string): Promise<EndpointStub> {
    const stub = await new EndpointStub(id).start();
    this.resources.push(stub);
    return stub;
  }

  /**
   * Starts an instance.
   * @param registry - Registry that it follows unless a source is given.
   * @param number - Last part of its loopback address.
   * @param changes - Settings that differ from the defaults.
   * @param source - Source that it follows instead of the registry.
   */
  async start(
    registry: MemoryRegistry,
    number: number,
    changes: Partial<DirectSettings> = {},
    source?: ControlSource,
  ): Promise<TestInstance> {
    const test = await startInstance(registry, number, changes, source);
    this.resources.push(test.instance);
    return test;
  }

  /**
   * Starts an endpoint and an instance that uses it, and waits until the instance serves.
   * @param number - Last part of the instance's loopback address.
   * @param routes - The routes; all lead to the endpoint's service.
   * @param changes - Settings that differ from the defaults.
   */
  async startServing(
    number: number,
    routes: Route[],
    changes: Partial<DirectSettings> = {},
  ): Promise<{stub: EndpointStub; instance: TestInstance}> {
    const registry = new MemoryRegistry();
    const stub = await this.startEndpoint('e1');
    putConfiguration(registry, 1, routes);
    putEndpoint(registry, stub, {slots: 200});
    const instance = await this.start(registry, number, changes);
    await waitUntilServing(instance);
    return {stub, instance};
  }

  /** Disposes of all instances and endpoints in reverse order of their start. */
  async end(): Promise<void> {
    for (const resource of this.resources.splice(0).reverse()) {
      await resource[Symbol.asyncDispose]();
    }
  }
}
