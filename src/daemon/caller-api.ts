/**
 * The caller API, compatible with OpenAI's: chat and text completions, streamed or not,
 * and the list of models. A tenant's name is used as its model name.
 */
import { randomUUID } from 'node:crypto';
import type http from 'node:http';
import { Result } from 'true-myth';
import { z } from 'zod';
import type { Clock } from '../common/clock.js';
import { serviceError, type ServiceError } from '../common/errors.js';
import { readJson, sendError, sendJson } from '../common/http-server.js';
import type { BodyReservation } from '../common/request-body.js';
import {
  describeIssues,
  PRIORITY_CLASSES,
  priorityNumber,
  type TenantSpec,
} from '../core/documents.js';
import type { RoutedRequest } from '../core/router-messages.js';
import { credentialHash, isAllowed } from '../core/admission/api-keys.js';
import { CallerExchange } from './caller-exchange.js';
import type { Directory } from './directory.js';
import type { CallerRequest, RequestService } from './request-service.js';

/** Maximum number of tokens in a response if the caller sets no limit. */
const DEFAULT_MAX_TOKENS = 512;
/** Characters of a prompt that count as one token in the reported usage. */
const CHARACTERS_PER_TOKEN = 4;
const MAX_IDEMPOTENCY_KEY_CHARACTERS = 200;

const contentSchema = z.union([
  z.string(),
  z.array(z.looseObject({ type: z.string(), text: z.string().optional() })),
  z.null(),
]);

const commonFields = {
  model: z.string().min(1),
  max_tokens: z.number().int().positive().nullish(),
  max_completion_tokens: z.number().int().positive().nullish(),
  stream: z.boolean().nullish(),
  stream_options: z.looseObject({ include_usage: z.boolean().nullish() }).nullish(),
};

const chatSchema = z.looseObject({
  ...commonFields,
  messages: z.array(z.looseObject({ role: z.string(), content: contentSchema.optional() })).min(1),
});

const completionSchema = z.looseObject({
  ...commonFields,
  prompt: z.union([z.string(), z.array(z.string()).min(1)]),
});

const headerSchema = z.object({
  'x-priority': z.enum(PRIORITY_CLASSES).optional(),
  'x-deadline-ms': z.coerce.number().int().positive().optional(),
  'x-repeatable': z.enum(['true', 'false']).optional(),
  'x-request-id': z
    .string()
    .regex(/^[\w.-]{1,100}$/)
    .optional(),
  'idempotency-key': z.string().min(1).max(MAX_IDEMPOTENCY_KEY_CHARACTERS).optional(),
});

interface ParsedBody {
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly stream: boolean;
  readonly includeUsage: boolean;
}

/** Dependencies and settings of {@link CallerApi}. */
export interface CallerApiOptions {
  readonly clock: Clock;
  readonly directory: Directory;
  readonly requests: RequestService;
  readonly bodyLimitBytes: number;
  /** Returns the error to refuse requests with; undefined if the daemon is ready. */
  readonly notReadyError: () => ServiceError | undefined;
}

/** Handles the requests of callers. */
export class CallerApi {
  constructor(private readonly options: CallerApiOptions) {}

  /** Handles a request to `/v1/...`. */
  async handle(
    path: string,
    request: http.IncomingMessage,
    response: http.ServerResponse,
    reservation: BodyReservation,
  ): Promise<void> {
    if (path === '/v1/models') return this.listModels(request, response);
    const chat = path === '/v1/chat/completions';
    if (!chat && path !== '/v1/completions') {
      return sendError(response, serviceError('not_found', `no such path: ${path}`));
    }
    if (request.method !== 'POST') {
      return sendError(response, serviceError('method_not_allowed', 'use POST'));
    }
    const accepted = await this.accept(chat, request, reservation);
    if (accepted.isErr) return sendError(response, accepted.error);
    this.submit(accepted.value, chat, response);
  }

  private listModels(request: http.IncomingMessage, response: http.ServerResponse): void {
    const hash = credentialHash(request.headers.authorization, 'Bearer');
    if (hash === undefined) {
      return sendError(response, serviceError('unauthorized', 'a bearer key is required'));
    }
    const names = this.options.directory.tenantsWithKey(hash);
    if (names.length === 0) {
      return sendError(
        response,
        serviceError('unauthorized', 'the key is not valid for any tenant'),
      );
    }
    const data = names.map((id) => ({ id, object: 'model', created: 0, owned_by: 'scaleslip' }));
    sendJson(response, 200, { object: 'list', data });
  }

