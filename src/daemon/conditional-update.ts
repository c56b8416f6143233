/**
 * Compare-and-swap on one object. If the reply to a write is lost, the object is read
 * back to find out whether the write took effect; it is never blindly written again.
 */
import { Result } from 'true-myth';
import { serviceError, type ServiceError } from '../common/errors.js';
import { sleep } from '../common/process.js';
import type { ObjectKind, PlatformClient, StoredObject } from '../platform/platform-client.js';

/** Attempts to read, change and write an object before the update fails with a conflict. */
const MAX_ATTEMPTS = 6;
const READ_BACK_ATTEMPTS = 5;
const READ_BACK_PAUSE_MS = 200;

/** Describes a change of one object. */
export interface ConditionalUpdate<Value> {
  readonly kind: ObjectKind;
  readonly name: string;
  /** Returns the new value for the current one, or undefined if no write is needed. */
  readonly change: (current: Value | undefined) => Value | undefined;
  /** Whether a value that was read back comes from the write in question. */
  readonly isSameWrite: (written: Value, found: Value) => boolean;
}

/** An object after an update. */
export interface UpdateResult<Value> {
  readonly version: number;
  readonly value: Value | undefined;
  /** False if no write was needed. */
  readonly written: boolean;
}

/**
 * Reads, changes and writes an object until the write has taken effect or no write is
 * needed. Errors: `version_conflict` if every attempt lost to a concurrent write,
 * `platform_unavailable`, `platform_outcome_unknown`.
 */
export async function updateObject<Value>(
  platform: PlatformClient,
  update: ConditionalUpdate<Value>,
): Promise<Result<UpdateResult<Value>, ServiceError>> {
  const { kind, name } = update;
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
    const current = await readObject<Value>(platform, kind, name);
    if (current.isErr) return Result.err(current.error);
    const value = update.change(current.value.value);
    if (value === undefined) return Result.ok({ ...current.value, written: false });
    const expectedVersion = current.value.version;
    const written = await platform.write({ kind, name, expectedVersion, value });
    if (written.isOk) return Result.ok({ version: written.value, value, written: true });
    if (written.error.kind === 'version_conflict') continue;
    if (written.error.kind !== 'platform_outcome_unknown') return Result.err(written.error);
    const settled = await readBack(platform, update, value);
    if (settled.isErr) return Result.err(settled.error);
    if (settled.value !== undefined) return Result.ok(settled.value);
  }
  return Result.err(serviceError('version_conflict', `${kind} "${name}" changes too often`));
}

async function readBack<Value>(
  platform: PlatformClient,
  update: ConditionalUpdate<Value>,
  value: Value,
): Promise<Result<UpdateResult<Value> | undefined, ServiceError>> {
  for (let attempt = 0; attempt < READ_BACK_ATTEMPTS; attempt++) {
    const found = await readObject<Value>(platform, update.kind, update.name);
    if (found.isOk) {
      const isOwn = found.value.value !== undefined && update.isSameWrite(value, found.value.value);
      return Result.ok(isOwn ? { version: found.value.version, value, written: true } : undefined);
    }
    await sleep(READ_BACK_PAUSE_MS);
  }
  const message = `${update.kind} "${update.name}": the write may have taken effect`;
  return Result.err(serviceError('platform_outcome_unknown', message));
}

async function readObject<Value>(
  platform: PlatformClient,
  kind: ObjectKind,
  name: string,
): Promise<Result<{ version: number; value: Value | undefined }, ServiceError>> {
  const found = await platform.get(kind, name);
  if (found.isOk) return Result.ok(asValue<Value>(found.value));
  if (found.error.kind === 'not_found') return Result.ok({ version: 0, value: undefined });
  return Result.err(found.error);
}

function asValue<Value>(object: StoredObject): { version: number; value: Value } {
  return { version: object.version, value: object.value as Value };
}
