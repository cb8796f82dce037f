export {HeaderName} from './header_name.js';
export {Outcome} from './outcome.js';
export {Priority} from './priority.js';
export {RequestClass} from './request_class.js';
