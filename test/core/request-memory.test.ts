import { beforeEach, describe, expect, it } from 'vitest';
import { RequestMemory, type RequestReservation } from '../../src/core/request-memory.js';

const KILOBYTE = 1024;
const TOTAL_BYTES = 4_096 * KILOBYTE;
const HEAD_BYTES = KILOBYTE;
/** More than a request that counts as small. */
const LARGE_BYTES = 512 * KILOBYTE;

describe('the memory of requests', () => {
  let memory: RequestMemory;
  let now = 0;
  let refused: string[] = [];

  beforeEach(() => {
    now = 0;
    refused = [];
    memory = new RequestMemory({ totalBytes: TOTAL_BYTES, requests: 100 }, () => now);
  });

  function open(name: string): RequestReservation {
    const reservation = memory.open(HEAD_BYTES);
    if (reservation === undefined) throw new Error(`no room for ${name}`);
    reservation.beginBody(() => refused.push(name));
    return reservation;
  }

  /** Fills the share of large requests with bodies that stop short of their end. */
  function fill(): RequestReservation[] {
    return Array.from({ length: 5 }, (_, index) => {
      const reservation = open(`large-${index}`);
      expect(reservation.record(LARGE_BYTES)).toBe(true);
      now += 10;
      return reservation;
    });
  }

  it('counts each request until it is released, once', () => {
    const reservation = open('a');
    reservation.record(LARGE_BYTES);
    expect(memory.heldBytes).toBeGreaterThan(LARGE_BYTES);
    reservation.release();
    reservation.release();
    expect(memory.heldBytes).toBe(0);
    expect(reservation.record(1)).toBe(false);
    expect(memory.heldBytes).toBe(0);
  });

  it('has room for the largest body that it names', () => {
    expect(open('a').record(memory.maxBodyBytes - HEAD_BYTES)).toBe(true);
    expect(refused).toEqual([]);
  });

  it('refuses the request that has taken most for the longest time', () => {
    fill();
    const newest = open('newest');
    expect(newest.record(LARGE_BYTES)).toBe(true);
    expect(refused).toEqual(['large-0']);
  });

  it('refuses the newest if all others are complete', () => {
    for (const reservation of fill()) reservation.complete();
    expect(open('newest').record(LARGE_BYTES)).toBe(false);
    expect(refused).toEqual([]);
  });

  it('keeps room for small requests beside large ones that are complete', () => {
    for (const reservation of fill()) reservation.complete();
    expect(open('large').record(LARGE_BYTES)).toBe(false);
    expect(open('small').record(2 * KILOBYTE)).toBe(true);
  });

  it('refuses an incomplete request if there are too many', () => {
    for (let index = 0; index < 100; index++) {
      open(`waiting-${index}`);
      now += 1;
    }
    expect(memory.open(HEAD_BYTES)).toBeDefined();
    expect(refused).toEqual(['waiting-0']);
  });

  it('reserves the memory of trailers until the request is complete', () => {
    const reservation = memory.open(HEAD_BYTES, 32 * KILOBYTE);
    const before = memory.heldBytes;
    reservation?.beginBody(() => {});
    reservation?.complete();
    reservation?.complete();
    expect(before - memory.heldBytes).toBe(32 * KILOBYTE);
    reservation?.release();
    expect(memory.heldBytes).toBe(0);
  });

  it('counts bodies that grow after their trailers were released', () => {
    const reservation = memory.open(HEAD_BYTES, 32 * KILOBYTE);
    reservation?.release();
    reservation?.complete();
    expect(memory.heldBytes).toBe(0);
  });

  it('receives a few bodies in very many parts at the same time', () => {
    const bodies = Array.from({ length: 5 }, (_, index) => open(`part-${index}`));
    expect(bodies.map((body) => body.beginFragmented())).toEqual([true, true, true, true, false]);
    bodies[0]?.complete();
    bodies[1]?.release();
    expect(bodies[4]?.beginFragmented()).toBe(true);
    expect(bodies[1]?.beginFragmented()).toBe(false);
    expect(open('last').beginFragmented()).toBe(true);
    expect(open('next').beginFragmented()).toBe(false);
  });
});
