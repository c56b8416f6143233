import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { HttpClient } from '../../src/common/http-client.js';
import { startTicker, type Ticker } from '../../src/common/process.js';
import { startReplyTimeout } from '../../src/common/reply-timeout.js';
import { pause } from '../gateway/gateway-harness.js';
import { blockFor, blockNow, SeparateBackend } from '../gateway/separate-backend.js';

const REPLY_MS = 150;

describe('a reply that comes while this process is paused', () => {
  let server: SeparateBackend;
  let ticker: Ticker | undefined;
  const client = new HttpClient();

  beforeEach(async () => {
    server = await SeparateBackend.start('server', { events: 0, gapMs: REPLY_MS });
  });

  afterEach(async () => {
    ticker?.stop();
    await server.stop();
  });

  function request(timeoutMs: number): ReturnType<HttpClient['send']> {
    const { address } = server.record();
    return client.send({ method: 'GET', address, path: '/', timeoutMs });
  }

  it('counts although its timeout expired during the pause', async () => {
    const reply = request(400);
    await pause(50);
    await blockFor(700);
    expect((await reply).isOk).toBe(true);
  });

  it('is waited for if the request was sent after the pause, in which its connection opened', async () => {
    const reply = request(400);
    blockNow(700);
    expect((await reply).isOk).toBe(true);
  });

  it('was read before periodic work judges by what has not come', async () => {
    const events: string[] = [];
    void request(5_000).then(() => events.push('reply'));
    await pause(50);
    ticker = startTicker(
      100,
      () => events.push('tick'),
      () => {},
    );
    await blockFor(700);
    await pause(100);
    expect(events[0]).toBe('reply');
  });

  it('is missing if it does not come in time', async () => {
    const reply = await request(50);
    expect(reply.isErr).toBe(true);
  });

  it('is not missed after the timeout was cancelled, even between its expiry and its verdict', async () => {
    let wasMissed = false;
    const timeout = startReplyTimeout(20, () => (wasMissed = true));
    const expired = new Promise<void>((resolve) => setTimeout(resolve, 20));
    // Both timers expire in the same turn of the event loop; without a pause, a millisecond and all turns may be between them.
    blockNow(30);
    await expired;
    timeout.cancel();
    await pause(50);
    expect(wasMissed).toBe(false);
  });
});
