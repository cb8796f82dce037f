import {appendFileSync} from 'node:fs';
import {ProxyTracerProvider, type Tracer} from '@opentelemetry/api';
import {OTLPTraceExporter} from '@opentelemetry/exporter-trace-otlp-http';
import {
  BatchSpanProcessor,
  NodeTracerProvider,
  SimpleSpanProcessor,
  type ReadableSpan,
  type SpanExporter,
} from '@opentelemetry/sdk-trace-node';

const TRACER_NAME = 'primrosestage';

/** Names the exporter of spans. */
export enum TraceExporter {
  None = 'none',
  JsonLines = 'json-lines',
  Otlp = 'otlp',
}

/** Configures tracing. */
export interface TracingOptions {
  exporter: TraceExporter;
  /** OTLP URL, or the file of JSON lines; standard output if empty. */
  target: string;
  /** Name of the process in spans. */
  instance: string;
}

/** Holds the tracer and flushes spans on disposal. */
export interface Tracing extends AsyncDisposable {
  readonly tracer: Tracer;
}

/**
 * Creates the tracer of a process.
 * @param options - Exporter, its target and the name of the process.
 * @returns The tracer.
 */
export function createTracing(options: TracingOptions): Tracing {
  if (options.exporter === TraceExporter.None) {
    // Recording spans that are not exported costs time on every hop; trace context still propagates.
    return {
      tracer: new ProxyTracerProvider().getTracer(TRACER_NAME),
      [Symbol.asyncDispose]: async () => {},
    };
  }
  const provider = new NodeTracerProvider({
    spanProcessors: createSpanProcessors(options),
  });
  return {
    tracer: provider.getTracer(TRACER_NAME),
    [Symbol.asyncDispose]: () => provider.shutdown(),
  };
}

function createSpanProcessors(options: TracingOptions) {
  switch (options.exporter) {
    case TraceExporter.Otlp:
      return [
        new BatchSpanProcessor(new OTLPTraceExporter({url: options.target})),
      ];
    case TraceExporter.JsonLines:
      return [new SimpleSpanProcessor(createJsonLinesExporter(options))];
    case TraceExporter.None:
      return [];
  }
}

function createJsonLinesExporter(options: TracingOptions): SpanExporter {
  return {
    export(spans, done) {
      const lines = spans.map(span => formatSpan(span, options.instance));
      if (options.target === '') process.stdout.write(lines.join(''));
      else appendFileSync(options.target, lines.join(''));
      done({code: 0});
    },
    shutdown: async () => {},
  };
}

function formatSpan(span: ReadableSpan, instance: string): string {
  const {traceId, spanId} = span.spanContext();
  const startMs = span.startTime[0] * 1e3 + span.startTime[1] / 1e6;
  const durationMs = span.duration[0] * 1e3 + span.duration[1] / 1e6;
  const record = {
    instance,
    name: span.name,
    traceId,
    spanId,
    parentSpanId: span.parentSpanContext?.spanId,
    startMs,
    durationMs,
    attributes: span.attributes,
  };
  return `${JSON.stringify(record)}\n`;
}
