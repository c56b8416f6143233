/** Client of the administration API, used by the command line and the tools. */
import { Result } from 'true-myth';
import { serviceError, type ErrorKind, type ServiceError } from '../common/errors.js';
import { HttpClient, parseJson, type HttpRequest } from '../common/http-client.js';
import type { OperatorDocument } from '../core/documents.js';
import type { VersionedDocument } from '../daemon/admin-api.js';
import type { StatusReport } from '../daemon/status.js';

/** Timeout of a call. */
const CALL_TIMEOUT_MS = 15_000;

/** Collections of the API. */
export type Collection = 'templates' | 'tenants';

/** The collection that a document belongs to. */
export function collectionOf(document: OperatorDocument): Collection {
  return document.kind === 'Template' ? 'templates' : 'tenants';
}

/**
 * Client of the administration API; any daemon can serve the calls.
 *
 * @example
 * const client = new AdminClient('127.0.0.1:7080', key);
 * const applied = await client.put('tenants', 'till', document);
 */
export class AdminClient {
  private readonly http = new HttpClient();

  constructor(
    private readonly server: string,
    private readonly key: string,
  ) {}

  /** Closes the connections. */
  close(): void {
    this.http.close();
  }

  /** All documents of a collection. */
  async list(collection: Collection): Promise<Result<VersionedDocument[], ServiceError>> {
    const answer = await this.call<{ items: VersionedDocument[] }>('GET', collection);
    return answer.map((body) => body.items);
  }

  /** One document. */
  get(collection: Collection, name: string): Promise<Result<VersionedDocument, ServiceError>> {
    return this.call('GET', `${collection}/${encodeURIComponent(name)}`);
  }

  /** Writes a document; with `version`, only if that is its current version. */
  put(
    collection: Collection,
    name: string,
    document: unknown,
    version?: number,
  ): Promise<Result<{ version: number }, ServiceError>> {
    const path = `${collection}/${encodeURIComponent(name)}`;
    return this.call('PUT', path, document, version);
  }

  /** Deletes a document; with `version`, only if that is its current version. */
  remove(
    collection: Collection,
    name: string,
    version?: number,
  ): Promise<Result<{ version: number }, ServiceError>> {
    return this.call('DELETE', `${collection}/${encodeURIComponent(name)}`, undefined, version);
  }

  /** Validates a document without applying it. */
  check(document: unknown): Promise<Result<{ valid: boolean }, ServiceError>> {
    return this.call('POST', 'check', document);
  }

  /** The state of the system as this daemon sees it. */
  status(): Promise<Result<StatusReport, ServiceError>> {
    return this.call('GET', 'status');
  }

  private async call<Body>(
    method: HttpRequest['method'],
    path: string,
    body?: unknown,
    version?: number,
  ): Promise<Result<Body, ServiceError>> {
    const headers: Record<string, string> = { authorization: `Bearer ${this.key}` };
    if (version !== undefined) headers['if-match'] = String(version);
    const answer = await this.http.send({
      method,
      address: this.server,
      path: `/admin/v1/${path}`,
      headers,
      body,
      timeoutMs: CALL_TIMEOUT_MS,
    });
    if (answer.isErr) {
      return Result.err(serviceError('not_ready', `${this.server}: ${answer.error.message}`));
    }
    const parsed = parseJson(answer.value.body);
    if (parsed.isErr) return Result.err(serviceError('internal', 'the response body is not JSON'));
    if (answer.value.status < 300) return Result.ok(parsed.value as Body);
    return Result.err(errorOf(parsed.value));
  }
}

interface ErrorResponseBody {
  readonly error?: {
    readonly code: ErrorKind;
    readonly message: string;
    readonly retry_after: number | null;
    readonly current_version?: number;
  };
}

function errorOf(body: unknown): ServiceError {
  const error = (body as ErrorResponseBody).error;
  if (error === undefined)
    return serviceError('internal', 'the error response has no `error` field');
  const version = error.current_version;
  return serviceError(error.code, error.message, {
    ...(error.retry_after === null ? {} : { retryAfterSeconds: error.retry_after }),
    ...(version === undefined ? {} : { currentVersion: version }),
  });
}
