import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import {
  GatewayHarness,
  pause,
  TestBackend,
  testConfiguration,
  testRoute,
} from './gateway-harness.js';
import { PIECE, RawCaller } from './raw-caller.js';

describe('a request whose body comes slowly', () => {
  let harness: GatewayHarness;
  let backend: TestBackend;
  let caller: RawCaller;

  beforeEach(async () => {
    backend = new TestBackend('one');
    harness = await GatewayHarness.startWithBackends([backend]);
    harness.configure(testConfiguration({ routes: [testRoute({ repeatability: 'once' })] }));
    caller = new RawCaller(harness.settings.callers);
  });

  afterEach(() => {
    caller.close();
    harness.stop();
    backend.stop();
  });

  it('is not sent after its deadline, and its caller learns that it has not run', async () => {
    caller.writeHead('a', 2, 300);
    caller.write(PIECE);
    await pause(500);
    caller.write(PIECE);
    await caller.answered();
    expect(caller.status).toBe(503);
    expect(caller.received).toContain('X-Ran: no');
    await pause(100);
    expect(backend.arrivals).toEqual([]);
  });
});
