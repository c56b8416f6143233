/*
 * Guards against two soaks that run at the same time and take the same ports: each found them free, since their gateways had not
 * started yet. Then gateways of both ended with code 1 at each start (about 2 s old), and callers of one soak reached gateways of
 * the other: probes got 404 on routes that were there.
 */
import { afterEach, describe, expect, it, vi } from 'vitest';
import { findSoakPorts } from './soak-ports.js';

describe('ports of soaks that start at the same time', () => {
  afterEach(() => vi.restoreAllMocks());

  it.each([0, 0.25, 0.77])(
    'do not overlap if both searches start at the same place (%d)',
    async (place) => {
      vi.spyOn(Math, 'random').mockReturnValue(place);
      const searches = [findSoakPorts(4, 4), findSoakPorts(4, 4), findSoakPorts(3, 2)];
      const [first = [], second = [], third = []] = await Promise.all(searches);
      const taken = [
        ...first.flatMap((port) => [port, port + 1, port + 2, port + 3]),
        ...second.flatMap((port) => [port, port + 1, port + 2, port + 3]),
        ...third.flatMap((port) => [port, port + 1]),
      ];
      expect(taken).toHaveLength(38);
      expect(new Set(taken).size).toBe(taken.length);
    },
  );
});
