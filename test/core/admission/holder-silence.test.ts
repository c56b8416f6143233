import { expect, it } from 'vitest';
import { HolderSilence } from '../../../src/core/admission/holder-silence.js';

const SHARE = 500;

it('requests acknowledgments periodically, and treats a holder without one as unresponsive', () => {
  const contact = new HolderSilence();
  expect(contact.tell(10, 0)).toBe(true);
  expect(contact.isHeard(10, SHARE, 200)).toBe(true);
  expect(contact.isHeard(10, SHARE, 201)).toBe(false);
  contact.hear(210);
  expect(contact.tell(10, 400)).toBe(false);
  expect(contact.isHeard(10, SHARE, 10_000)).toBe(true);
  expect(contact.tell(10, 460)).toBe(true);
});

it('admits at most one share between two acknowledgments', () => {
  const contact = new HolderSilence();
  contact.hear(0);
  contact.tell(450, 10);
  expect(contact.isHeard(50, SHARE, 20)).toBe(true);
  expect(contact.isHeard(51, SHARE, 20)).toBe(false);
});

it('counts alone only if the holder has not replied for a long time since a request', () => {
  const contact = new HolderSilence();
  expect(contact.mayCountAlone(60_000)).toBe(false);
  contact.ask(60_000);
  contact.ask(62_000);
  expect(contact.mayCountAlone(62_499)).toBe(false);
  expect(contact.mayCountAlone(62_500)).toBe(true);
  contact.hear(62_600);
  expect(contact.mayCountAlone(99_000)).toBe(false);
});
