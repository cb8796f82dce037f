import type {Priority} from '@primrosestage/common';

/** Describes a service of a team. */
export interface Service {
  team: string;
  name: string;
  priority: Priority;
}
