export {LookupTask, type LookupTaskOptions} from './lookup_task.js';
export {rankInstances, type RankInstancesOptions} from './rank_instances.js';
