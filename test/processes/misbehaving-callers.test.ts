/*
 * Guards against a process that callers end or fill by what they send: bodies, trailers and heads that stop short of their end or
 * have none, bodies in very small chunks, and requests that do not wait for answers. Nothing here depends on how fast the machine is.
 */
import { afterEach, beforeAll, beforeEach, describe, expect, it } from 'vitest';
import { AdminClient } from '../../src/client/admin-client.js';
import { sleep } from '../../src/common/process.js';
import { ADMIN_KEY, LocalCluster } from '../../src/testbed/local-cluster.js';
import { chunkOf, Crowd, endless, headOf, once, repeated, type ByteSource } from '../soak/crowd.js';
import {
  buildObservedGateway,
  MEGABYTE,
  ObservedGateway,
  openDescriptors,
  PATH,
  peakResidentBytes,
} from './observed-gateway.js';

/** The smallest machine that is deployed. */
const SMALL_MACHINE = { memoryMegabytes: 160, descriptors: 4_100, maxBodyBytes: 4 * MEGABYTE };
const KILOBYTE = 1024;
const CHUNKED = ['transfer-encoding: chunked'];
/** One part of a body in one-byte chunks. */
const SMALL_CHUNKS = chunkOf(1).repeat(4 * KILOBYTE);
const LARGE_CHUNK = chunkOf(64 * KILOBYTE);
/** Time for which a crowd that is not answered is kept, in milliseconds. */
const KEPT_MS = 1_500;
/** Longest time for a crowd to write what it would, in milliseconds: some of it is never read. */
const MAX_WRITING_MS = 8_000;
/**
 * Most bytes that a caller can write after its refusal: what is read and discarded, and what fits into the buffers of the kernel at
 * both ends.
 */
const MAX_WRITTEN_AFTER_ANSWER = 32 * MEGABYTE;
/** Longest time until the connections of a crowd are closed, in milliseconds: more than a body may take. */
const MAX_CLOSING_MS = 40_000;
/** Bytes after which a test no longer waits for an answer. */
const MAX_WRITTEN_WITHOUT_ANSWER = 256 * MEGABYTE;

