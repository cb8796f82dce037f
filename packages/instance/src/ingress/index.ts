export {IngressTask, type IngressTaskOptions} from './ingress_task.js';
export {parseRequest, type ParseRequestOptions} from './parse_request.js';
export {RequestError} from './request_error.js';
export {RequestTracker} from './request_tracker.js';
