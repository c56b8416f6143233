import { describe, expect, it } from 'vitest';
import {
  LimitShares,
  MEMBER_REPLY_VALID_MS,
  RENEWAL_EXPIRY_MS,
} from '../../src/core/admission/limit-shares.js';
import { recordOf } from './share-fixtures.js';

function renewed(self: string): LimitShares {
  const shares = new LimitShares(self);
  shares.recordRenewal(0);
  return shares;
}

describe('the share of a daemon', () => {
  it('is an equal share for members of the record, and zero for a daemon that has joined since', () => {
    const member = renewed('a');
    const joining = renewed('c');
    for (const shares of [member, joining]) shares.recordStored(recordOf(1, 'ab'));
    expect(member.ownShare(0)).toBe(1 / 2);
    expect(joining.ownShare(0)).toBe(0);
  });

  it('is the smaller share during a change, and zero for a joining daemon', () => {
    const member = renewed('a');
    const joining = renewed('c');
    for (const shares of [member, joining]) shares.recordStored(recordOf(2, 'ab', 'abc'));
    expect(member.ownShare(0)).toBe(1 / 3);
    expect(joining.ownShare(0)).toBe(0);
  });

  it('does not grow on an outdated announcement', () => {
    const shares = renewed('a');
    shares.recordStored(recordOf(3, 'abc'));
    expect(shares.recordAnnounced(recordOf(1, 'ab'))).toBe(false);
    expect(shares.ownShare(0)).toBe(1 / 3);
  });

  it('is lost when the daemon has not renewed its store entry for too long', () => {
    const shares = renewed('a');
    shares.recordStored(recordOf(1, 'ab'));
    expect(shares.ownShare(RENEWAL_EXPIRY_MS)).toBe(1 / 2);
    expect(shares.ownShare(RENEWAL_EXPIRY_MS + 1)).toBe(0);
    expect(shares.combinedShare(2, RENEWAL_EXPIRY_MS + 1)).toBe(0);
  });

  it('is given up on a planned stop', () => {
    const shares = renewed('a');
    shares.recordStored(recordOf(1, 'ab'));
    shares.leave();
    expect(shares.ownShare(0)).toBe(0);
  });

  it("is valid only briefly on a member's reply before the store was read", () => {
    const shares = renewed('a');
    expect(shares.recordAnnounced(recordOf(1, 'ab'))).toBe(false);
    shares.recordMemberReply(recordOf(1, 'ab'), 100);
    expect(shares.ownShare(100 + MEMBER_REPLY_VALID_MS)).toBe(1 / 2);
    expect(shares.ownShare(101 + MEMBER_REPLY_VALID_MS)).toBe(0);
    expect(shares.mayAnnounce(100)).toBe(false);
  });
});
