/**
 * One caller's HTTP exchange: renders the response in the format of OpenAI's API, as one
 * JSON object or as server-sent events. The response headers are sent with the first
 * token, so that a request refused before that gets its own status code.
 */
import type http from 'node:http';
import { errorBody, type ServiceError } from '../common/errors.js';
import { sendError, sendJson } from '../common/http-server.js';

/** Properties of the requested response. */
export interface ResponseOptions {
  readonly id: string;
  /** Name of the tenant; the value of `model` in the response. */
  readonly model: string;
  readonly chat: boolean;
  readonly stream: boolean;
  /** Creation time in Unix seconds. */
  readonly created: number;
  readonly promptTokens: number;
  readonly includeUsage: boolean;
}

/** Writes the response to one request. */
export class CallerExchange {
  private readonly texts: string[] = [];
  private started = false;
  private ended = false;

  constructor(
    private readonly response: http.ServerResponse,
    readonly responseOptions: ResponseOptions,
  ) {}

  /** Whether the response is complete or has failed; nothing more is written. */
  get isEnded(): boolean {
    return this.ended;
  }

  /** Number of tokens received. */
  get tokens(): number {
    return this.texts.length;
  }

  /**
   * Adds a token. Returns false for one that is ignored, such as a repeated token after a resume.
   */
  addToken(offset: number, text: string): boolean {
    if (this.ended || offset !== this.texts.length) return false;
    this.texts.push(text);
    if (this.responseOptions.stream) {
      this.startStream();
      this.writeEvent(this.chunk({ content: text }, null));
    }
    return true;
  }

  /** Completes the response successfully. */
  finish(finishReason: 'stop' | 'length'): void {
    if (this.ended) return;
    this.ended = true;
    if (!this.responseOptions.stream) {
      sendJson(this.response, 200, this.fullResponse(finishReason), this.headers());
      return;
    }
    this.startStream();
    this.writeEvent(this.chunk({}, finishReason));
    if (this.responseOptions.includeUsage)
      this.writeEvent({ ...this.frame([]), usage: this.usage() });
    this.response.end('data: [DONE]\n\n');
  }

  /**
   * Ends the response with an error; a stream that has started gets the error as its last event.
   */
  fail(error: ServiceError): void {
    if (this.ended) return;
    this.ended = true;
    if (this.started) {
      this.writeEvent(errorBody(error));
      this.response.end();
      return;
    }
    sendError(this.response, error, { 'x-request-id': this.responseOptions.id });
  }

  private headers(): Record<string, string> {
    return { 'x-request-id': this.responseOptions.id, 'x-ran': 'yes' };
  }

  private startStream(): void {
    if (this.started || this.response.headersSent) return;
    this.started = true;
    this.response.writeHead(200, {
      'content-type': 'text/event-stream',
      'cache-control': 'no-cache',
      ...this.headers(),
    });
  }

  private writeEvent(body: unknown): void {
    this.response.write(`data: ${JSON.stringify(body)}\n\n`);
  }

  private object(): string {
    if (!this.responseOptions.chat) return 'text_completion';
    return this.responseOptions.stream ? 'chat.completion.chunk' : 'chat.completion';
  }

  private frame(choices: readonly unknown[]): object {
    const { id, created, model } = this.responseOptions;
    const prefix = this.responseOptions.chat ? 'chatcmpl' : 'cmpl';
    return { id: `${prefix}-${id}`, object: this.object(), created, model, choices };
  }

  private chunk(delta: { content?: string }, finishReason: string | null): object {
    const head = { index: 0, finish_reason: finishReason };
    if (!this.responseOptions.chat) return this.frame([{ ...head, text: delta.content ?? '' }]);
    const first = this.texts.length === 1 && delta.content !== undefined;
    const role = first ? { role: 'assistant' } : {};
    return this.frame([{ ...head, delta: { ...role, ...delta } }]);
  }

  private fullResponse(finishReason: string): object {
    const text = this.texts.join('');
    const head = { index: 0, finish_reason: finishReason };
    const message = { role: 'assistant', content: text };
    const choice = this.responseOptions.chat ? { ...head, message } : { ...head, text };
    return { ...this.frame([choice]), usage: this.usage() };
  }

  private usage(): object {
    const { promptTokens } = this.responseOptions;
    return {
      prompt_tokens: promptTokens,
      completion_tokens: this.texts.length,
      total_tokens: promptTokens + this.texts.length,
    };
  }
}
