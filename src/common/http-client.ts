/** A small HTTP client on Node's `http`: JSON requests and streams of JSON lines. */
import http from 'node:http';
import { Result } from 'true-myth';
import { ByteAccumulator } from './byte-accumulator.js';
import { GuardedAgent } from './guarded-agent.js';
import { leaseNow } from './lease-clock.js';
import type { LinkFaults } from './link-faults.js';
import { LineReader } from './line-reader.js';
import { startReplyTimeout, type ReplyTimeout } from './reply-timeout.js';
import { limitInformationalHeads, MAX_HEAD_BYTES, ResponseMeter } from './response-limits.js';

/** Largest response, and largest line of a stream, unless a client sets another bound: a list of all objects of a store. */
const DEFAULT_MAX_RESPONSE_BYTES = 16 * 1024 * 1024;

/** Why no complete response was received. */
export interface TransportFailure {
  /**
   * `not_sent`: no byte of the request was sent, because the connection failed or sending was no longer allowed.
   * `lost`: the request may have arrived.
   */
  readonly reason: 'not_sent' | 'lost';
  readonly message: string;
  /** Whether the peer sent nothing in time, in contrast to a connection that has ended. */
  readonly isTimeout?: true;
  /** Whether the response exceeds the client's bound, so that a repeated request is likely to fail as well. */
  readonly isTooLarge?: true;
}

/** A response with its complete body. */
export interface HttpResponse {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
}

/** One request. */
export interface HttpRequest {
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  /** "ip:port". */
  readonly address: string;
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  /** Sent as JSON when present. */
  readonly body?: unknown;
  /**
   * Milliseconds within which the connection must open, and again from the sending on until the reply. A connection may have opened
   * during a pause of this process, after which the request is sent late.
   */
  readonly timeoutMs: number;
  /**
   * Milliseconds after which the request is no longer sent. Prevents a request that rests on an outdated
   * decision from being sent after a slow connection setup or a suspension of the process.
   */
  readonly sendWithinMs?: number;
  /** Called once connected; the request is dropped if it returns false. */
  readonly maySend?: () => boolean;
}

/** Receives a stream of JSON lines. */
export interface LineHandler {
  /** Called once, before any line. Return false to stop reading. */
  onStart(status: number, headers: http.IncomingHttpHeaders): boolean;
  onLine(line: unknown): void;
  /** Called once; `failure` is undefined if the peer ended the stream. */
  onEnd(failure?: TransportFailure): void;
}

/** A running stream. */
export interface LineStream {
  /** Stops reading and closes the connection; `onEnd` is not called. */
  close(): void;
}

/** Options of {@link HttpClient}. */
export interface HttpClientOptions {
  /** Injected network faults for tests; none by default. */
  readonly faults?: LinkFaults;
  /** Called with the size of each request and response body, for traffic accounting. */
  readonly onBytes?: (bytes: number) => void;
  /** Largest response that is read, in bytes; a larger one counts as lost. 16 MB by default. */
  readonly maxResponseBytes?: number;
  /** Keeps the connections; a separate agent by default. */
  readonly agent?: http.Agent;
  /** Name of the pool of connections, for an agent that has several. */
  readonly pool?: string;
}

/** HTTP client with persistent connections. */
export class HttpClient {
  private readonly agent: http.Agent;
  private readonly maxResponseBytes: number;

  constructor(private readonly options: HttpClientOptions = {}) {
    this.maxResponseBytes = options.maxResponseBytes ?? DEFAULT_MAX_RESPONSE_BYTES;
    this.agent =
      options.agent ?? new GuardedAgent({ keepAlive: true, maxSockets: 256, timeout: 60_000 });
  }

  /** Closes all connections. */
  close(): void {
    this.agent.destroy();
  }

  /** Sends a request and reads the complete response. */
  async send(request: HttpRequest): Promise<Result<HttpResponse, TransportFailure>> {
    return new Promise((resolve) => {
      let finished = false;
      const finish = (result: Result<HttpResponse, TransportFailure>): void => {
        if (finished) return;
        finished = true;
        timeout.cancel();
        resolve(result);
      };
      const startTimeout = (): ReplyTimeout =>
        startReplyTimeout(request.timeoutMs, () => {
          finish(Result.err(timeoutFailure(request)));
          resetConnection(outgoing);
        });
      let timeout = startTimeout();
      const restartTimeout = (): void => {
        timeout.cancel();
        if (!finished) timeout = startTimeout();
      };
      const outgoing = this.start(request, restartTimeout, finish, (incoming) => {
        const bytes = new ByteAccumulator();
        const meter = new ResponseMeter(incoming.socket, this.maxResponseBytes);
        incoming.on('data', (chunk: Buffer) => {
          if (finished) return;
          this.options.onBytes?.(chunk.length);
          const excess = meter.recordPart(chunk.length);
          if (excess !== undefined) return void outgoing?.destroy(tooLarge(excess));
          bytes.append(chunk);
        });
        incoming.on('error', (fault) => finish(lostFailure(fault)));
        incoming.on('end', () => {
          if (this.isInboundBlocked(request.address)) return;
          const body = bytes.take().toString('utf8');
          finish(Result.ok({ status: incoming.statusCode ?? 0, headers: incoming.headers, body }));
        });
      });
    });
  }

