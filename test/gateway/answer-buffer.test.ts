import type http from 'node:http';
import { EventEmitter } from 'node:events';
import { describe, expect, it } from 'vitest';
import { silentLogger } from '../../src/common/logger.js';
import { AnswerBuffer } from '../../src/gateway/answer-buffer.js';
import { GatewayMetrics } from '../../src/gateway/gateway-metrics.js';
import { pause } from './gateway-harness.js';

const LIMITS = { requestBytes: 50_000, answerBytes: 100_000, daemonBytes: 400_000 };

/** An answer of which the caller reads nothing. */
class UnreadResponse extends EventEmitter {
  readonly writableLength = 100_000;
  isDestroyed = false;

  destroy(): void {
    this.isDestroyed = true;
  }
}

describe('a caller that is behind', () => {
  function openAnswer(now: () => number): UnreadResponse {
    const buffer = new AnswerBuffer({
      limits: LIMITS,
      runningClock: { now },
      logger: silentLogger,
      metrics: new GatewayMetrics(),
    });
    const response = new UnreadResponse();
    const account = buffer.open(response as unknown as http.ServerResponse, 'a', true);
    account.written(response.writableLength);
    return response;
  }

  it('is disconnected after the time in which it could have read', async () => {
    const response = openAnswer(() => performance.now());
    await pause(1_500);
    expect(response.isDestroyed).toBe(true);
  });

  it('is not disconnected for the time in which this process was paused', async () => {
    const response = openAnswer(() => 1_000);
    await pause(1_500);
    expect(response.isDestroyed).toBe(false);
  });
});
