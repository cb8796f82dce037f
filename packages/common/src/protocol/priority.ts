/** Ranks requests when capacity is short; set per service in the settings. */
export enum Priority {
  Urgent = 'urgent',
  Normal = 'normal',
  Bulk = 'bulk',
}
