/**
 * The administration API, identical on every daemon: reads and conditional writes of
 * template and tenant documents, and the status of the system. A write is accepted once
 * it is stored in the platform's object API.
 */
import { randomUUID } from 'node:crypto';
import type http from 'node:http';
import { Result } from 'true-myth';
import { serviceError, type ServiceError } from '../common/errors.js';
import { readJson, sendError, sendJson } from '../common/http-server.js';
import type { BodyReservation } from '../common/request-body.js';
import {
  parseDocument,
  renderTenant,
  type OperatorDocument,
  type TemplateDocument,
  type TenantDocument,
} from '../core/documents.js';
import { sameWriteId, withoutWriteId, withWriteId } from '../core/write-id.js';
import type { ObjectKind, PlatformClient } from '../platform/platform-client.js';
import { credentialHash, isAllowed } from '../core/admission/api-keys.js';
import type { Directory } from './directory.js';
import type { StatusReport } from './status.js';

/** Attempts to read an object back after the reply to a write was lost. */
const READ_BACK_ATTEMPTS = 3;

/** Dependencies and settings of {@link AdminApi}. */
export interface AdminApiOptions {
  readonly platform: PlatformClient;
  readonly directory: Directory;
  readonly adminKeyHashes: readonly string[];
  readonly bodyLimitBytes: number;
  readonly status: () => StatusReport;
}

/** A document and its version, as returned to operators. */
export interface VersionedDocument {
  readonly version: number;
  readonly document: unknown;
}

type DocumentKind = Extract<ObjectKind, 'template' | 'tenant'>;

const COLLECTIONS: ReadonlyMap<string, DocumentKind> = new Map([
  ['templates', 'template'],
  ['tenants', 'tenant'],
]);

/** A request with a document in its body. */
interface ReceivedDocument {
  readonly request: http.IncomingMessage;
  readonly reservation: BodyReservation;
}

/** Handles the requests of operators. */
export class AdminApi {
  constructor(private readonly options: AdminApiOptions) {}

  /** Handles a request to `/admin/v1/...`. */
  async handle(
    path: string,
    request: http.IncomingMessage,
    response: http.ServerResponse,
    reservation: BodyReservation,
  ): Promise<void> {
    const hash = credentialHash(request.headers.authorization, 'Bearer');
    if (hash === undefined || !isAllowed(hash, this.options.adminKeyHashes)) {
      return sendError(
        response,
        serviceError('unauthorized', 'a valid administration key is required'),
      );
    }
    const [collection = '', name = ''] = path.slice('/admin/v1/'.length).split('/');
    if (collection === 'status') return sendJson(response, 200, this.options.status());
    if (collection === 'check') return this.check(request, response, reservation);
    const kind = COLLECTIONS.get(collection);
    if (kind === undefined) {
      return sendError(response, serviceError('not_found', `no such path: ${path}`));
    }
    if (name === '') return this.list(kind, response);
    if (request.method === 'GET') return this.get(kind, name, response);
    if (request.method === 'PUT') return this.put(kind, name, { request, reservation }, response);
    if (request.method === 'DELETE') return this.remove(kind, name, request, response);
    sendError(response, serviceError('method_not_allowed', 'use GET, PUT or DELETE'));
  }

  private list(kind: DocumentKind, response: http.ServerResponse): void {
    const { directory } = this.options;
    const items = directory.names(kind).map((name) => this.versioned(kind, name));
    sendJson(response, 200, { items });
  }

  private versioned(kind: DocumentKind, name: string): VersionedDocument {
    const { directory } = this.options;
    return { version: directory.version(kind, name), document: directory.document(kind, name) };
  }

  private async get(
    kind: DocumentKind,
    name: string,
    response: http.ServerResponse,
  ): Promise<void> {
    const found = await this.options.platform.get(kind, name);
    if (found.isOk) {
      const { version, value } = found.value;
      const body = { version, document: withoutWriteId(value) };
      return sendJson(response, 200, body, { etag: String(version) });
    }
    if (found.error.kind === 'not_found') {
      return sendError(response, serviceError('not_found', `no ${kind} "${name}"`));
    }
    // During a platform outage, serves the last accepted configuration and marks it as stale.
    if (this.options.directory.version(kind, name) === 0) return sendError(response, found.error);
    sendJson(response, 200, { ...this.versioned(kind, name), stale: true });
  }

  private async check(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    reservation: BodyReservation,
  ): Promise<void> {
    const body = await readJson(request, this.options.bodyLimitBytes, reservation);
    const checked = body.andThen(parseDocument);
    if (checked.isErr) return sendError(response, checked.error);
    const related = await this.checkRelated(checked.value);
    if (related.isErr) return sendError(response, related.error);
    sendJson(response, 200, { valid: true });
  }

