/** Guards against a crash that is not attributed, because the backend was found to run just before. */
import net from 'node:net';
import { once } from 'node:events';
import { expect, it } from 'vitest';
import { silentLogger } from '../../src/common/logger.js';
import { CrashTracker, type CrashTrackerOptions } from '../../src/gateway/crash-tracker.js';
import { GatewayMetrics } from '../../src/gateway/gateway-metrics.js';
import type { BackendRecord } from '../../src/core/service-configuration.js';

it('attributes the crash of a backend that ran when a connection to it broke a moment before', async () => {
  const server = net.createServer((socket) => socket.destroy()).listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as net.AddressInfo;
  const backend = { id: 'b', address: `127.0.0.1:${port}` } as BackendRecord;
  const tracker = new CrashTracker({
    logger: silentLogger,
    metrics: new GatewayMetrics(),
    listed: () => backend,
    reachesOthers: () => Promise.resolve(true),
    onRefusedChange: () => {},
    live: () => [],
    sendDatagram: () => {},
    broadcast: () => {},
  } as unknown as CrashTrackerOptions);
  expect(await tracker.hasEnded(backend)).toBe(false);
  server.close();
  await once(server, 'close');
  expect(await tracker.hasEnded(backend)).toBe(true);
});
