export {Cluster, type ClusterOptions} from './cluster.js';