  private async put(
    kind: DocumentKind,
    name: string,
    { request, reservation }: ReceivedDocument,
    response: http.ServerResponse,
  ): Promise<void> {
    const body = await readJson(request, this.options.bodyLimitBytes, reservation);
    const parsed = body
      .andThen(parseDocument)
      .andThen((document) => matchPath(document, kind, name));
    if (parsed.isErr) return sendError(response, parsed.error);
    const related = await this.checkRelated(parsed.value);
    if (related.isErr) return sendError(response, related.error);
    const expected = await this.expectedVersion(kind, name, request);
    if (expected.isErr) return sendError(response, expected.error);
    const value = withWriteId(parsed.value, randomUUID());
    const written = await this.write(kind, name, expected.value, value);
    if (written.isErr) return sendError(response, written.error);
    const status = expected.value === 0 ? 201 : 200;
    sendJson(response, status, { version: written.value }, { etag: String(written.value) });
  }

  private async remove(
    kind: DocumentKind,
    name: string,
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    if (kind === 'template' && this.hasTenants(name)) {
      const message = `template "${name}" still has tenants`;
      return sendError(response, serviceError('invalid_document', message));
    }
    const expected = await this.expectedVersion(kind, name, request);
    if (expected.isErr) return sendError(response, expected.error);
    if (expected.value === 0) {
      return sendError(response, serviceError('not_found', `no ${kind} "${name}"`));
    }
    const written = await this.write(kind, name, expected.value, undefined);
    if (written.isErr) return sendError(response, written.error);
    sendJson(response, 200, { version: written.value });
  }

  private hasTenants(template: string): boolean {
    const { directory } = this.options;
    return directory.names('tenant').some((tenant) => directory.templateOf(tenant) === template);
  }

  /**
   * The version in If-Match; 0 for `If-None-Match: *`; without these headers, the current version.
   */
  private async expectedVersion(
    kind: DocumentKind,
    name: string,
    request: http.IncomingMessage,
  ): Promise<Result<number, ServiceError>> {
    const header = request.headers['if-match'];
    if (header !== undefined) {
      const version = Number(header.replaceAll('"', ''));
      if (Number.isInteger(version) && version >= 0) return Result.ok(version);
      return Result.err(serviceError('malformed_request', 'If-Match: expected a version number'));
    }
    if (request.headers['if-none-match'] === '*') return Result.ok(0);
    const found = await this.options.platform.get(kind, name);
    if (found.isOk) return Result.ok(found.value.version);
    return found.error.kind === 'not_found' ? Result.ok(0) : Result.err(found.error);
  }

  /** Writes once. If the reply is lost, reads the object back instead of writing it again. */
  private async write(
    kind: DocumentKind,
    name: string,
    expectedVersion: number,
    value: object | undefined,
  ): Promise<Result<number, ServiceError>> {
    const { platform } = this.options;
    const written = await platform.write({ kind, name, expectedVersion, value });
    if (written.isOk || written.error.kind !== 'platform_outcome_unknown') return written;
    for (let attempt = 0; attempt < READ_BACK_ATTEMPTS; attempt++) {
      const found = await platform.get(kind, name);
      if (found.isErr && found.error.kind !== 'not_found') continue;
      const current = found.isOk ? found.value.version : 0;
      if (found.isOk && value !== undefined && sameWriteId(found.value.value, value)) {
        return Result.ok(current);
      }
      if (found.isErr && value === undefined) return Result.ok(0);
      if (current === expectedVersion) return written;
      const message = `the object is at version ${current}`;
      return Result.err(serviceError('version_conflict', message, { currentVersion: current }));
    }
    return written;
  }

  /** Checks a tenant against its template, or a changed template against all its tenants. */
  private async checkRelated(document: OperatorDocument): Promise<Result<void, ServiceError>> {
    if (document.kind === 'Tenant') return this.checkTenant(document);
    const { directory } = this.options;
    for (const name of directory.names('tenant')) {
      if (directory.templateOf(name) !== document.name) continue;
      const tenant = directory.document('tenant', name) as TenantDocument;
      const rendered = renderTenant(document, tenant);
      if (rendered.isErr) return Result.err(rendered.error);
    }
    return Result.ok(undefined);
  }

  private async checkTenant(tenant: TenantDocument): Promise<Result<void, ServiceError>> {
    const found = await this.options.platform.get('template', tenant.template);
    if (found.isErr && found.error.kind === 'not_found') {
      const message = `tenant "${tenant.name}": no template "${tenant.template}"`;
      return Result.err(serviceError('invalid_document', message));
    }
    if (found.isErr) return Result.err(found.error);
    const template = withoutWriteId(found.value.value) as TemplateDocument;
    return renderTenant(template, tenant).map(() => undefined);
  }
}

function matchPath(
  document: OperatorDocument,
  kind: DocumentKind,
  name: string,
): Result<OperatorDocument, ServiceError> {
  if (document.kind.toLowerCase() === kind && document.name === name) return Result.ok(document);
  const message = `the document is ${document.kind} "${document.name}", but the path names ${kind} "${name}"`;
  return Result.err(serviceError('invalid_document', message));
}
