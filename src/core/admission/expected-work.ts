/** How much work a request asks of a backend, from what its head names. Pure. */

/** Tokens. A head that names more is wrong, or not worth believing: it counts as if it named none. */
const MOST_TOKENS = 1_000_000;
/**
 * Work of a prompt's token in tokens of the answer: a prompt is read many tokens at once, an
 * answer is made one after another.
 */
const PROMPT_TOKEN_WORK = 0.02;

/** What a request's head names; anything may be missing or wrong. */
export interface NamedTokens {
  readonly prompt: number | undefined;
  /** The most that the answer may have. */
  readonly longestAnswer: number | undefined;
  /** What the caller expects of the answer. */
  readonly answerHint: number | undefined;
}

/** Expected work in tokens of an answer; undefined if the head does not tell. */
export function expectedWork(named: NamedTokens): number | undefined {
  const prompt = cleanCount(named.prompt);
  const longest = cleanCount(named.longestAnswer);
  const hint = cleanCount(named.answerHint);
  if (prompt === undefined || (hint === undefined && longest === undefined)) return undefined;
  const answer = Math.min(hint ?? Infinity, longest ?? Infinity);
  return prompt * PROMPT_TOKEN_WORK + answer;
}

function cleanCount(count: number | undefined): number | undefined {
  if (count === undefined || !Number.isInteger(count)) return undefined;
  return count >= 0 && count <= MOST_TOKENS ? count : undefined;
}
