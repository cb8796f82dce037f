import type http from 'node:http';
import {urlToHttpOptions} from 'node:url';
import {startHttpRequest, Step, StepError} from '@primrosestage/common';
import {createTRPCClient, httpLink, type TRPCClient} from '@trpc/client';
import type {AnyRouter} from '@trpc/server';

/** Configures RPC calls to one peer. */
export interface PeerClientOptions {
  /** `host:port` of the peer's internal listener. */
  address: string;
  agent: http.Agent;
  /** Timeout of a call in milliseconds. */
  timeoutMs: number;
}

/**
 * Creates a client for RPC calls to one peer.
 * @param options - Address, connection pool and timeout.
 * @returns The typed client; a call fails with the peer's address in its message.
 */
export function createPeerClient<R extends AnyRouter>(
  options: PeerClientOptions,
): TRPCClient<R> {
  const link = httpLink({
    url: `http://${options.address}/rpc`,
    fetch: (url, init) => fetchOverAgent(String(url), init ?? {}, options),
  });
  return createTRPCClient<R>({links: [link as never]});
}

interface FetchInit {
  method?: string;
  headers?: unknown;
  body?: unknown;
  signal?: AbortSignal | null;
}

/**
 * Tells a peer that cannot be reached from one that does not answer, a stale connection, and a
 * response that is still being received.
 */
function describeConnection({
  socket,
  reusedSocket,
}: http.ClientRequest): string {
  if (!socket) return 'no connection yet';
  if (socket.connecting) return 'a connection that is not open yet';
  const kind = reusedSocket ? 'a reused connection' : 'a new connection';
  const {bytesWritten, writableLength, bytesRead} = socket;
  return `${kind} (${bytesWritten} bytes written, ${writableLength} queued, ${bytesRead} read)`;
}

function fetchOverAgent(
  url: string,
  init: FetchInit,
  options: PeerClientOptions,
): Promise<Response> {
  return new Promise((resolve, reject) => {
    const fail = (cause: unknown) => {
      clearTimeout(deadline);
      reject(
        new StepError(
          {step: Step.Membership, peer: options.address, cause},
          `RPC call to ${options.address} failed`,
        ),
      );
    };
    // Uses a timer, because on Node.js 20 a signal made by AbortSignal.any can be garbage
    // collected before it fires; a call to an unresponsive peer would then never end.
    const deadline = setTimeout(
      () =>
        req.destroy(
          new StepError(
            {step: Step.Membership, peer: options.address},
            `no complete response within ${options.timeoutMs} ms on ${describeConnection(req)}`,
          ),
        ),
      options.timeoutMs,
    );
    const req = startHttpRequest({
      ...urlToHttpOptions(new URL(url)),
      method: init.method ?? 'GET',
      headers: init.headers as http.OutgoingHttpHeaders,
      agent: options.agent,
      signal: init.signal ?? undefined,
    });
    req.on('response', res => {
      const chunks: Buffer[] = [];
      res.on('data', (chunk: Buffer) => chunks.push(chunk));
      res.on('error', fail);
      res.on('end', () => {
        clearTimeout(deadline);
        resolve(
          new Response(Buffer.concat(chunks), {
            status: res.statusCode ?? 500,
            headers: {'content-type': 'application/json'},
          }),
        );
      });
    });
    req.on('error', fail);
    req.end(init.body as string | undefined);
  });
}
