/** Names an invariant that is checked at run time; the value is its metric label. */
export enum Invariant {
  ShiftWithinCap = 'shift_under_cap',
  EndpointWithinSlots = 'endpoint_within_slots',
  CompleteResponse = 'whole_answer',
  NotRunIsAccurate = 'not_run_is_true',
  AtMostOnce = 'at_most_once',
  NoNewRequestsAfterLeaving = 'no_new_work_after_leaving',
  ShutdownCompletesRequests = 'planned_stop_cuts_nothing',
  RevisionIncreases = 'revision_rises',
}
