/**
 * The stand-in engines' answers: a function of the prompt alone, so that a
 * caller can tell a whole answer to its own request from any other.
 */
import murmurhash from 'murmurhash';

const SHORTEST_ANSWER = 8;
const ANSWER_SPREAD = 24;

/** A prompt may ask for a length itself, for benchmarks. */
const ASKED_LENGTH = /tokens=(\d+)/;

/** Tokens of the full answer to a prompt, when the caller sets no lower limit. */
export function answerLength(prompt: string): number {
  const asked = ASKED_LENGTH.exec(prompt)?.[1];
  if (asked !== undefined) return Number(asked);
  return SHORTEST_ANSWER + (murmurhash.v3(prompt) % ANSWER_SPREAD);
}

/** The token at an offset of the answer. */
export function answerToken(prompt: string, offset: number): string {
  return `${murmurhash.v3(prompt).toString(36)}-${offset} `;
}

/** The whole answer. */
export function expectedAnswer(prompt: string, maxTokens: number): string {
  const length = Math.min(maxTokens, answerLength(prompt));
  return Array.from({ length }, (_, offset) => answerToken(prompt, offset)).join('');
}
