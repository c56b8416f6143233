import { describe, expect, it } from 'vitest';
import { RelaySelection } from '../../src/core/relay-selection.js';

const CANDIDATES = [
  { address: 'self', zone: 'a' },
  { address: 'near', zone: 'a' },
  { address: 'far', zone: 'b' },
  { address: 'other', zone: 'b' },
];
const NONE: ReadonlySet<string> = new Set();

function choose(selection: RelaySelection, now: number, excluded = NONE): string | undefined {
  return selection.choose(CANDIDATES, excluded, now);
}

describe('the choice of a relay', () => {
  it('prefers a near daemon, and one that has relayed', () => {
    const selection = new RelaySelection('self', 'a');
    expect(choose(selection, 0)).toBe('near');
    selection.recordRelayed('far', 0);
    expect(choose(selection, 10)).toBe('far');
    expect(choose(selection, 5_000)).toBe('near');
  });

  it('spreads requests in flight', () => {
    const selection = new RelaySelection('self', 'a');
    selection.recordSent('near', 0);
    selection.recordAcknowledged('near');
    expect(choose(selection, 10)).not.toBe('near');
    selection.recordEnded('near');
    expect(choose(selection, 20)).toBe('near');
  });

  it('leaves out one that is partitioned, for longer each time', () => {
    const selection = new RelaySelection('self', 'a');
    selection.recordRefusal('near', 'partitioned', 0);
    expect(choose(selection, 900)).not.toBe('near');
    expect(choose(selection, 1_000)).toBe('near');
    selection.recordRefusal('near', 'partitioned', 1_000);
    expect(choose(selection, 2_900)).not.toBe('near');
    selection.recordRelayed('near', 3_000);
    selection.recordRefusal('near', 'partitioned', 3_000);
    expect(choose(selection, 4_000)).toBe('near');
  });

  it('leaves out one that does not acknowledge a request, as its process may be paused', () => {
    const selection = new RelaySelection('self', 'a');
    for (const { address } of CANDIDATES) selection.recordRelayed(address, 0);
    selection.recordSent('near', 0);
    selection.recordEnded('near');
    expect(choose(selection, 200)).toBe('near');
    expect(choose(selection, 300)).not.toBe('near');
    expect(choose(selection, 2_100)).toBe('near');
    selection.recordSent('near', 2_100);
    expect(selection.hasCandidate([{ address: 'near', zone: 'a' }], 2_500)).toBe(false);
    selection.recordAcknowledged('near');
    expect(selection.hasCandidate([{ address: 'near', zone: 'a' }], 2_600)).toBe(true);
  });

  it('chooses nobody if all have refused', () => {
    const selection = new RelaySelection('self', 'a');
    for (const address of ['near', 'far']) selection.recordRefusal(address, 'draining', 0);
    expect(choose(selection, 10, new Set(['other']))).toBeUndefined();
  });

  it('turns to proven daemons after two refusals of one request', () => {
    const selection = new RelaySelection('self', 'a');
    selection.recordRelayed('far', 0);
    for (let count = 0; count < 10; count++) selection.recordSent('far', 10);
    selection.recordAcknowledged('far');
    expect(choose(selection, 20, new Set(['near']))).toBe('other');
    expect(choose(selection, 20, new Set(['near', 'x']))).toBe('far');
  });
});
