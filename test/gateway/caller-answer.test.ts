/**
 * Symptom to expect: a stream stops in its midst and never goes on, though its caller has read all.
 *
 * Cause: the daemon holds too much, so the backend is read no further; but the caller's socket held less than
 * what Node reports a "drain" for.
 */
import type http from 'node:http';
import { describe, expect, it } from 'vitest';
import { CallerAnswer } from '../../src/gateway/caller-answer.js';
import type { GatewayContext } from '../../src/gateway/gateway-context.js';
import type { RequestHead } from '../../src/gateway/ports.js';

/** Sends one event where there is no room; tells whether the backend is read on. */
function readsOn(writableNeedDrain: boolean): boolean {
  const account = { written: () => false };
  const context = { answers: { open: () => account } } as unknown as GatewayContext;
  const response = { write: () => !writableNeedDrain, writableNeedDrain };
  const head = {} as RequestHead;
  const answer = new CallerAnswer(context, head, response as unknown as http.ServerResponse);
  return answer.sendEvent({ id: '1', bytes: Buffer.from('id: 1\n\n') });
}

describe('CallerAnswer', () => {
  it('has the backend read on where no drain will tell that there is room again', () => {
    expect(readsOn(false)).toBe(true);
  });

  it('has the backend read no further until a drain that will come', () => {
    expect(readsOn(true)).toBe(false);
  });
});
