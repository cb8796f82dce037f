import {
  defaultTextMapGetter,
  defaultTextMapSetter,
  ROOT_CONTEXT,
  type Span,
  SpanKind,
  SpanStatusCode,
  trace,
  type Tracer,
} from '@opentelemetry/api';
import {W3CTraceContextPropagator} from '@opentelemetry/core';
import {HeaderName, type Step} from '@primrosestage/common';

const PROPAGATOR = new W3CTraceContextPropagator();

/** Describes one step of a request for its span. */
export interface HopSpanOptions {
  tracer: Tracer;
  step: Step;
  /** Id of the instance or endpoint that the step concerns. */
  peer: string;
  requestId: string;
  /** The received `traceparent`; if undefined, a new trace starts. */
  traceParent: string | undefined;
}

/** An open span. */
export interface HopSpan {
  /** The `traceparent` to propagate. */
  readonly traceParent: string | undefined;
  /**
   * Ends the span.
   * @param outcome - Outcome of the step.
   * @param message - Error message if the step failed.
   */
  end(outcome: string, message?: string): void;
}

/** Opens a span with the tracer of the process. */
export type StartSpan = (options: Omit<HopSpanOptions, 'tracer'>) => HopSpan;

/**
 * Opens the span of one step of a request.
 * @param options - Tracer, step, peer, request id and parent.
 */
export function startHopSpan(options: HopSpanOptions): HopSpan {
  const parent = PROPAGATOR.extract(
    ROOT_CONTEXT,
    {[HeaderName.TraceParent]: options.traceParent ?? ''},
    defaultTextMapGetter,
  );
  const span = options.tracer.startSpan(
    options.step,
    {
      kind: SpanKind.SERVER,
      attributes: {
        'primrose.request_id': options.requestId,
        'primrose.peer': options.peer,
      },
    },
    parent,
  );
  return {
    traceParent: formatTraceParent(span),
    end: (outcome, message) => {
      span.setAttribute('primrose.outcome', outcome);
      if (message !== undefined) {
        span.setStatus({code: SpanStatusCode.ERROR, message});
      }
      span.end();
    },
  };
}

function formatTraceParent(span: Span): string | undefined {
  const carrier: Record<string, string> = {};
  PROPAGATOR.inject(
    trace.setSpan(ROOT_CONTEXT, span),
    carrier,
    defaultTextMapSetter,
  );
  return carrier[HeaderName.TraceParent];
}
