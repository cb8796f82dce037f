export {Cluster, type ClusterOptions} from './cluster.js';
export {fetchText, type TextAnswer} from './fetch_text.js';
