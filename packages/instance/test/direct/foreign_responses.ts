import {renderHead} from './endpoint_stub.js';
import {NAMES} from './names.js';

/** Marker in each header value and body of a foreign response. */
export const FOREIGN = 'foreign';

/** A response to another request that an endpoint writes on a connection. */
export interface ForeignResponse {
  name: string;
  /** Its bytes as text. */
  text: string;
}

/** Responses to other requests, of each kind that an endpoint may have sent before. */
export const FOREIGN_RESPONSES: readonly ForeignResponse[] = [
  ...['503 Busy', '429 Too Many', '421 Misdirected', '400 Bad'].flatMap(
    status => [
      createForeign(`${status}, refused, with an id`, status, {
        [NAMES.requestId]: FOREIGN,
        [NAMES.notRun]: FOREIGN,
        'content-length': '0',
      }),
      createForeign(`${status}, refused, without an id`, status, {
        [NAMES.notRun]: FOREIGN,
        'content-length': '0',
      }),
    ],
  ),
  createForeign('404', '404 Not Found', createHeaders('2'), 'no'),
  createForeign('500', '500 Failed', createHeaders('2'), 'no'),
  createForeign('200 with a length', '200 OK', createHeaders('7'), FOREIGN),
  createForeign(
    '200 in chunks',
    '200 OK',
    {...createHeaders(), 'transfer-encoding': 'chunked'},
    `7\r\n${FOREIGN}\r\n0\r\n\r\n`,
  ),
  createForeign('200 without a length', '200 OK', createHeaders(), FOREIGN),
  createForeign(
    '200 without an id',
    '200 OK',
    {[NAMES.stamp]: FOREIGN, 'content-length': '7'},
    FOREIGN,
  ),
  createForeign('100', '100 Continue', {'x-hint': FOREIGN}),
  createForeign('103', '103 Early Hints', {link: FOREIGN}),
];

function createHeaders(length?: string): Record<string, string> {
  return {
    [NAMES.requestId]: FOREIGN,
    [NAMES.stamp]: FOREIGN,
    ...(length === undefined ? {} : {'content-length': length}),
  };
}

function createForeign(
  name: string,
  status: string,
  headers: Record<string, string>,
  body = '',
): ForeignResponse {
  const head = renderHead(status, {'x-extra': FOREIGN, ...headers});
  return {name, text: `${head}\r\n${body}`};
}
