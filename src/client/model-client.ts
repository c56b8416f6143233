/** Test caller: sends a chat request like an OpenAI client and measures the response. */
import http from 'node:http';
import type { ErrorKind, Ran } from '../common/errors.js';
import { parseJson, splitAddress } from '../common/http-client.js';

/** One call. */
export interface ModelCall {
  /** A daemon's address for callers, "ip:port". */
  readonly server: string;
  readonly key: string;
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly stream: boolean;
  /** Further headers, for example `x-deadline-ms`. */
  readonly headers?: Readonly<Record<string, string>>;
  /** Milliseconds after which the caller gives up. */
  readonly timeoutMs: number;
  /** Called for each token. */
  readonly onToken?: () => void;
  /** Connection pool shared between calls. */
  readonly agent?: http.Agent;
}

/** Result of a call as the caller observed it. Times are Unix milliseconds. */
export interface ModelResponse {
  /** `whole`: the response is complete. `refused`: the service returned an error. `lost`: the response never finished. */
  readonly outcome: 'whole' | 'refused' | 'lost';
  readonly status: number;
  readonly text: string;
  readonly tokens: number;
  readonly errorKind: ErrorKind | undefined;
  readonly ran: Ran | undefined;
  readonly retryAfterSeconds: number | undefined;
  readonly requestId: string | undefined;
  readonly startedAt: number;
  readonly firstTokenAt: number | undefined;
  readonly endedAt: number;
  readonly reason: string;
}

interface Chunk {
  readonly choices?: readonly {
    readonly delta?: { readonly content?: string };
    readonly message?: { readonly content?: string };
    readonly finish_reason?: string | null;
  }[];
  readonly error?: { readonly code: ErrorKind; readonly ran: Ran; readonly message: string };
}

/** Accumulates the response of one call. */
class ResponseReader {
  private readonly startedAt = Date.now();
  private firstTokenAt: number | undefined;
  private text = '';
  private tokens = 0;
  private finished = false;
  private error: Chunk['error'];
  private pending = '';

  constructor(private readonly onToken: () => void) {}

  /** Processes a piece of the body. */
  read(piece: string, stream: boolean): void {
    if (!stream) {
      this.pending += piece;
      return;
    }
    const lines = (this.pending + piece).split('\n');
    this.pending = lines.pop() ?? '';
    for (const line of lines) if (line.startsWith('data: ')) this.readEvent(line.slice(6));
  }

  /** The result, once the connection has ended. */
  result(incoming: http.IncomingMessage | undefined, reason: string): ModelResponse {
    if (this.pending !== '') this.readBody(this.pending);
    const retryAfter = incoming?.headers['retry-after'];
    const requestId = incoming?.headers['x-request-id'];
    return {
      outcome: this.outcome(),
      status: incoming?.statusCode ?? 0,
      text: this.text,
      tokens: this.tokens,
      errorKind: this.error?.code,
      ran: this.error?.ran,
      retryAfterSeconds: retryAfter === undefined ? undefined : Number(retryAfter),
      requestId: typeof requestId === 'string' ? requestId : undefined,
      startedAt: this.startedAt,
      firstTokenAt: this.firstTokenAt,
      endedAt: Date.now(),
      reason: this.error?.message ?? reason,
    };
  }

  private outcome(): ModelResponse['outcome'] {
    if (this.error !== undefined) return 'refused';
    return this.finished ? 'whole' : 'lost';
  }

  private readEvent(data: string): void {
    if (data === '[DONE]') return;
    this.readBody(data);
  }

  private readBody(body: string): void {
    const chunk = parseJson(body).unwrapOr({}) as Chunk;
    if (chunk.error !== undefined) this.error = chunk.error;
    const choice = chunk.choices?.[0];
    const piece = choice?.delta?.content ?? choice?.message?.content;
    if (piece !== undefined) {
      this.firstTokenAt ??= Date.now();
      this.text += piece;
      this.tokens += 1;
      this.onToken();
    }
    if (typeof choice?.finish_reason === 'string') this.finished = true;
  }
}

/** Makes a call. Never throws. */
export function callModel(call: ModelCall): Promise<ModelResponse> {
  const reader = new ResponseReader(call.onToken ?? (() => {}));
  const [host, port] = splitAddress(call.server);
  const payload = JSON.stringify({
    model: call.model,
    messages: [{ role: 'user', content: call.prompt }],
    max_tokens: call.maxTokens,
    stream: call.stream,
  });
  return new Promise((resolve) => {
    let response: http.IncomingMessage | undefined;
    let finished = false;
    const finish = (reason: string): void => {
      if (finished) return;
      finished = true;
      clearTimeout(timer);
      resolve(reader.result(response, reason));
    };
    const request = http.request(
      {
        host,
        port,
        method: 'POST',
        path: '/v1/chat/completions',
        agent: call.agent,
        headers: {
          authorization: `Bearer ${call.key}`,
          'content-type': 'application/json',
          'content-length': Buffer.byteLength(payload),
          ...call.headers,
        },
      },
      (incoming) => {
        response = incoming;
        const isStream = incoming.headers['content-type'] === 'text/event-stream';
        incoming.setEncoding('utf8');
        incoming.on('data', (piece: string) => reader.read(piece, isStream));
        incoming.on('error', (fault) => finish(fault.message));
        incoming.on('end', () => finish('the response ended'));
      },
    );
    request.on('error', (fault) => finish(fault.message));
    const timer = setTimeout(() => {
      request.destroy();
      finish(`the response did not finish within ${call.timeoutMs} ms`);
    }, call.timeoutMs);
    request.end(payload);
  });
}

/** The prompt as a daemon sends it to an engine. */
export function promptAtEngine(prompt: string): string {
  return `user: ${prompt}`;
}
