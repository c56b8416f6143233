/**
 * A unique id in each written document. A writer whose reply was lost reads the
 * document back and recognises its own write by this id.
 */

const WRITE_ID_FIELD = 'writeId';

/** Adds a write id to a document. */
export function withWriteId(document: object, writeId: string): object {
  return { ...document, [WRITE_ID_FIELD]: writeId };
}

/** Removes the write id from a stored document, which gives the document as the operator wrote it. */
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
