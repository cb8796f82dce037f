export {findResponseHeadFault} from './head_fault.js';
export {copyEndToEndHeaders, getHeader} from './headers.js';
export {listen, type Listener, type ListenOptions} from './listen.js';
export {parseAddress, type HostPort} from './parse_address.js';
export {
  BodyError,
  createBufferedBody,
  MAX_BODY_BYTES,
  MAX_BUFFERED_BODY_BYTES,
  readBody,
  type RequestBody,
} from './request_body.js';
export {findMergedHeadFault} from './merged_head.js';
export {rejectInvalidRequest} from './reject_invalid_request.js';
export {sendJson} from './send_json.js';
export {sendRefusal, type RefusalOptions} from './send_refusal.js';
export {createAdminHandler} from './create_admin_handler.js';
export {createPublicHandler} from './create_public_handler.js';