describe('a gateway whose callers do not behave', () => {
  let gateway: ObservedGateway;
  let crowds: Crowd[] = [];

  async function start(
    settings: Partial<typeof SMALL_MACHINE> = {},
  ): Promise<typeof SMALL_MACHINE> {
    const all = { ...SMALL_MACHINE, ...settings };
    gateway = new ObservedGateway(all);
    await gateway.start();
    return all;
  }

  function crowd(size: number, source: () => ByteSource, address = gateway.callers): Crowd {
    const added = new Crowd(address, size, source);
    crowds.push(added);
    return added;
  }

  const hasEnded = (): boolean => gateway.end !== undefined;

  /** Waits until each caller has written all that it would, and a while longer; ends early if the process does. */
  async function keep(each: Crowd): Promise<void> {
    const until = performance.now() + MAX_WRITING_MS;
    const isOver = (): boolean => hasEnded() || performance.now() > until;
    await each.until((caller) => caller.hasWritten || caller.isClosed, isOver);
    await sleep(KEPT_MS);
  }

  /** Waits until each caller's connection is closed or it has written far too much after its refusal. */
  async function untilClosed(each: Crowd): Promise<void> {
    const until = performance.now() + MAX_CLOSING_MS;
    const isOver = (): boolean => hasEnded() || performance.now() > until;
    await each.until(
      (caller) =>
        caller.isClosed ||
        caller.writtenAfterAnswer > MAX_WRITTEN_AFTER_ANSWER ||
        caller.writtenBytes > MAX_WRITTEN_WITHOUT_ANSWER,
      isOver,
    );
  }

  /** Checks that the process lives, keeps to its machine, and answers an ordinary request. */
  async function expectSound({
    memoryMegabytes,
    descriptors,
  }: typeof SMALL_MACHINE): Promise<void> {
    expect(gateway.end).toBeUndefined();
    expect(gateway.peakBytes).toBeLessThan(memoryMegabytes * MEGABYTE);
    expect(gateway.peakDescriptors).toBeLessThan(descriptors);
    expect(await gateway.untilServed()).toBe(true);
  }

  /** Checks that each refused caller was told that its request has not run, and when to come back if it may. */
  function expectTrueRefusals(each: Crowd): void {
    for (const caller of each.callers.filter(({ status }) => status !== 0)) {
      expect([408, 413, 431, 400, 503]).toContain(caller.status);
      expect(caller.header('x-ran')).toBe('no');
      if (caller.status === 503) expect(Number(caller.header('retry-after'))).toBeGreaterThan(0);
    }
  }

  beforeAll(() => buildObservedGateway());

  afterEach(async () => {
    for (const each of crowds) each.close();
    crowds = [];
    await gateway.stop();
  });

  it('serves one whole request in one-byte chunks', async () => {
    const machine = await start({ maxBodyBytes: MEGABYTE });
    const times = MEGABYTE / (4 * KILOBYTE);
    const fields = [...CHUNKED, 'x-attempt-id: small-chunks'];
    const one = crowd(1, () => repeated(headOf(PATH, fields), SMALL_CHUNKS, times, '0\r\n\r\n'));
    await one.until(({ status }) => status !== 0, hasEnded);
    expect(one.callers.map(({ status }) => status)).toEqual([200]);
    await expectSound(machine);
  });

  it('bears bodies in one-byte chunks that stop short of their end', async () => {
    const machine = await start();
    const stopped = crowd(10, () => repeated(headOf(PATH, CHUNKED), SMALL_CHUNKS, 64));
    await keep(stopped);
    await expectSound(machine);
    expectTrueRefusals(stopped);
  });

  it('bears bodies in large chunks that stop short of their end', async () => {
    const machine = await start();
    const stopped = crowd(40, () => repeated(headOf(PATH, CHUNKED), LARGE_CHUNK, 62));
    await keep(stopped);
    await expectSound(machine);
    expectTrueRefusals(stopped);
  });

  it('bears bodies that stop short of their declared length', async () => {
    const machine = await start();
    const fields = [`content-length: ${4 * MEGABYTE}`];
    const part = Buffer.alloc(64 * KILOBYTE, 'x');
    const stopped = crowd(40, () => repeated(headOf(PATH, fields), part, 62));
    await keep(stopped);
    await expectSound(machine);
    expectTrueRefusals(stopped);
  });

  it('bears bodies that stop short on a path that no route has', async () => {
    const machine = await start();
    const stopped = crowd(40, () => repeated(headOf('/none/x', CHUNKED), LARGE_CHUNK, 62));
    await keep(stopped);
    await expectSound(machine);
  });

  it('reads a bounded part of bodies without an end', async () => {
    const machine = await start();
    const going = crowd(40, () => endless(headOf(PATH, CHUNKED), LARGE_CHUNK));
    await untilClosed(going);
    await expectSound(machine);
    expectTrueRefusals(going);
    for (const caller of going.callers) {
      expect(caller.status).not.toBe(0);
      expect(caller.writtenAfterAnswer).toBeLessThanOrEqual(MAX_WRITTEN_AFTER_ANSWER);
    }
  });

  it('reads a bounded part of bodies whose declared length is over the limit', async () => {
    const machine = await start();
    const part = Buffer.alloc(64 * KILOBYTE, 'x');
    const fields = ['content-length: 900000000'];
    const going = crowd(40, () => endless(headOf(PATH, fields), part));
    await untilClosed(going);
    await expectSound(machine);
    expectTrueRefusals(going);
    for (const caller of going.callers) {
      expect(caller.status).toBe(413);
      expect(caller.writtenAfterAnswer).toBeLessThanOrEqual(MAX_WRITTEN_AFTER_ANSWER);
    }
  });

  it('bears trailers without an end', async () => {
    const machine = await start();
    const trailer = `a: ${'x'.repeat(KILOBYTE)}\r\n`;
    const head = `${headOf(PATH, CHUNKED)}${chunkOf(8)}0\r\n`;
    const going = crowd(1_200, () => endless(head, trailer));
    await untilClosed(going);
    await expectSound(machine);
    expectTrueRefusals(going);
  });

  it('bears trailers that stop short of their end', async () => {
    const machine = await start();
    const trailer = `a: ${'x'.repeat(KILOBYTE)}\r\n`;
    const head = `${headOf(PATH, CHUNKED)}${chunkOf(8)}0\r\n`;
    const stopped = crowd(1_200, () => repeated(head, trailer, 110));
    await keep(stopped);
    await expectSound(machine);
    expectTrueRefusals(stopped);
  });

  it('bears heads without an end', async () => {
    const machine = await start();
    const line = `a: ${'x'.repeat(KILOBYTE)}\r\n`;
    const head = `POST ${PATH} HTTP/1.1\r\n`;
    const stopped = crowd(1_200, () => repeated(head, line, 116));
    await keep(stopped);
    await expectSound(machine);
    expectTrueRefusals(stopped);
  });

  it('keeps descriptors free while connections send a part of a head and wait', async () => {
    const machine = await start({ descriptors: 600 });
    const waiting = crowd(1_000, () => once(`POST ${PATH} HTTP/1.1\r\n`));
    await keep(waiting);
    await expectSound(machine);
  });

  it('keeps descriptors free while connections send a part of a body and wait', async () => {
    const machine = await start({ descriptors: 600 });
    const waiting = crowd(1_000, () => once(headOf(PATH, CHUNKED) + chunkOf(8)));
    await keep(waiting);
    await expectSound(machine);
    expectTrueRefusals(waiting);
  });

  it('bears requests that do not wait for answers', async () => {
    const machine = await start();
    const request = headOf(PATH, ['content-length: 0', 'x-attempt-id: pipelined']);
    const going = crowd(1, () => repeated(request, request.repeat(100), 100));
    await keep(going);
    await expectSound(machine);
  });

  it('bears such requests of many callers', async () => {
    const machine = await start();
    const request = headOf(PATH, ['content-length: 0', 'x-attempt-id: pipelined']);
    const going = crowd(40, () => repeated(request, request.repeat(128), 4));
    await keep(going);
    await expectSound(machine);
  });

  it('bears such requests of callers that read no answer', async () => {
    const machine = await start();
    const request = headOf(PATH, ['content-length: 0', 'x-attempt-id: pipelined']);
    const going = new Crowd(
      gateway.callers,
      10,
      () => repeated(request, request.repeat(100), 50),
      false,
    );
    crowds.push(going);
    await keep(going);
    await expectSound(machine);
  });

  it('bears bodies that stop short on the port for relayed requests', async () => {
    const machine = await start();
    const path = `http://${gateway.replicaId}${PATH}`;
    const stopped = crowd(
      40,
      () => repeated(headOf(path, CHUNKED), LARGE_CHUNK, 62),
      gateway.relay,
    );
    await keep(stopped);
    await expectSound(machine);
  });

  it.each(['readiness', 'metrics'] as const)(
    'reads a bounded part of bodies without an end on the port for %s',
    async (port) => {
      const machine = await start();
      const going = crowd(4, () => endless(headOf('/x', CHUNKED), LARGE_CHUNK), gateway[port]);
      await untilClosed(going);
      await expectSound(machine);
      for (const caller of going.callers) {
        expect(caller.writtenAfterAnswer).toBeLessThanOrEqual(MAX_WRITTEN_AFTER_ANSWER);
      }
    },
  );
});

