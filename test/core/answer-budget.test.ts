import { describe, expect, it } from 'vitest';
import { AnswerBudget } from '../../src/core/answer-budget.js';

const KILOBYTE = 1_024;
const LIMITS = { requestBytes: 400 * KILOBYTE, daemonBytes: 1_000 * KILOBYTE };

function budgetOf(): AnswerBudget {
  return new AnswerBudget(LIMITS);
}

function stream(budget: AnswerBudget, id: number, unread: number, now: number, read = 0): boolean {
  const unreadBytes = unread * KILOBYTE;
  return budget.note(
    id,
    { writtenBytes: unreadBytes + read * KILOBYTE, unreadBytes, isStream: true },
    now,
  );
}

describe('AnswerBudget', () => {
  it('reads on for a caller up to its room, and waits beyond that', () => {
    const budget = budgetOf();
    expect(stream(budget, 1, 400, 0)).toBe(true);
    expect(stream(budget, 1, 401, 10)).toBe(false);
    expect(stream(budget, 1, 10, 20, 391)).toBe(true);
  });

  it('ends a caller only that has been behind for a time, and is beyond its room', () => {
    const budget = budgetOf();
    stream(budget, 1, 500, 0);
    stream(budget, 2, 300, 0);
    expect(budget.takeTooSlow(900)).toEqual([]);
    const ended = budget.takeTooSlow(1_000);
    expect(ended).toMatchObject([{ id: 1, reason: 'request_room', behindMs: 1_000 }]);
    expect(budget.heldBytes).toBe(300 * KILOBYTE);
  });

  it('does not count the time from before a caller had caught up', () => {
    const budget = budgetOf();
    stream(budget, 1, 500, 0);
    stream(budget, 1, 0, 600, 500);
    stream(budget, 1, 500, 900, 500);
    expect(budget.takeTooSlow(1_500)).toEqual([]);
    expect(budget.takeTooSlow(1_900)).toHaveLength(1);
  });

  it('ends the slowest first until the rest has room at the daemon', () => {
    const budget = budgetOf();
    stream(budget, 1, 350, 0);
    stream(budget, 2, 350, 0);
    stream(budget, 3, 350, 0);
    // The second reads nothing, the third a little, the first much.
    stream(budget, 1, 350, 1_000, 900);
    stream(budget, 3, 350, 1_000, 20);
    expect(stream(budget, 1, 350, 1_100, 900)).toBe(false);
    expect(budget.takeTooSlow(1_200)).toMatchObject([{ id: 2, reason: 'daemon_room' }]);
    expect(stream(budget, 1, 350, 1_300, 950)).toBe(true);
    stream(budget, 4, 390, 1_300);
    expect(budget.takeTooSlow(1_400)).toMatchObject([{ id: 3, reason: 'daemon_room' }]);
  });

  it('counts bodies and answers that are gathered, but ends nobody who has caught up for them', () => {
    const budget = budgetOf();
    budget.hold(990 * KILOBYTE);
    expect(stream(budget, 1, 12, 0)).toBe(true);
    expect(budget.takeTooSlow(5_000)).toEqual([]);
    expect(stream(budget, 2, 300, 5_000)).toBe(false);
    budget.hold(-990 * KILOBYTE);
    expect(stream(budget, 2, 300, 5_100)).toBe(true);
  });

  it('does not end a whole answer for its size, but one that is not read at all', () => {
    const budget = budgetOf();
    const whole = { writtenBytes: 900 * KILOBYTE, unreadBytes: 900 * KILOBYTE, isStream: false };
    budget.note(1, whole, 0);
    expect(budget.takeTooSlow(20_000)).toEqual([]);
    expect(budget.takeTooSlow(30_000)).toMatchObject([{ id: 1, reason: 'reads_nothing' }]);
  });

  it('forgets answers that have ended', () => {
    const budget = budgetOf();
    stream(budget, 1, 300, 0);
    expect([budget.heldBytes, budget.unreadCallers]).toEqual([300 * KILOBYTE, 1]);
    budget.release(1);
    expect([budget.heldBytes, budget.unreadCallers]).toEqual([0, 0]);
  });
});
