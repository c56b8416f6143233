/** A caller: sends a chat request as any OpenAI client would, and measures the answer. */
import http from 'node:http';
import type { ErrorKind, Ran } from '../common/errors.js';
import { parseJson, splitAddress } from '../common/http-client.js';

/** One call. */
export interface ModelCall {
  /** A daemon's callers' address, "ip:port". */
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
  /** Called at each token. */
  readonly onToken?: () => void;
  /** Connections are shared through this. */
  readonly agent?: http.Agent;
}

/** How a call ended, in the caller's own words. Times are Unix milliseconds. */
export interface ModelAnswer {
  /** `whole`: the answer ended as it should. `refused`: an error of the closed list. `lost`: no end. */
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

/** Gathers what arrives on one call. */
class AnswerReader {
  private readonly startedAt = Date.now();
  private firstTokenAt: number | undefined;
  private text = '';
  private tokens = 0;
  private finished = false;
  private error: Chunk['error'];
  private rest = '';

  constructor(private readonly onToken: () => void) {}

  /** Takes in a piece of the body. */
  read(piece: string, stream: boolean): void {
    if (!stream) {
      this.rest += piece;
      return;
    }
    const lines = (this.rest + piece).split('\n');
    this.rest = lines.pop() ?? '';
    for (const line of lines) if (line.startsWith('data: ')) this.readEvent(line.slice(6));
  }

  /** The answer when the connection has ended. */
  result(incoming: http.IncomingMessage | undefined, reason: string): ModelAnswer {
    if (this.rest !== '') this.readBody(this.rest);
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

  private outcome(): ModelAnswer['outcome'] {
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
export function callModel(call: ModelCall): Promise<ModelAnswer> {
  const reader = new AnswerReader(call.onToken ?? (() => {}));
  const [host, port] = splitAddress(call.server);
  const payload = JSON.stringify({
    model: call.model,
    messages: [{ role: 'user', content: call.prompt }],
    max_tokens: call.maxTokens,
    stream: call.stream,
  });
  return new Promise((resolve) => {
    let answered: http.IncomingMessage | undefined;
    let finished = false;
    const finish = (reason: string): void => {
      if (finished) return;
      finished = true;
      clearTimeout(timer);
      resolve(reader.result(answered, reason));
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
        answered = incoming;
        const isStream = incoming.headers['content-type'] === 'text/event-stream';
        incoming.setEncoding('utf8');
        incoming.on('data', (piece: string) => reader.read(piece, isStream));
        incoming.on('error', (fault) => finish(fault.message));
        incoming.on('end', () => finish('the answer ended'));
      },
    );
    request.on('error', (fault) => finish(fault.message));
    const timer = setTimeout(() => {
      request.destroy();
      finish(`no end in ${call.timeoutMs} ms`);
    }, call.timeoutMs);
    request.end(payload);
  });
}

/** The prompt as a daemon hands it to an engine. */
export function promptAtEngine(prompt: string): string {
  return `user: ${prompt}`;
}
