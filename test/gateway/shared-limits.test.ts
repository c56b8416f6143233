/*
 * Guards against a daemon that ends itself just after its start: an uncaught exception, `LimitAnswer.retry_after_ms invalid uint32:
 * Infinity`, 356 and 422 ms after two starts. The daemon had learned the division of limits and answered requests as holder before
 * its next periodic update. Until then it counted no daemon with a share, so its share was 0: it granted the first request, and
 * computed an infinite delay for the second.
 */
import { create, toBinary } from '@bufbuild/protobuf';
import { beforeEach, describe, expect, it } from 'vitest';
import { leaseNow } from '../../src/common/lease-clock.js';
import { silentLogger } from '../../src/common/logger.js';
import { LimitShares, type ShareRecord } from '../../src/core/admission/limit-shares.js';
import { permitLimit } from '../../src/core/admission/permit-ledger.js';
import type { MemberView } from '../../src/core/membership-messages.js';
import type { PeerBody } from '../../src/daemon/peer-transport.js';
import { HolderLeases } from '../../src/gateway/holder-leases.js';
import { backendLimitKind } from '../../src/gateway/limit-kind.js';
import { SharedLimits } from '../../src/gateway/shared-limits.js';
import {
  LimitAnswerSchema,
  LimitChargeSchema,
  type LimitAnswer,
} from '../../src/proto/gen/internal_pb.js';

const SELF = 'd-1';
const OTHER = 'd-2';
const BACKEND = 'backend/1';
const RECORD: ShareRecord = {
  number: 1,
  members: [SELF, OTHER].map((address) => ({ address, zone: 'a' })),
  next: [SELF, OTHER].map((address) => ({ address, zone: 'a' })),
};

describe('a holder that has just learned its share', () => {
  let shares: LimitShares;
  let limits: SharedLimits;
  let replies: LimitAnswer[];

  beforeEach(() => {
    replies = [];
    shares = new LimitShares(SELF);
    const live = (): MemberView[] => [SELF, OTHER].map(memberView);
    const send = (_to: string, body: PeerBody): void => {
      if (body.case === 'limitAnswer') replies.push(body.value);
    };
    const leases = new HolderLeases({
      self: SELF,
      logger: silentLogger,
      // The only voter, so that the lease is granted at once.
      members: () => [{ address: SELF, zone: 'a' }],
      live,
      retentionMs: backendLimitKind.windowMs,
      firstSequence: 1,
      processStartedAt: 0,
      sendDatagram: send,
    });
    limits = new SharedLimits({
      self: SELF,
      kind: backendLimitKind,
      logger: silentLogger,
      leases,
      live,
      shares,
      limitOf: () => permitLimit(10),
      sendDatagram: send,
      broadcast: () => {},
    });
    limits.tick();
  });

  /** The daemon learns the division of limits, as from the store; its next periodic update is still to come. */
  function learnShare(): void {
    shares.recordRenewal(leaseNow());
    shares.recordStored(RECORD);
    limits.groupChanged();
  }

  function requestFromOther(question: number): void {
    const value = create(LimitChargeSchema, {
      tenant: BACKEND,
      units: 1,
      question,
      isOfBackend: true,
    });
    limits.receive(OTHER, { case: 'limitCharge', value });
  }

  it('sends replies that can be encoded', () => {
    learnShare();
    for (const question of [1, 2, 3]) requestFromOther(question);
    expect(replies).toHaveLength(3);
    for (const reply of replies) {
      expect(() => toBinary(LimitAnswerSchema, reply)).not.toThrow();
      expect(reply.retryAfterMs).toBeLessThan(10_000);
    }
  });

  it('grants no request before its share has accrued', () => {
    learnShare();
    requestFromOther(1);
    expect(replies.map(({ isGranted }) => isGranted)).toEqual([false]);
  });

  it('tells how soon its whole share allows the request', () => {
    learnShare();
    requestFromOther(1);
    // 10 requests a second, all daemons with a share are live: one request accrues in 100 ms.
    expect(replies[0]?.retryAfterMs).toBeGreaterThan(90);
    expect(replies[0]?.retryAfterMs).toBeLessThanOrEqual(100);
  });
});

function memberView(address: string): MemberView {
  return { address, zone: 'a', site: '', incarnation: 1, state: 'alive', capacity: 1 };
}
