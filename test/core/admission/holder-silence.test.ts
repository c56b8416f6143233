import { expect, it } from 'vitest';
import { HolderSilence } from '../../../src/core/admission/holder-silence.js';

const SHARE = 500;

it('asks for a word now and then, and takes a holder without one for silent', () => {
  const silence = new HolderSilence();
  expect(silence.tell(10, 0)).toBe(true);
  expect(silence.isHeard(10, SHARE, 200)).toBe(true);
  expect(silence.isHeard(10, SHARE, 201)).toBe(false);
  silence.hear(210);
  expect(silence.tell(10, 400)).toBe(false);
  expect(silence.isHeard(10, SHARE, 10_000)).toBe(true);
  expect(silence.tell(10, 460)).toBe(true);
});

it('lets no more than a share pass between two words', () => {
  const silence = new HolderSilence();
  silence.hear(0);
  silence.tell(450, 10);
  expect(silence.isHeard(50, SHARE, 20)).toBe(true);
  expect(silence.isHeard(51, SHARE, 20)).toBe(false);
});

it('counts alone only after a long silence that began with a question', () => {
  const silence = new HolderSilence();
  expect(silence.mayCountAlone(60_000)).toBe(false);
  silence.ask(60_000);
  silence.ask(62_000);
  expect(silence.mayCountAlone(62_499)).toBe(false);
  expect(silence.mayCountAlone(62_500)).toBe(true);
  silence.hear(62_600);
  expect(silence.mayCountAlone(99_000)).toBe(false);
});
