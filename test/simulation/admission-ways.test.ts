import { describe, expect, it } from 'vitest';
import {
  AdmissionPlay,
  recordLoad,
  shareInAim,
  shareServed,
  type Outcome,
  type Way,
} from './admission-ways.js';

const SLOTS = 8;
/** The table in docs/design uses the first seed. */
const SEEDS = [37, 1];

function line(way: Way, name: string, { inAim, late, refused }: Outcome): string {
  return `| ${way} | ${name} | ${inAim} | ${late} | ${refused} |`;
}

function table(way: Way, play: AdmissionPlay): string[] {
  const rows = [...play.byKind, ...play.byTenant].map(([name, outcome]) =>
    line(way, name, outcome),
  );
  return [...rows, line(way, 'largest tenth of patient', play.largest)];
}

describe.each(SEEDS)('the same load under three admission policies (seed %i)', (seed) => {
  const load = recordLoad(seed);
  const plays = new Map<Way, AdmissionPlay>();
  const playOf = (way: Way): AdmissionPlay => {
    const play = plays.get(way) ?? new AdmissionPlay(way, load).play();
    plays.set(way, play);
    return play;
  };

  it('counts every request in exactly one result', () => {
    for (const way of ['alone', 'leases', 'queue'] as const) {
      const play = playOf(way);
      const ended = [...play.byKind.values()].reduce(
        (sum, { inAim, late, refused }) => sum + inAim + late + refused,
        0,
      );
      console.log(
        [`seed ${seed}, ${way}: most in flight ${play.mostInFlight}, messages ${play.messages}`]
          .concat(table(way, play))
          .join('\n'),
      );
      expect(ended).toBe(load.length);
    }
  });

  it('exceeds the slots when daemons decide alone, but not with one queue', () => {
    expect(playOf('queue').mostInFlight).toBe(SLOTS);
    expect(playOf('alone').mostInFlight).toBeGreaterThan(SLOTS);
  });

  it('is served within the goal more often with a queue, by kind and tenant', () => {
    for (const name of ['urgent', 'patient']) {
      const alone = playOf('alone').byKind.get(name)!;
      const queue = playOf('queue').byKind.get(name)!;
      expect(shareInAim(queue)).toBeGreaterThan(shareInAim(alone));
    }
    const usual = (way: Way): Outcome => playOf(way).byTenant.get('the four usual')!;
    expect(shareInAim(usual('queue'))).toBeGreaterThan(shareInAim(usual('alone')));
    expect(shareInAim(usual('queue'))).toBeGreaterThan(shareInAim(usual('leases')));
  });

  it('serves the largest requests of a kind more than half as often as the kind on average', () => {
    const play = playOf('queue');
    expect(shareServed(play.largest)).toBeGreaterThan(shareServed(play.byKind.get('patient')!) / 2);
  });
});
