/** Implements the platform's published protocol over HTTP. */
import { Result } from 'true-myth';
import { serviceError, type ServiceError } from '../common/errors.js';
import {
  HttpClient,
  parseJson,
  type HttpResponse,
  type HttpClientOptions,
  type TransportFailure,
} from '../common/http-client.js';
import { startReplyTimeout, type ReplyTimeout } from '../common/reply-timeout.js';
import type {
  ConditionalWrite,
  MachineList,
  ObjectKind,
  ObjectList,
  PlatformClient,
  StoredObject,
  Watch,
  WatchHandler,
} from './platform-client.js';
import {
  parseMachineList,
  parseObject,
  parseObjectList,
  parseVersion,
  parseWatchEvent,
} from './platform-messages.js';

/** Timeout of a call to the platform. */
const CALL_TIMEOUT_MS = 3000;
/** Milliseconds without any line after which a watch counts as broken. */
const WATCH_IDLE_TIMEOUT_MS = 2500;

const MALFORMED_WRITE_REPLY = serviceError(
  'platform_outcome_unknown',
  'the platform sent a malformed reply to a write',
);

/** Parses the body of a reply; undefined if it has another shape. */
type BodyParser<Body> = (value: unknown) => Body | undefined;

/** HTTP client for the platform at one address. */
export class HttpPlatformClient implements PlatformClient {
  private readonly http: HttpClient;

  constructor(
    private readonly address: string,
    options: HttpClientOptions = {},
  ) {
    this.http = new HttpClient(options);
  }

  close(): void {
    this.http.close();
  }

  async get(kind: ObjectKind, name: string): Promise<Result<StoredObject, ServiceError>> {
    return this.read(`/objects/${kind}/${encodeURIComponent(name)}`, parseObject);
  }

  async list(): Promise<Result<ObjectList, ServiceError>> {
    return this.read('/objects', parseObjectList);
  }

  async machines(): Promise<Result<MachineList, ServiceError>> {
    return this.read('/machines', parseMachineList);
  }

  async write(write: ConditionalWrite): Promise<Result<number, ServiceError>> {
    const condition: Record<string, string> =
      write.expectedVersion === 0
        ? { 'if-none-match': '*' }
        : { 'if-match': String(write.expectedVersion) };
    const deletes = write.value === undefined;
    const answer = await this.http.send({
      method: deletes ? 'DELETE' : 'PUT',
      address: this.address,
      path: `/objects/${write.kind}/${encodeURIComponent(write.name)}`,
      headers: condition,
      body: deletes ? undefined : write.value,
      timeoutMs: CALL_TIMEOUT_MS,
    });
    if (answer.isErr) return Result.err(writeFailure(answer.error));
    const version = parseAnswer(answer.value, parseVersion);
    // A write whose reply cannot be read may have taken effect.
    const isMalformed = version.isErr && answer.value.status === 200;
    return isMalformed ? Result.err(MALFORMED_WRITE_REPLY) : version;
  }

  watch(afterRevision: number, handler: WatchHandler): Watch {
    let idleTimeout: ReplyTimeout | undefined;
    let finished = false;
    const finish = (reason: 'broken' | 'too_old'): void => {
      if (finished) return;
      finished = true;
      idleTimeout?.cancel();
      stream.close();
      handler.onEnd(reason);
    };
    const resetIdleTimeout = (): void => {
      idleTimeout?.cancel();
      idleTimeout = startReplyTimeout(WATCH_IDLE_TIMEOUT_MS, () => finish('broken'));
    };
    const stream = this.http.stream(
      {
        method: 'GET',
        address: this.address,
        path: `/watch?after=${afterRevision}`,
        timeoutMs: CALL_TIMEOUT_MS,
      },
      {
        onStart: (status) => {
          if (status === 200) {
            resetIdleTimeout();
            return true;
          }
          setImmediate(() => finish(status === 410 ? 'too_old' : 'broken'));
          return false;
        },
        onLine: (line) => {
          if (finished) return;
          const event = parseWatchEvent(line);
          if (event === undefined) return finish('broken');
          resetIdleTimeout();
          handler.onEvent(event);
        },
        onEnd: () => finish('broken'),
      },
    );
    return {
      close: () => {
        finished = true;
        idleTimeout?.cancel();
        stream.close();
      },
    };
  }

  private async read<Body>(
    path: string,
    parse: BodyParser<Body>,
  ): Promise<Result<Body, ServiceError>> {
    const request = {
      method: 'GET',
      address: this.address,
      path,
      timeoutMs: CALL_TIMEOUT_MS,
    } as const;
    const answer = await this.http.send(request);
    if (answer.isErr) {
      return Result.err(serviceError('platform_unavailable', answer.error.message));
    }
    return parseAnswer(answer.value, parse);
  }
}

function writeFailure(failure: TransportFailure): ServiceError {
  const kind = failure.reason === 'not_sent' ? 'platform_unavailable' : 'platform_outcome_unknown';
  return serviceError(kind, `the platform's object API: ${failure.message}`);
}

function parseAnswer<Body>(
  answer: HttpResponse,
  parse: BodyParser<Body>,
): Result<Body, ServiceError> {
  if (answer.status === 404) return Result.err(serviceError('not_found', 'no such object'));
  const body = parseJson(answer.body);
  if (answer.status === 409 && body.isOk) {
    const current = parseVersion(body.value) ?? 0;
    const message = `the object is at version ${current}`;
    return Result.err(serviceError('version_conflict', message, { currentVersion: current }));
  }
  if (answer.status !== 200 || body.isErr) {
    const message = `the platform replied with status ${answer.status}`;
    return Result.err(serviceError('platform_unavailable', message));
  }
  const parsed = parse(body.value);
  if (parsed !== undefined) return Result.ok(parsed);
  return Result.err(serviceError('platform_unavailable', 'the platform sent a malformed reply'));
}
