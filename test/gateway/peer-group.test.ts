/**
 * Guards against a draining gateway that misses broadcasts. A draining gateway sent requests to a backend for 2.1 s
 * after the backend had announced its shutdown, until the gateway itself exited: broadcasts went only to daemons that
 * can be assigned work, which excludes draining ones. A draining daemon still has requests to finish, and retries some.
 *
 *     31.256 gateway-2 event=draining
 *     31.364 gateway-3 event=backend_ended backend=replica-8-3 revision=206
 *     33.497 gateway-2 event=sent backend=replica-8-3
 */
import { afterEach, expect, it } from 'vitest';
import { silentLogger } from '../../src/common/logger.js';
import { sleep } from '../../src/common/process.js';
import type { PeerBody } from '../../src/daemon/peer-transport.js';
import { encodeDirectoryReport } from '../../src/gateway/gateway-codec.js';
import { PeerGroup } from '../../src/gateway/peer-group.js';
import { findFreePorts } from '../../src/testbed/free-ports.js';

const HOST = '127.0.0.1';
const TICK_MS = 50;
const TIMEOUT_MS = 3_000;
const DIRECTORY_UPDATE: PeerBody = encodeDirectoryReport({
  configurationVersion: 1,
  ended: [{ id: 'backend', revision: 7 }],
  started: [],
  platformAway: false,
  servingDigest: 1,
});

const groups: PeerGroup[] = [];

async function startGroup(port: number, received: PeerBody[]): Promise<PeerGroup> {
  const group = new PeerGroup({
    host: HOST,
    port,
    zone: 'a',
    capacity: 1,
    logger: silentLogger,
    onMessage: (_from, body) => received.push(body),
    onChange: () => {},
  });
  groups.push(group);
  await group.start();
  return group;
}

/** Runs the timers of all groups until the condition holds. */
async function tickUntil(holds: () => boolean): Promise<void> {
  for (let waited = 0; waited < TIMEOUT_MS && !holds(); waited += TICK_MS) {
    for (const group of groups) group.tick();
    await sleep(TICK_MS);
  }
}

afterEach(() => {
  for (const group of groups.splice(0)) group.stop();
});

it('includes a draining daemon in broadcasts', async () => {
  const [port = 0, otherPort = 0] = await findFreePorts(2);
  const received: PeerBody[] = [];
  const reader = await startGroup(port, []);
  const draining = await startGroup(otherPort, received);
  reader.addSeeds([draining.address]);
  await tickUntil(() => reader.live().length === 2 && draining.live().length === 2);
  draining.leave();
  await tickUntil(() => reader.live().length === 1);
  expect(reader.live()).toHaveLength(1);
  reader.broadcast(DIRECTORY_UPDATE);
  await tickUntil(() => received.length > 0);
  expect(received.map((body) => body.case)).toEqual(['directoryNews']);
});
