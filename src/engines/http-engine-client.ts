/** Implements the engines' published protocol over HTTP. */
import http from 'node:http';
import { Result } from 'true-myth';
import {
  HttpClient,
  parseJson,
  type HttpClientOptions,
  type HttpRequest,
  type TransportFailure,
} from '../common/http-client.js';
import { startReplyTimeout, type ReplyTimeout } from '../common/reply-timeout.js';
import {
  parseCancelReply,
  parseOrderReply,
  parseReport,
  parseReportLine,
  parseStreamLine,
  type StreamLine,
} from './engine-messages.js';
import type {
  CancelReply,
  EngineClient,
  EngineOrder,
  EngineReport,
  EngineRequest,
  OrderReply,
  OrderFence,
  ReportHandler,
  RequestHandler,
  RequestRefusal,
  RequestStream,
} from './engine-client.js';

/** Timeout of orders, status calls and cancellations, and for the response headers of a report stream. */
const ORDER_TIMEOUT_MS = 1000;
/** Timeout for the response headers of a request stream. */
const STREAM_START_TIMEOUT_MS = 3000;
/** Milliseconds without a line after which a request stream counts as broken. */
const STREAM_IDLE_TIMEOUT_MS = 4000;
/** Milliseconds without a line after which a report stream counts as broken. */
const REPORT_IDLE_TIMEOUT_MS = 4000;

/** Largest reply, and largest line of a stream: one report, or some tokens. */
const MAX_REPLY_BYTES = 1024 * 1024;

const MALFORMED: TransportFailure = {
  reason: 'lost',
  message: 'the engine sent a malformed message',
};

/** HTTP client for engines. */
export class HttpEngineClient implements EngineClient {
  private readonly requestHttp: HttpClient;
  private readonly controlHttp: HttpClient;
  /**
   * Opens a connection for each cancellation. The reply bears no id, and on a kept connection a second reply to an earlier call would
   * be taken for it: a request that runs would count as cancelled before it ran, and be sent again.
   */
  private readonly cancellationHttp: HttpClient;

  /** @param options - Applies to control traffic, such as orders and reports; only `faults` also applies to request streams. */
  constructor(options: HttpClientOptions = {}) {
    const bounded = { ...options, maxResponseBytes: MAX_REPLY_BYTES };
    this.controlHttp = new HttpClient(bounded);
    this.cancellationHttp = new HttpClient({ ...bounded, agent: new http.Agent() });
    this.requestHttp = new HttpClient({
      maxResponseBytes: MAX_REPLY_BYTES,
      ...(options.faults === undefined ? {} : { faults: options.faults }),
    });
  }

  close(): void {
    this.requestHttp.close();
    this.controlHttp.close();
    this.cancellationHttp.close();
  }

  async status(engine: string): Promise<Result<EngineReport, TransportFailure>> {
    const request = { method: 'GET', address: engine, path: '/status' } as const;
    return this.call({ ...request, timeoutMs: ORDER_TIMEOUT_MS }, parseReport);
  }

  async order(
    engine: string,
    fence: OrderFence,
    order: EngineOrder,
  ): Promise<Result<OrderReply, TransportFailure>> {
    const request = { method: 'POST', address: engine, path: '/orders' } as const;
    const body = { fence, order };
    return this.call({ ...request, body, timeoutMs: ORDER_TIMEOUT_MS }, parseOrderReply);
  }

  watchReports(engine: string, handler: ReportHandler): RequestStream {
    const request = {
      method: 'GET',
      address: engine,
      path: '/reports',
      timeoutMs: ORDER_TIMEOUT_MS,
    } as const;
    return this.streamWithIdleTimeout(this.controlHttp, request, REPORT_IDLE_TIMEOUT_MS, {
      onHead: (status) => status === 200,
      onLine: (line) => {
        const report = parseReportLine(line);
        if (report === undefined) return false;
        if (!('alive' in report)) handler.onReport(report);
        return true;
      },
      onBroken: () => handler.onBroken(),
    });
  }

  run(engine: string, request: EngineRequest, handler: RequestHandler): RequestStream {
    return this.openStream(
      {
        method: 'POST',
        address: engine,
        path: '/requests',
        body: request,
        timeoutMs: STREAM_START_TIMEOUT_MS,
      },
      handler,
    );
  }

