/**
 * The answers of the engine stand-ins. An answer depends only on the prompt, so that a
 * caller can check that it received the complete answer to its own request.
 */
import murmurhash from 'murmurhash';

const MIN_ANSWER_TOKENS = 8;
const ANSWER_LENGTH_RANGE_TOKENS = 24;

/** A prompt may set the length of its answer, which the benchmarks use. */
const REQUESTED_LENGTH = /tokens=(\d+)/;

/** Number of tokens in the full answer to a prompt, if the caller sets no lower limit. */
export function answerLength(prompt: string): number {
  const requestedTokens = REQUESTED_LENGTH.exec(prompt)?.[1];
  if (requestedTokens !== undefined) return Number(requestedTokens);
  return MIN_ANSWER_TOKENS + (murmurhash.v3(prompt) % ANSWER_LENGTH_RANGE_TOKENS);
}

/** The token at an offset of the answer to a prompt, counted from 0. */
export function answerToken(prompt: string, offset: number): string {
  return `${murmurhash.v3(prompt).toString(36)}-${offset} `;
}

/** The whole answer to a prompt, cut after `maxTokens` tokens. */
export function expectedAnswer(prompt: string, maxTokens: number): string {
  const length = Math.min(maxTokens, answerLength(prompt));
  return Array.from({ length }, (_, offset) => answerToken(prompt, offset)).join('');
}
