/**
 * Compare-and-swap on one object, with lost replies settled by reading back:
 * never by writing again blindly.
 */
import { Result } from 'true-myth';
import { serviceError, type ServiceError } from '../common/errors.js';
import { sleep } from '../common/process.js';
import type { ObjectKind, PlatformClient, StoredObject } from '../platform/platform-client.js';

/** Times that a conflict is met with a fresh look before it is given up. */
const MOST_ATTEMPTS = 6;
const READ_BACK_ATTEMPTS = 5;
const READ_BACK_PAUSE_MS = 200;

/** One change of an object. */
export interface ConditionalUpdate<Value> {
  readonly kind: ObjectKind;
  readonly name: string;
  /** The new value for the current one, or undefined if nothing is to be written. */
  readonly change: (current: Value | undefined) => Value | undefined;
  /** Whether a value that was read back is the one just written. */
  readonly isOwn: (written: Value, found: Value) => boolean;
}

/** An object after an update. */
export interface Updated<Value> {
  readonly version: number;
  readonly value: Value | undefined;
  /** False if the change asked for nothing. */
  readonly written: boolean;
}

/**
 * Reads, changes and writes until the write has taken effect or the change asks
 * for nothing. Errors: `version_conflict` after many races,
 * `platform_unavailable`, `platform_outcome_unknown`.
 */
export async function updateObject<Value>(
  platform: PlatformClient,
  update: ConditionalUpdate<Value>,
): Promise<Result<Updated<Value>, ServiceError>> {
  const { kind, name } = update;
  for (let attempt = 0; attempt < MOST_ATTEMPTS; attempt++) {
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
): Promise<Result<Updated<Value> | undefined, ServiceError>> {
  for (let attempt = 0; attempt < READ_BACK_ATTEMPTS; attempt++) {
    const found = await readObject<Value>(platform, update.kind, update.name);
    if (found.isOk) {
      const isOwn = found.value.value !== undefined && update.isOwn(value, found.value.value);
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
