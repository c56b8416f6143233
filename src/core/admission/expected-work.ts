/** Estimates the work that a request causes at a backend from the token counts in its headers. Pure. */

/** Largest token count that is accepted. A larger one is wrong or implausible and is treated as missing. */
const MAX_TOKENS = 1_000_000;
/**
 * Work of one prompt token, in answer tokens. It is small because a backend processes many prompt
 * tokens at once but generates answer tokens one after another.
 */
const PROMPT_TOKEN_COST = 0.02;

/** Token counts from the headers of a request. Any of them may be missing or invalid. */
export interface NamedTokens {
  readonly prompt: number | undefined;
  /** Maximum length of the answer. */
  readonly longestAnswer: number | undefined;
  /** Length of the answer that the caller expects. */
  readonly answerHint: number | undefined;
}

/** Returns the expected work in answer tokens, or undefined if the headers do not give enough counts. */
export function expectedWork(named: NamedTokens): number | undefined {
  const prompt = validCount(named.prompt);
  const longest = validCount(named.longestAnswer);
  const hint = validCount(named.answerHint);
  if (prompt === undefined || (hint === undefined && longest === undefined)) return undefined;
  const answer = Math.min(hint ?? Infinity, longest ?? Infinity);
  return prompt * PROMPT_TOKEN_COST + answer;
}

function validCount(count: number | undefined): number | undefined {
  if (count === undefined || !Number.isInteger(count)) return undefined;
  return count >= 0 && count <= MAX_TOKENS ? count : undefined;
}
