export {ADMIN_PATH, AdminTask, type AdminTaskOptions} from './admin_task.js';
export {fetchInstanceStatus} from './fetch_instance_status.js';
export type {
  HeadroomReport,
  InstanceStatus,
  ShareReport,
} from './instance_status.js';
export type {TeamStatus} from './team_status.js';
