/**
 * A unique id inside each written document, so that a writer whose reply was
 * lost can tell its own write from another's by reading back.
 */

const WRITE_ID_FIELD = 'writeId';

/** A document with a write id. */
export function withWriteId(document: object, writeId: string): object {
  return { ...document, [WRITE_ID_FIELD]: writeId };
}

/** A stored document as operators wrote it. */
export function withoutWriteId(value: unknown): unknown {
  if (typeof value !== 'object' || value === null) return value;
  return Object.fromEntries(Object.entries(value).filter(([key]) => key !== WRITE_ID_FIELD));
}

/** Whether two documents come from the same write. */
export function sameWriteId(a: unknown, b: unknown): boolean {
  return writeIdOf(a) !== undefined && writeIdOf(a) === writeIdOf(b);
}

function writeIdOf(value: unknown): unknown {
  if (typeof value !== 'object' || value === null) return undefined;
  return Object.entries(value).find(([key]) => key === WRITE_ID_FIELD)?.[1];
}
