import type {InstanceInfo} from '../topology/index.js';

/** Provides the owner of an endpoint and this instance's limit of requests to it. */
export interface EndpointOwnership {
  /**
   * Gets the likely owner of an endpoint, as known to this instance.
   * @param endpointId - Id of the endpoint.
   * @returns The owner, or undefined if no instance may admit requests.
   */
  getOwner(endpointId: string): InstanceInfo | undefined;

  /**
   * Gets this instance's limit for an endpoint at the time of the call.
   * @param endpointId - Id of the endpoint.
   * @returns Maximum number of requests in flight from this instance; 0 if it is not the owner.
   */
  getLimit(endpointId: string): number;
}
