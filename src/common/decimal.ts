/** Numbers in headers. */

/** A decimal number without sign; fractions are allowed. */
const DECIMAL = /^\d+(\.\d+)?$/;

/** Reads a decimal number without sign, with spaces around it or none; undefined for any other text. */
export function readDecimal(text: string): number | undefined {
  const trimmed = text.trim();
  return DECIMAL.test(trimmed) ? Number(trimmed) : undefined;
}
