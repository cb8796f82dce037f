export {IngressTask, type IngressTaskOptions} from './ingress_task.js';
export {parseRequest, type ParseRequestOptions} from './parse_request.js';
