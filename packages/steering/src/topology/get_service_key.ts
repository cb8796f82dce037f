import type {Service} from './service.js';

/**
 * Gets the key of a service in maps and messages.
 * @param service - The service.
 * @returns `team/name`.
 */
export function getServiceKey(service: Pick<Service, 'team' | 'name'>): string {
  return `${service.team}/${service.name}`;
}
