import type {InstanceInfo} from '../topology/index.js';

/** Answers who owns an endpoint and how many requests this instance may admit to it. */
export interface EndpointOwnership {
  /**
   * Gets the instance that this instance believes to own an endpoint.
   * @param endpointId - Id of the endpoint.
   * @returns The owner, or undefined where nobody may act.
   */
  getOwner(endpointId: string): InstanceInfo | undefined;

  /**
   * Gets this instance's limit for an endpoint at the time of the call.
   * @param endpointId - Id of the endpoint.
   * @returns Most requests in flight from this instance; 0 where it is not the owner.
   */
  getLimit(endpointId: string): number;
}
