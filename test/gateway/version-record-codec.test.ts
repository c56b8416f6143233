/**
 * Guards against a version record that another program has written with a covered time that no daemon can have observed. Its versions
 * would never be removed, so that no stream could be continued from the record.
 */
import { describe, expect, it } from 'vitest';
import { MAX_OBSERVED_MS } from '../../src/core/service-versions.js';
import {
  nextVersionRecord,
  VIEW_MARGIN_MS,
  type VersionView,
} from '../../src/core/version-record.js';
import { parseVersionRecord } from '../../src/gateway/version-record-codec.js';

const TIMEOUT_MS = 15_000;
const RULE = { host: 'h', pathPrefix: '/', services: ['s'], timeoutMs: TIMEOUT_MS };
const VIEW: VersionView = {
  era: 1,
  observedMs: TIMEOUT_MS + VIEW_MARGIN_MS,
  unchangedMs: TIMEOUT_MS + VIEW_MARGIN_MS,
  ages: new Map([['s', new Map([['v1', 0]])]]),
  rules: [RULE],
  maintains: true,
};

function recordOf(coveredMs: number): unknown {
  const services = [{ service: 's', versions: ['odd'], coveredMs }];
  return { era: 1, sightings: 0, rules: [RULE], services };
}

describe('a stored version record', () => {
  it.each([1e308, 2 ** 64, MAX_OBSERVED_MS + 1])(
    'with the covered time %d is replaced, and its versions do not stay',
    (odd) => {
      const stored = parseVersionRecord(recordOf(odd));
      const next = nextVersionRecord(stored, VIEW) ?? stored;
      expect(next?.services).toEqual([{ service: 's', versions: ['v1'], coveredMs: TIMEOUT_MS }]);
    },
  );

  it('with the longest covered time is valid', () => {
    expect(parseVersionRecord(recordOf(MAX_OBSERVED_MS))).toEqual(recordOf(MAX_OBSERVED_MS));
  });
});