describe('a daemon whose callers and operators do not behave', () => {
  /** Memory of the daemon's machine, in MiB. */
  const MEMORY_MEGABYTES = 350;
  /** Descriptors of the daemon's machine. */
  const DESCRIPTORS = 4_096;
  const part = Buffer.alloc(64 * KILOBYTE, 'x');
  let cluster: LocalCluster;
  let crowds: Crowd[] = [];

  function crowd(size: number, source: () => ByteSource): Crowd {
    const added = new Crowd(cluster.daemons[0]?.callers ?? '', size, source);
    crowds.push(added);
    return added;
  }

  const hasEnded = (): boolean => cluster.daemons[0]?.process.isRunning !== true;

  async function keep(each: Crowd): Promise<void> {
    const until = performance.now() + MAX_WRITING_MS;
    const isOver = (): boolean => hasEnded() || performance.now() > until;
    await each.until((caller) => caller.hasWritten || caller.isClosed, isOver);
    await sleep(KEPT_MS);
  }

  /** Checks that the process lives, keeps to its machine, and answers an operator. */
  async function expectSound(): Promise<void> {
    expect(hasEnded()).toBe(false);
    expect(peakResidentBytes(cluster.daemons[0]?.process.pid)).toBeLessThan(
      MEMORY_MEGABYTES * MEGABYTE,
    );
    const client = new AdminClient(cluster.daemons[0]?.callers ?? '', ADMIN_KEY);
    await client.put('templates', 'service', {
      kind: 'Template',
      name: 'service',
      service: { model: { name: 'm', gigabytes: 1 }, keepAlive: { policy: 'forever' } },
    });
    client.close();
  }

  beforeEach(async () => {
    cluster = await LocalCluster.start({
      zones: [{ zone: 'a', site: 'old' }],
      daemonsPerZone: 1,
      enginesPerZone: 1,
    });
  });

  afterEach(async () => {
    for (const each of crowds) each.close();
    crowds = [];
    await cluster.stop();
  });

  it.each([
    { of: 'callers', path: '/v1/completions', method: 'POST', field: '' },
    {
      of: 'operators',
      path: '/admin/v1/templates/x',
      method: 'PUT',
      field: `authorization: Bearer ${ADMIN_KEY}`,
    },
  ])('bears bodies of $of that stop short of their end', async ({ path, method, field }) => {
    const fields = [`content-length: ${4 * MEGABYTE}`, ...(field === '' ? [] : [field])];
    const stopped = crowd(120, () => repeated(headOf(path, fields, method), part, 62));
    await keep(stopped);
    await expectSound();
  });

  it('bears bodies in one-byte chunks that stop short of their end', async () => {
    const head = headOf('/v1/completions', CHUNKED);
    const stopped = crowd(40, () => repeated(head, SMALL_CHUNKS, 256));
    await keep(stopped);
    await expectSound();
  });

  it('reads a bounded part of bodies without an end', async () => {
    const going = crowd(10, () => endless(headOf('/v1/completions', CHUNKED), LARGE_CHUNK));
    await going.until(
      (caller) =>
        caller.isClosed ||
        caller.writtenAfterAnswer > MAX_WRITTEN_AFTER_ANSWER ||
        caller.writtenBytes > MAX_WRITTEN_WITHOUT_ANSWER,
      hasEnded,
    );
    await expectSound();
    for (const caller of going.callers) {
      expect(caller.status).toBe(413);
      expect(caller.writtenAfterAnswer).toBeLessThanOrEqual(MAX_WRITTEN_AFTER_ANSWER);
    }
  });

  it('bears heads that stop short of their end', async () => {
    const line = `a: ${'x'.repeat(KILOBYTE)}\r\n`;
    const head = 'POST /v1/completions HTTP/1.1\r\n';
    const stopped = crowd(4_500, () => repeated(head, line, 14));
    await keep(stopped);
    expect(openDescriptors(cluster.daemons[0]?.process.pid)).toBeLessThan(DESCRIPTORS);
    await expectSound();
  });
});
