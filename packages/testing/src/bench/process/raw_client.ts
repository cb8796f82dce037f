import {once} from 'node:events';
import net from 'node:net';
import {performance} from 'node:perf_hooks';
import {Step, StepError} from '@primrosestage/common';
import {build, type Histogram} from 'hdr-histogram-js';

/** Configures a load run against a server. */
export interface RawLoadOptions {
  /** `host:port` of the server. */
  address: string;
  path: string;
  connections: number;
  durationMs: number;
  /** Time before the measurement begins, in milliseconds. */
  warmupMs: number;
}

/** Holds the result of a load run; latencies are in microseconds. */
export interface RawLoadResult {
  latencies: Histogram;
  requests: number;
  durationMs: number;
}

/**
 * Sends the same request over several connections, on each as soon as the previous response is
 * complete. It writes bytes to sockets, because a full HTTP client costs more than the servers
 * measured.
 * @param options - Server, connections and duration.
 * @returns Latencies and counts.
 * @throws StepError when a response is not 200 or a connection is closed.
 */
export async function runRawLoad(
  options: RawLoadOptions,
): Promise<RawLoadResult> {
  const [host = '', port] = options.address.split(':');
  const request = Buffer.from(
    `GET ${options.path} HTTP/1.1\r\nhost: ${options.address}\r\n\r\n`,
  );
  const latencies = build({highestTrackableValue: 60_000_000});
  const beginMs = performance.now() + options.warmupMs;
  const endMs = beginMs + options.durationMs;
  let requests = 0;

  const runConnection = async () => {
    const socket = net.connect({host, port: Number(port), noDelay: true});
    await once(socket, 'connect');
    await new Promise<void>((resolve, reject) => {
      let sentAtMs = 0;
      let remainingBytes = 0;
      const send = () => {
        sentAtMs = performance.now();
        socket.write(request);
      };
      const finish = () => {
        const nowMs = performance.now();
        if (nowMs >= beginMs && nowMs < endMs) {
          requests++;
          latencies.recordValue(Math.max(1, (nowMs - sentAtMs) * 1000));
        }
        if (nowMs < endMs) send();
        else resolve();
      };
      socket.on('data', chunk => {
        if (remainingBytes === 0) {
          const headLength = chunk.indexOf('\r\n\r\n');
          const text = chunk.toString('latin1', 0, headLength);
          const length = /content-length: (\d+)/i.exec(text)?.[1];
          if (!text.startsWith('HTTP/1.1 200') || length === undefined) {
            reject(
              new StepError(
                {step: Step.Backend, peer: options.address},
                `expected a 200 response with a content-length, found ${JSON.stringify(text.slice(0, 200))}`,
              ),
            );
            return;
          }
          remainingBytes = headLength + 4 + Number(length);
        }
        remainingBytes -= chunk.length;
        if (remainingBytes === 0) finish();
      });
      socket.on('error', reject);
      socket.on('close', () =>
        reject(
          new StepError(
            {step: Step.Backend, peer: options.address},
            'connection closed before the response was complete',
          ),
        ),
      );
      send();
    }).finally(() => socket.destroy());
  };
  await Promise.all(
    Array.from({length: options.connections}, () => runConnection()),
  );
  return {latencies, requests, durationMs: options.durationMs};
}
