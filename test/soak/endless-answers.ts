/** Answers of replicas that do not end until their connection is closed. */
import type { Socket } from 'node:net';
import type { SeededRandom } from './seeded-random.js';

/** A replica stops after so many bytes, so that a soak of a gateway without bounds ends. */
const MAX_SENT_BYTES = 64 * 1024 * 1024;
const WRITE_BYTES = 32 * 1024;

/** One answer without an end. */
export interface EndlessAnswer {
  readonly kind: string;
  readonly at: number;
  /** Bytes that were sent until the connection was closed. */
  sentBytes: number;
}

/** The framing of each kind of body, and what is repeated; `heads` has no final head at all. */
const BODIES: Readonly<Record<string, readonly [framing: string, repeated: string]>> = {
  chunks: ['transfer-encoding: chunked', `1000\r\n${'x'.repeat(0x1000)}\r\n`],
  small_chunks: ['transfer-encoding: chunked', '1\r\nx\r\n'],
  extensions: ['transfer-encoding: chunked', `1;${'e'.repeat(8_000)}\r\nx\r\n`],
  unframed: ['connection: close', 'data: abcdefghijkl\n'],
  heads: ['', 'HTTP/1.1 103 X\r\n\r\n'],
};

/** Begins an answer without an end on the connection of a request. */
export function sendEndless(
  socket: Socket,
  seal: Readonly<Record<string, string>>,
  random: SeededRandom,
): EndlessAnswer {
  const kind = random.pick(Object.keys(BODIES)) ?? 'chunks';
  const [framing, repeated] = BODIES[kind] ?? ['', ''];
  const fields = [...Object.entries(seal).map(([name, value]) => `${name}: ${value}`), framing];
  if (kind !== 'heads') socket.write(['HTTP/1.1 200 X', ...fields, '', ''].join('\r\n'));
  const answer: EndlessAnswer = { kind, at: Date.now(), sentBytes: 0 };
  const bytes = Buffer.from(repeated.repeat(Math.ceil(WRITE_BYTES / repeated.length)));
  const next = (): void => {
    if (socket.destroyed || answer.sentBytes >= MAX_SENT_BYTES) return;
    answer.sentBytes += bytes.length;
    if (socket.write(bytes)) setImmediate(next);
    else socket.once('drain', next);
  };
  next();
  return answer;
}
