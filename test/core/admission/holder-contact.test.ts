import { expect, it } from 'vitest';
import { HolderContact } from '../../../src/core/admission/holder-contact.js';

const SHARE = 500;

it('requests acknowledgments periodically, and treats a holder without one as unresponsive', () => {
  const contact = new HolderContact();
  expect(contact.recordReported(10, 0)).toBe(true);
  expect(contact.isResponsive(10, SHARE, 200)).toBe(true);
  expect(contact.isResponsive(10, SHARE, 201)).toBe(false);
  contact.recordReply(210);
  expect(contact.recordReported(10, 400)).toBe(false);
  expect(contact.isResponsive(10, SHARE, 10_000)).toBe(true);
  expect(contact.recordReported(10, 460)).toBe(true);
});

it('admits at most one share between two acknowledgments', () => {
  const contact = new HolderContact();
  contact.recordReply(0);
  contact.recordReported(450, 10);
  expect(contact.isResponsive(50, SHARE, 20)).toBe(true);
  expect(contact.isResponsive(51, SHARE, 20)).toBe(false);
});

it('counts alone only if the holder has not replied for a long time since a request', () => {
  const contact = new HolderContact();
  expect(contact.mayUseOwnShare(60_000)).toBe(false);
  contact.recordReplyRequested(60_000);
  contact.recordReplyRequested(62_000);
  expect(contact.mayUseOwnShare(62_499)).toBe(false);
  expect(contact.mayUseOwnShare(62_500)).toBe(true);
  contact.recordReply(62_600);
  expect(contact.mayUseOwnShare(99_000)).toBe(false);
});
