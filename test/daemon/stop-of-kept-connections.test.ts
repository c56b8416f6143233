/** Guards against a stop that closes a kept connection on which a request has arrived and was not read. */
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { serviceError } from '../../src/common/errors.js';
import { silentLogger } from '../../src/common/logger.js';
import {
  DaemonHttpServer,
  type DaemonHttpServerOptions,
} from '../../src/daemon/daemon-http-server.js';
import { findFreePorts } from '../../src/testbed/free-ports.js';
import { pause } from '../gateway/gateway-harness.js';
import { RawCaller } from '../gateway/raw-caller.js';

const REQUEST = 'GET /readyz HTTP/1.1\r\nhost: daemon.test\r\n\r\n';

describe('the stop of a daemon', () => {
  let server: DaemonHttpServer;
  let address: string;
  let isDraining: boolean;
  const callers: RawCaller[] = [];

  function call(): RawCaller {
    const caller = new RawCaller(address);
    callers.push(caller);
    return caller;
  }

  beforeEach(async () => {
    isDraining = false;
    const [port = 0] = await findFreePorts(1);
    address = `127.0.0.1:${port}`;
    const draining = serviceError('draining', 'this daemon is stopping');
    server = new DaemonHttpServer({
      host: '127.0.0.1',
      port,
      requestMemoryBytes: 8 * 1024 * 1024,
      descriptors: 1_024,
      logger: silentLogger,
      notReadyError: () => (isDraining ? draining : undefined),
    } as unknown as DaemonHttpServerOptions);
    await server.start();
  });

  afterEach(() => {
    for (const caller of callers.splice(0)) caller.close();
    server.kill();
  });

  it('answers a request that has arrived on a kept connection before it, and was not read', async () => {
    const caller = call();
    caller.write(REQUEST);
    await caller.answered();
    await pause(50);
    caller.received = '';
    isDraining = true;
    // The bytes are in this server's socket when the write returns.
    caller.write(REQUEST);
    await server.stop();
    await pause(50);
    expect(caller.status).toBe(503);
  });

  it('answers requests on connections that were made before it and were not accepted', async () => {
    isDraining = true;
    const waiting = [call(), call(), call()];
    for (const caller of waiting) caller.write(REQUEST);
    await server.stop();
    await pause(50);
    expect(waiting.map(({ status }) => status)).toEqual([503, 503, 503]);
  });
});
