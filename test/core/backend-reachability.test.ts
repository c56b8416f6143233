import { describe, expect, it } from 'vitest';
import { BackendReachability } from '../../src/core/backend-reachability.js';

const BACKENDS = ['a', 'b', 'c', 'd', 'e', 'f'];

function started(backends: readonly string[] = BACKENDS): BackendReachability {
  const reachability = new BackendReachability();
  reachability.setListed(backends);
  for (const backend of backends) reachability.recordConnected(backend, 0);
  return reachability;
}

describe('reachability of backends', () => {
  it('is lost for one backend by one failed connection, and regained by one that opens', () => {
    const reachability = started();
    reachability.recordConnectionFailure('a', 1_000);
    expect(reachability.isUnreachable('a')).toBe(true);
    expect(reachability.isUnreachable('b')).toBe(false);
    reachability.recordReceived('a', 1_100);
    expect(reachability.isUnreachable('a'), 'a byte on an old connection').toBe(true);
    reachability.recordConnected('a', 1_200);
    expect(reachability.isUnreachable('a')).toBe(false);
    expect(reachability.takeChanges().map(({ type }) => type)).toEqual([
      'backend_unreachable',
      'backend_reachable',
    ]);
  });

  it('is lost for all once five backends fail and nothing is received', () => {
    const reachability = started();
    for (const backend of ['a', 'b', 'c', 'd']) {
      reachability.recordConnectionFailure(backend, 1_000);
      expect(reachability.isPartitioned).toBe(false);
    }
    reachability.recordConnectionFailure('e', 1_010);
    expect(reachability.isPartitioned).toBe(true);
    expect(reachability.isUnreachable('f'), 'a backend that was not tried').toBe(true);
  });

  it('is not lost for all while any backend is received from', () => {
    const reachability = started();
    for (const backend of ['a', 'b', 'c', 'd'])
      reachability.recordConnectionFailure(backend, 1_000);
    reachability.recordReceived('f', 1_005);
    reachability.recordConnectionFailure('e', 1_010);
    expect(reachability.isPartitioned).toBe(false);
  });

  it('is lost for all by one failure where one backend is listed', () => {
    const reachability = started(['a']);
    reachability.recordConnectionFailure('a', 1_000);
    expect(reachability.isPartitioned).toBe(true);
  });

  it.each(['connected', 'received'])('ends a partition by one backend that is %s', (how) => {
    const reachability = started();
    for (const backend of ['a', 'b', 'c', 'd', 'f'])
      reachability.recordConnectionFailure(backend, 1_000);
    if (how === 'connected') reachability.recordConnected('e', 5_000);
    else reachability.recordReceived('e', 5_000);
    expect(reachability.isPartitioned).toBe(false);
    expect(BACKENDS.filter((backend) => reachability.isUnreachable(backend))).toEqual([]);
  });

  it('counts a backend that ended long ago as one of the failures only', () => {
    const reachability = started();
    reachability.recordConnectionFailure('a', 1_000);
    reachability.recordReceived('b', 60_000);
    for (const backend of ['b', 'c', 'd', 'e'])
      reachability.recordConnectionFailure(backend, 60_100);
    expect(reachability.isPartitioned).toBe(false);
    reachability.recordConnectionFailure('a', 60_110);
    expect(reachability.isPartitioned).toBe(true);
  });
});

describe('probes of backends', () => {
  it('are not sent while nothing is in flight', () => {
    const reachability = started();
    expect(reachability.probesDue(100_000)).toEqual([]);
  });

  it('are sent to a backend that is silent with a request in flight, and then less often', () => {
    const reachability = started();
    reachability.recordSent('a', 10_000);
    expect(reachability.probesDue(10_300)).toEqual([]);
    expect(reachability.probesDue(10_400)).toEqual(['a']);
    reachability.recordConnected('a', 10_401);
    const sent: number[] = [];
    for (let now = 10_500; now < 20_000; now += 100) {
      if (reachability.probesDue(now).length > 0) sent.push(now);
    }
    expect(sent.length).toBeLessThanOrEqual(4);
    expect(reachability.isUnreachable('a')).toBe(false);
  });

  it('are not sent to a backend from which others of its requests receive', () => {
    const reachability = started();
    reachability.recordSent('a', 10_000);
    for (let now = 10_100; now < 20_000; now += 100) {
      reachability.recordReceived('a', now);
      expect(reachability.probesDue(now)).toEqual([]);
    }
  });

  it('are sent to other quiet backends after the first failure', () => {
    const reachability = started();
    reachability.recordReceived('b', 10_000);
    reachability.recordConnectionFailure('a', 10_100);
    const due = reachability.probesDue(10_100);
    expect(due.sort()).toEqual(['c', 'd', 'e', 'f']);
  });

  it('are sent at a bounded rate while the daemon is partitioned', () => {
    const reachability = started();
    for (const backend of ['a', 'b', 'c', 'd', 'e'])
      reachability.recordConnectionFailure(backend, 1_000);
    const probed: string[] = [];
    for (let now = 1_000; now < 3_500; now += 100) probed.push(...reachability.probesDue(now));
    expect(probed.length).toBeGreaterThanOrEqual(8);
    expect(probed.length).toBeLessThanOrEqual(10);
    expect(new Set(probed).size).toBe(BACKENDS.length);
  });
});
