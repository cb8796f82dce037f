/** Names an invariant that is checked at run time; the value is its metric label. */
export enum Invariant {
  ShiftUnderCap = 'shift_under_cap',
  EndpointWithinSlots = 'endpoint_within_slots',
  WholeAnswer = 'whole_answer',
  NotRunIsTrue = 'not_run_is_true',
  AtMostOnce = 'at_most_once',
  NoNewWorkAfterLeaving = 'no_new_work_after_leaving',
  PlannedStopCutsNothing = 'planned_stop_cuts_nothing',
  RevisionRises = 'revision_rises',
}