  resume(engine: string, id: string, offset: number, handler: RequestHandler): RequestStream {
    const path = `/requests/${encodeURIComponent(id)}?offset=${offset}`;
    return this.openStream(
      { method: 'GET', address: engine, path, timeoutMs: STREAM_START_TIMEOUT_MS },
      handler,
    );
  }

  async cancel(engine: string, id: string): Promise<Result<CancelReply, TransportFailure>> {
    const path = `/requests/${encodeURIComponent(id)}`;
    const request = {
      method: 'DELETE',
      address: engine,
      path,
      timeoutMs: ORDER_TIMEOUT_MS,
    } as const;
    return this.call(request, parseCancelReply, this.cancellationHttp);
  }

  private openStream(request: HttpRequest, handler: RequestHandler): RequestStream {
    let finished = false;
    const stream = this.streamWithIdleTimeout(this.requestHttp, request, STREAM_IDLE_TIMEOUT_MS, {
      onHead: (status, header) => {
        if (status === 200) return true;
        finished = true;
        if (header !== undefined) handler.onRefused(header as RequestRefusal);
        else
          handler.onBroken({ reason: 'lost', message: `the engine replied with status ${status}` });
        return false;
      },
      onLine: (value) => {
        if (finished) return true;
        const line = parseStreamLine(value);
        if (line === undefined) return false;
        finished = deliver(line, handler);
        if (finished) stream.close();
        return true;
      },
      onBroken: (failure) => {
        if (finished) return;
        finished = true;
        handler.onBroken(
          failure ?? {
            reason: 'lost',
            message: 'the stream ended before the response was complete',
          },
        );
      },
    });
    return stream;
  }

  private streamWithIdleTimeout(
    client: HttpClient,
    request: HttpRequest,
    idleTimeoutMs: number,
    handler: {
      onHead(status: number, refusal: string | undefined): boolean;
      /** Returns false for a malformed line, which breaks the stream. */
      onLine(line: unknown): boolean;
      onBroken(failure?: TransportFailure): void;
    },
  ): RequestStream {
    let idleTimeout: ReplyTimeout | undefined;
    let closed = false;
    const fail = (failure?: TransportFailure): void => {
      if (closed) return;
      close();
      handler.onBroken(failure);
    };
    const resetIdleTimeout = (): void => {
      idleTimeout?.cancel();
      idleTimeout = startReplyTimeout(idleTimeoutMs, () =>
        fail({ reason: 'lost', message: 'no line received within the idle timeout' }),
      );
    };
    const stream = client.stream(request, {
      onStart: (status, headers) => {
        const refusal = headers['x-refusal'];
        const isAccepted = handler.onHead(
          status,
          typeof refusal === 'string' ? refusal : undefined,
        );
        if (isAccepted) resetIdleTimeout();
        return isAccepted;
      },
      onLine: (line) => {
        if (closed) return;
        resetIdleTimeout();
        if (!handler.onLine(line)) fail(MALFORMED);
      },
      onEnd: fail,
    });
    const close = (): void => {
      closed = true;
      idleTimeout?.cancel();
      stream.close();
    };
    return { close };
  }

  private async call<Body>(
    request: HttpRequest,
    parse: (value: unknown) => Body | undefined,
    client: HttpClient = this.controlHttp,
  ): Promise<Result<Body, TransportFailure>> {
    const answer = await client.send(request);
    if (answer.isErr) return Result.err(answer.error);
    const body = parseJson(answer.value.body);
    if (answer.value.status !== 200 || body.isErr) {
      const message = `the engine replied with status ${answer.value.status}`;
      return Result.err({ reason: 'lost', message });
    }
    const parsed = parse(body.value);
    return parsed === undefined ? Result.err(MALFORMED) : Result.ok(parsed);
  }
}

/** Passes one line to the handler; returns true for the last line. */
function deliver(line: StreamLine, handler: RequestHandler): boolean {
  switch (line.type) {
    case 'accepted':
      handler.onAccepted(line.load);
      return false;
    case 'token':
      handler.onToken(line.offset, line.text);
      return false;
    case 'done':
      handler.onDone(line.tokens, line.finish);
      return true;
    default:
      return false;
  }
}