  private async accept(
    chat: boolean,
    request: http.IncomingMessage,
    reservation: BodyReservation,
  ): Promise<Result<AcceptedCall, ServiceError>> {
    const body = await readJson(request, this.options.bodyLimitBytes, reservation);
    const unready = this.options.notReadyError();
    if (unready !== undefined) return Result.err(unready);
    if (body.isErr) return Result.err(body.error);
    const parsed = chat ? parseChat(body.value) : parseCompletion(body.value);
    if (parsed.isErr) return Result.err(parsed.error);
    const headers = headerSchema.safeParse(request.headers);
    if (!headers.success) {
      const message = `headers: ${describeIssues(headers.error)}`;
      return Result.err(serviceError('malformed_request', message));
    }
    const tenant = this.authorize(
      credentialHash(request.headers.authorization, 'Bearer'),
      parsed.value.model,
    );
    return tenant.map((spec) => ({ spec, body: parsed.value, headers: headers.data }));
  }

  private authorize(hash: string | undefined, model: string): Result<TenantSpec, ServiceError> {
    if (hash === undefined)
      return Result.err(serviceError('unauthorized', 'a bearer key is required'));
    const { directory } = this.options;
    const spec = directory.tenant(model);
    if (spec !== undefined && isAllowed(hash, spec.keyHashes)) return Result.ok(spec);
    if (directory.tenantsWithKey(hash).length === 0) {
      return Result.err(serviceError('unauthorized', 'the key is not valid for any tenant'));
    }
    if (spec === undefined)
      return Result.err(serviceError('unknown_tenant', `no model "${model}"`));
    return Result.err(serviceError('forbidden', `the key is not valid for model "${model}"`));
  }

  private submit(call: AcceptedCall, chat: boolean, response: http.ServerResponse): void {
    const request = this.toRoutedRequest(call);
    const { prompt, maxTokens } = call.body;
    const exchange = new CallerExchange(response, {
      id: request.id,
      model: call.body.model,
      chat,
      stream: call.body.stream,
      created: Math.floor(this.options.clock.now() / 1000),
      promptTokens: Math.ceil(prompt.length / CHARACTERS_PER_TOKEN),
      includeUsage: call.body.includeUsage,
    });
    response.on('close', () => {
      if (!exchange.isEnded) this.options.requests.callerDisconnected(request.id);
    });
    const caller: CallerRequest = { request, exchange, prompt, maxTokens };
    this.options.requests.submit(caller);
  }

  private toRoutedRequest(call: AcceptedCall): RoutedRequest {
    const { spec, headers } = call;
    const name = headers['x-request-id'];
    // The random part makes the id unique, because engines identify requests by it.
    const id = name === undefined ? randomUUID() : `${name}~${randomUUID()}`;
    return {
      id,
      tenant: spec.name,
      priority: priorityNumber(headers['x-priority'] ?? spec.priority),
      deadline: this.options.clock.now() + (headers['x-deadline-ms'] ?? spec.deadlineMs),
      repeatable: headers['x-repeatable'] === 'true',
      idempotencyKey: headers['idempotency-key'],
    };
  }
}

interface AcceptedCall {
  readonly spec: TenantSpec;
  readonly body: ParsedBody;
  readonly headers: z.infer<typeof headerSchema>;
}

function parseChat(value: unknown): Result<ParsedBody, ServiceError> {
  const parsed = chatSchema.safeParse(value);
  if (!parsed.success) return Result.err(bodyError(parsed.error));
  const prompt = parsed.data.messages
    .map((message) => `${message.role}: ${contentText(message.content)}`)
    .join('\n');
  return Result.ok({ ...commonOptionsOf(parsed.data), prompt });
}

function parseCompletion(value: unknown): Result<ParsedBody, ServiceError> {
  const parsed = completionSchema.safeParse(value);
  if (!parsed.success) return Result.err(bodyError(parsed.error));
  const { prompt } = parsed.data;
  const text = typeof prompt === 'string' ? prompt : prompt.join('\n');
  return Result.ok({ ...commonOptionsOf(parsed.data), prompt: text });
}

function bodyError(error: z.ZodError): ServiceError {
  return serviceError('malformed_request', `body: ${describeIssues(error)}`);
}

function contentText(content: z.infer<typeof contentSchema> | undefined): string {
  if (content === undefined || content === null) return '';
  if (typeof content === 'string') return content;
  return content.map((part) => part.text ?? '').join('');
}

interface CommonBody {
  readonly model: string;
  readonly max_tokens?: number | null | undefined;
  readonly max_completion_tokens?: number | null | undefined;
  readonly stream?: boolean | null | undefined;
  readonly stream_options?:
    { readonly include_usage?: boolean | null | undefined } | null | undefined;
}

function commonOptionsOf(body: CommonBody): Omit<ParsedBody, 'prompt'> {
  return {
    model: body.model,
    maxTokens: body.max_completion_tokens ?? body.max_tokens ?? DEFAULT_MAX_TOKENS,
    stream: body.stream ?? false,
    includeUsage: body.stream_options?.include_usage ?? false,
  };
}
