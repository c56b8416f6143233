import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { GatewayHarness, pause, TestBackend, testConfiguration } from './gateway-harness.js';
import { RawCaller } from './raw-caller.js';
import { blockNow } from './separate-backend.js';

const HEADER_TIMEOUT_MS = 800;
const IDLE_TIMEOUT_MS = 800;

describe('a caller of a process that was paused', () => {
  let harness: GatewayHarness;
  let backend: TestBackend;
  let caller: RawCaller;

  beforeEach(async () => {
    backend = new TestBackend('one');
    harness = await GatewayHarness.startWithBackends([backend]);
    const limits = { headerBytes: 2_000, bodyBytes: 10_000 };
    const times = { headerTimeoutMs: HEADER_TIMEOUT_MS, idleTimeoutMs: IDLE_TIMEOUT_MS };
    harness.configure(testConfiguration({ version: 2, limits: { ...limits, ...times } }));
    caller = new RawCaller(harness.settings.callers);
    await pause(100);
  });

  afterEach(() => {
    caller.close();
    harness.stop();
    backend.stop();
  });

  /** Writes in the turn of the event loop in which the process is paused, so that the bytes are read only after the pause. */
  function writeIntoPause(text: string, pauseMs: number): Promise<void> {
    return new Promise((resolve) => {
      setImmediate(() => {
        caller.write(text);
        blockNow(pauseMs);
        resolve();
      });
    });
  }

  it('is not taken for too slow when its head came during the pause', async () => {
    caller.write('POST /work/x HTTP/1.1\r\nhost: service.test\r\n');
    await pause(50);
    await writeIntoPause('request-id: a\r\ndeadline: 4000\r\ncontent-length: 0\r\n\r\n', 1_500);
    await caller.answered();
    expect(caller.status).toBe(200);
  });

  it('is told that its request has not run when it is too slow', async () => {
    caller.write('POST /work/x HTTP/1.1\r\nhost: service.test\r\n');
    await pause(HEADER_TIMEOUT_MS + 1_000);
    expect(caller.status).toBe(408);
  });

  it('is answered on a kept connection whose idle time passed during the pause', async () => {
    const head = 'POST /work/x HTTP/1.1\r\nhost: service.test\r\ndeadline: 4000\r\n';
    caller.write(`${head}request-id: a\r\ncontent-length: 0\r\n\r\n`);
    await caller.answered();
    caller.received = '';
    await writeIntoPause(`${head}request-id: b\r\ncontent-length: 0\r\n\r\n`, 2_200);
    await caller.answered();
    expect(caller.status).toBe(200);
  });
});
