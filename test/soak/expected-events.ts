/** Expected response bodies of the replicas of a soak, derived from the request alone so that callers can check them. */
import murmurhash from 'murmurhash';

/** The bytes of one event of a stream. */
export function eventText(prompt: string, number: number): string {
  return `id: ${number}\ndata: ${murmurhash.v3(`${prompt}#${number}`).toString(16)}\n\n`;
}

/** The rest of the stream after the event with the given number. */
export function streamText(prompt: string, events: number, after = 0): string {
  let text = '';
  for (let number = after + 1; number <= events; number++) text += eventText(prompt, number);
  return text;
}

/** The body of a response that is not a stream. */
export function plainText(attemptId: string, prompt: string): string {
  return JSON.stringify({ attemptId, digest: murmurhash.v3(prompt).toString(16) });
}
