import { it } from 'vitest';
import { AdmissionPlay, recordLoad } from './admission-ways.js';
it('t', () => {
  for (const seed of [1, 2, 3, 37]) {
    const load = recordLoad(seed);
    for (const way of ['alone', 'leases', 'queue'] as const) {
      const p = new AdmissionPlay(way, load).play();
      console.log(seed, way, JSON.stringify([...p.byKind]), p.mostInFlight, p.messages);
    }
  }
}, 60000);
