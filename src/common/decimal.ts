/** Parses decimal numbers in HTTP headers. */

/** An unsigned decimal number; fractions are allowed. */
const DECIMAL_PATTERN = /^\d+(\.\d+)?$/;

/** Parses an unsigned decimal number, with optional surrounding whitespace; undefined for any other text. */
export function readDecimal(text: string): number | undefined {
  const trimmed = text.trim();
  return DECIMAL_PATTERN.test(trimmed) ? Number(trimmed) : undefined;
}