  /** Opens a stream of JSON lines. The timeout applies until the response headers arrive. */
  stream(request: HttpRequest, handler: LineHandler): LineStream {
    let ended = false;
    const end = (failure?: TransportFailure): void => {
      if (ended) return;
      ended = true;
      timeout.cancel();
      handler.onEnd(failure);
      outgoing?.destroy();
    };
    const startTimeout = (): ReplyTimeout =>
      startReplyTimeout(request.timeoutMs, () => {
        end(timeoutFailure(request));
      });
    let timeout = startTimeout();
    const restartTimeout = (): void => {
      timeout.cancel();
      if (!ended) timeout = startTimeout();
    };
    const outgoing = this.start(
      request,
      restartTimeout,
      (result) => end(result.isErr ? result.error : undefined),
      (incoming) => {
        if (ended || this.isInboundBlocked(request.address)) return;
        timeout.cancel();
        if (!handler.onStart(incoming.statusCode ?? 0, incoming.headers)) {
          ended = true;
          outgoing?.destroy();
          return;
        }
        this.readLines(request.address, incoming, handler, end, () => ended);
      },
    );
    return {
      close: () => {
        ended = true;
        timeout.cancel();
        outgoing?.destroy();
      },
    };
  }

  private readLines(
    address: string,
    incoming: http.IncomingMessage,
    handler: LineHandler,
    end: (failure?: TransportFailure) => void,
    isEnded: () => boolean,
  ): void {
    const meter = new ResponseMeter(incoming.socket, this.maxResponseBytes);
    const reader = new LineReader();
    incoming.on('data', (chunk: Buffer) => {
      this.options.onBytes?.(chunk.length);
      if (isEnded() || this.isInboundBlocked(address)) return;
      const excess = meter.recordPart(chunk.length);
      if (excess !== undefined) return end({ reason: 'lost', message: tooLarge(excess).message });
      const lines = reader.push(chunk);
      if (lines.length > 0) meter.restart();
      for (const line of lines) {
        if (isEnded()) return;
        if (line === '') continue;
        const parsed = parseJson(line);
        if (parsed.isErr) {
          end({ reason: 'lost', message: 'the peer sent a line that is not JSON' });
          return;
        }
        handler.onLine(parsed.value);
      }
    });
    incoming.on('error', (fault) => end({ reason: 'lost', message: fault.message }));
    incoming.on('end', () => {
      if (!this.isInboundBlocked(address)) end();
    });
  }

  private start(
    request: HttpRequest,
    onSent: () => void,
    fail: (result: Result<HttpResponse, TransportFailure>) => void,
    onAnswer: (incoming: http.IncomingMessage) => void,
  ): http.ClientRequest | undefined {
    if (this.options.faults?.blocksOutbound(request.address)) return undefined;
    const [host, port] = splitAddress(request.address);
    const payload = request.body === undefined ? undefined : JSON.stringify(request.body);
    const headers: Record<string, string | number> = { ...request.headers };
    if (payload !== undefined) {
      headers['content-type'] = 'application/json';
      headers['content-length'] = Buffer.byteLength(payload);
    }
    let connected = false;
    const startedAt = leaseNow();
    const { agent, options } = this;
    const { method, path } = request;
    const outgoing = http.request(
      {
        host,
        port,
        method,
        path,
        headers,
        agent,
        maxHeaderSize: MAX_HEAD_BYTES,
        ...poolOf(options),
      },
      onAnswer,
    );
    limitInformationalHeads(outgoing, (excess) => outgoing.destroy(tooLarge(excess)));
    const sendOnceConnected = (): void => {
      if (leaseNow() - startedAt > (request.sendWithinMs ?? Infinity)) {
        outgoing.destroy(new Error('the request was not sent: its send deadline has passed'));
        return;
      }
      if (request.maySend?.() === false) {
        outgoing.destroy(new Error('the request was not sent: it is no longer permitted'));
        return;
      }
      connected = true;
      outgoing.end(payload);
      onSent();
    };
    outgoing.on('socket', (socket) => {
      if (socket.connecting) socket.once('connect', sendOnceConnected);
      else sendOnceConnected();
    });
    outgoing.on('error', (fault) => {
      fail(connected ? lostFailure(fault) : notSentFailure(fault));
    });
    this.options.onBytes?.(payload?.length ?? 0);
    return outgoing;
  }

  private isInboundBlocked(address: string): boolean {
    return this.options.faults?.blocksInbound(address) ?? false;
  }
}

/** Splits "ip:port". */
export function splitAddress(address: string): [host: string, port: number] {
  const colon = address.lastIndexOf(':');
  return [address.slice(0, colon), Number(address.slice(colon + 1))];
}

/** Parses JSON without throwing. */
export function parseJson(text: string): Result<unknown, string> {
  try {
    return Result.ok(JSON.parse(text) as unknown);
  } catch (fault) {
    return Result.err(fault instanceof Error ? fault.message : 'not JSON');
  }
}

/** Resets the connection. After a normal close, the kernel would still deliver data that a broken link has delayed. */
function resetConnection(outgoing: http.ClientRequest | undefined): void {
  const socket = outgoing?.socket;
  if (socket?.connecting === false) socket.resetAndDestroy();
  outgoing?.destroy();
}

class ResponseTooLarge extends Error {}

function tooLarge(excess: string): ResponseTooLarge {
  return new ResponseTooLarge(`the response has ${excess}`);
}

/** The option by which an agent with several pools tells them apart. */
function poolOf({ pool }: HttpClientOptions): { readonly pool?: string } {
  return pool === undefined ? {} : { pool };
}

function timeoutFailure({ timeoutMs }: HttpRequest): TransportFailure {
  return { reason: 'lost', message: `no answer in ${timeoutMs} ms`, isTimeout: true };
}

function notSentFailure({ message }: Error): Result<HttpResponse, TransportFailure> {
  return Result.err({ reason: 'not_sent', message });
}

function lostFailure(fault: Error): Result<HttpResponse, TransportFailure> {
  const { message } = fault;
  const isTooLarge = fault instanceof ResponseTooLarge;
  return Result.err({ reason: 'lost', message, ...(isTooLarge ? { isTooLarge } : {}) });
}
