export {
  createRoutingRouter,
  type RoutingRouter,
} from './create_routing_router.js';
export {fetchRoutingReport} from './fetch_routing_report.js';
export type {LinkMeter, LinkStatus} from './link_meter.js';
export type {FreeSlotsReport, RoutingReport} from './routing_report.js';
export {registerRoutingMetrics} from './register_routing_metrics.js';
export type {
  HeadroomStatus,
  RoutingStatus,
  ShareStatus,
} from './routing_status.js';
export {RoutingTask, type RoutingTaskOptions} from './routing_task.js';
