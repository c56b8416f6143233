/** Expected response bodies of the replicas of a soak, derived from the request alone so that callers can check them. */
import murmurhash from 'murmurhash';

/**
 * The bytes of one event of a stream.
 *
 * @param version - Software version of the replica, which the event names in a comment; undefined to name none.
 */
export function eventText(prompt: string, number: number, version?: string): string {
  const comment = version === undefined ? '' : `: ${version}\n`;
  return `id: ${number}\n${comment}data: ${murmurhash.v3(`${prompt}#${number}`).toString(16)}\n\n`;
}

/** The software versions that the complete events of a stream's text name, in order, without repetitions. */
export function versionsIn(text: string): string[] {
  const events = [...text.matchAll(/^id: \d+\n: (.*)\ndata: .*\n\n/gm)];
  return [...new Set(events.map(([, version = '']) => version))];
}

/** Number of complete events in a stream's text. */
export function eventCount(text: string): number {
  return [...text.matchAll(/^id: \d+\n(?:: .*\n)?data: .*\n\n/gm)].length;
}

/** The rest of the stream after the event with the given number, as replicas of one version write it. */
export function streamText(prompt: string, events: number, after = 0, version?: string): string {
  let text = '';
  for (let number = after + 1; number <= events; number++)
    text += eventText(prompt, number, version);
  return text;
}

/** The body of a response that is not a stream. */
export function plainText(attemptId: string, prompt: string): string {
  return JSON.stringify({ attemptId, digest: murmurhash.v3(prompt).toString(16) });
}
