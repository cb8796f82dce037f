export {
  createRequestPath,
  type RequestPath,
  type RequestPathOptions,
} from './create_request_path.js';
