export {CarriedIds, MAX_CARRIED_IDS} from './carried_ids.js';
export {
  AccountStatus,
  AccountTable,
  getRequestTerms,
  type AccountLookup,
  type RequestTerms,
} from './account_table.js';
export type {ClientAccount} from './client_account.js';
export type {MachineResources} from './machine_resources.js';
export {chooseListedInstances} from './choose_listed_instances.js';
export {PriorityDemand} from './priority_demand.js';
export {ObjectDemand, type DemandScale} from './object_demand.js';
export {ServiceTime} from './service_time.js';
export {AverageLoad} from './average_load.js';
export {WorkFactor} from './work_factor.js';
export {planResources, type ResourcePlan} from './plan_resources.js';
export {
  CloseReason,
  ConnectionLedger,
  type ConnectionVictim,
} from './connection_ledger.js';
export {mayAdmitRequest, type RequestLoad} from './admit_request.js';
export {
  selectBusiest,
  selectUnread,
  type ConnectionLoad,
} from './select_connection.js';
export {RequestKind, isIdempotent} from './request_kind.js';
export type {
  CallerLimits,
  DirectService,
  Route,
  RouteConfiguration,
  RouteTarget,
} from './route.js';
export {
  applyConfigurationDelta,
  type ConfigurationDelta,
  createConfigurationDelta,
} from './configuration_delta.js';
export {RecentDeltas} from './recent_deltas.js';
export {RouteTable} from './route_table.js';
export {
  getEra,
  getEraPosition,
  MAX_ERA,
  REVISIONS_PER_ERA,
  toRevision,
} from './revision.js';
export {
  EndpointState,
  type EndpointChange,
  type EndpointEntry,
} from './endpoint_entry.js';
export {
  EndpointEffect,
  EndpointTable,
  type KnownEndpoint,
} from './endpoint_table.js';
export {
  type EndpointNotice,
  EndpointNotices,
  type EndpointProcess,
  NoticeChange,
} from './endpoint_notices.js';
export {SlidingCounter} from './sliding_counter.js';
export {DemandLevel} from './demand_level.js';
export {SharedRetryBudget, type RetryBounds} from './shared_retry_budget.js';
export {
  ColdRateLimiter,
  getColdRateLimit,
  type ColdRateBounds,
  type ColdRateSharing,
} from './cold_rate_limit.js';
export {
  EndpointLimits,
  parseRateLimit,
  type LimitChange,
  type LimitObservation,
  type SharedLimit,
} from './endpoint_limits.js';
export {RateBucket} from './rate_bucket.js';
export {chooseCoordinator} from './choose_coordinator.js';
export {getConnectionQuota} from './connection_quota.js';
export {WeightedSplitter} from './weighted_splitter.js';
export {getLingerMs} from './linger_time.js';
export {combineToFraction, hash32} from './hash_fraction.js';
export {EndpointLoad, type LoadReport} from './endpoint_load.js';
export {rankEndpoints, type RankedEndpoint} from './rank_endpoints.js';
export {
  chooseRegionPreference,
  type RegionSupply,
} from './region_preference.js';
export {
  chooseEndpoint,
  isExpectedCached,
  type Candidate,
  type ChoiceOptions,
  type EndpointChoice,
} from './choose_endpoint.js';
export {
  ControlView,
  type ControlChanges,
  type EvacuationChange,
  type ViewEffects,
} from './control_view.js';
export type {
  AnnouncementDigests,
  Heartbeats,
  MemberInfo,
} from './member_info.js';
export {MemberTable} from './member_table.js';
export type {MembershipReply} from './membership_discovery.js';
export {FollowerElection} from './follower_election.js';
export {MemberDissemination} from './member_dissemination.js';
export {pickRandom, splitBroadcast, type BroadcastBranch} from './overlay.js';
export {WarmObjects} from './warm_objects.js';
export {
  canFinishBeforeStop,
  createStopSchedule,
  type StoppingRequest,
  type StopSchedule,
} from './stop_schedule.js';
export {getRetryAfterMs, type RetryAfterOptions} from './retry_after.js';
export {PreferenceLimiter, type RegionSlots} from './preference_limiter.js';
export {
  ServiceRanking,
  type PlacedEndpoint,
  type ServiceRankingOptions,
} from './service_ranking.js';
export * from './check/index.js';
export {
  getQuotaBound,
  planQuota,
  type QuotaLimit,
  type QuotaPlan,
  type QuotaTolerance,
} from './plan_quota.js';
export type {QuotaReply, QuotaRequest} from './quota_message.js';
export {
  chooseQuotaGroups,
  getQuotaGroupIndex,
  type QuotaGroup,
} from './quota_groups.js';
export {QuotaLedger} from './quota_ledger.js';
export {QuotaCredit, type QuotaResult, QuotaSource} from './quota_credit.js';
export {HEARD_MS, UNDECIDED_RETRY_MS} from './quota_timing.js';
