/**
 * Guards against a stream that stops and never resumes although its caller has read everything. The daemon had
 * buffered too much and paused reading from the backend, but the caller's socket had buffered too little for
 * Node to emit "drain", which would have resumed the reading.
 */
import type http from 'node:http';
import { describe, expect, it } from 'vitest';
import { CallerAnswer } from '../../src/gateway/caller-answer.js';
import type { GatewayContext } from '../../src/gateway/gateway-context.js';
import type { RequestHead } from '../../src/gateway/ports.js';

/**
 * Sends one event while the daemon's buffer limit is reached. Returns whether reading from the backend
 * continues.
 */
function continuesReading(writableNeedDrain: boolean): boolean {
  const account = { written: () => false };
  const context = { answers: { open: () => account } } as unknown as GatewayContext;
  const response = { write: () => !writableNeedDrain, writableNeedDrain };
  const head = {} as RequestHead;
  const answer = new CallerAnswer(context, head, response as unknown as http.ServerResponse);
  return answer.sendEvent({ id: '1', bytes: Buffer.from('id: 1\n\n') });
}

describe('CallerAnswer', () => {
  it('continues reading from the backend if no drain event will follow', () => {
    expect(continuesReading(false)).toBe(true);
  });

  it('pauses reading from the backend if a drain event will follow', () => {
    expect(continuesReading(true)).toBe(false);
  });
});
