import { describe, expect, it } from 'vitest';
import { AnswerBudget } from '../../src/core/answer-budget.js';

const KILOBYTE = 1_024;
const LIMITS = { requestBytes: 400 * KILOBYTE, daemonBytes: 1_000 * KILOBYTE };

function newBudget(): AnswerBudget {
  return new AnswerBudget(LIMITS);
}

function noteStream(
  budget: AnswerBudget,
  id: number,
  unread: number,
  now: number,
  read = 0,
): boolean {
  const unreadBytes = unread * KILOBYTE;
  return budget.recordProgress(
    id,
    { writtenBytes: unreadBytes + read * KILOBYTE, unreadBytes, isStream: true },
    now,
  );
}

describe('AnswerBudget', () => {
  it('continues reading from the backend up to the request limit and pauses beyond it', () => {
    const budget = newBudget();
    expect(noteStream(budget, 1, 400, 0)).toBe(true);
    expect(noteStream(budget, 1, 401, 10)).toBe(false);
    expect(noteStream(budget, 1, 10, 20, 391)).toBe(true);
  });

  it('disconnects a caller only after it has been behind for a minimum time and exceeds the request limit', () => {
    const budget = newBudget();
    noteStream(budget, 1, 500, 0);
    noteStream(budget, 2, 300, 0);
    expect(budget.removeSlowCallers(900)).toEqual([]);
    const removed = budget.removeSlowCallers(1_000);
    expect(removed).toMatchObject([{ id: 1, reason: 'request_room', behindMs: 1_000 }]);
    expect(budget.heldBytes).toBe(300 * KILOBYTE);
  });

  it('does not count time behind from before a caller caught up', () => {
    const budget = newBudget();
    noteStream(budget, 1, 500, 0);
    noteStream(budget, 1, 0, 600, 500);
    noteStream(budget, 1, 500, 900, 500);
    expect(budget.removeSlowCallers(1_500)).toEqual([]);
    expect(budget.removeSlowCallers(1_900)).toHaveLength(1);
  });

  it('disconnects the slowest callers first until the rest fit into the daemon limit', () => {
    const budget = newBudget();
    noteStream(budget, 1, 350, 0);
    noteStream(budget, 2, 350, 0);
    noteStream(budget, 3, 350, 0);
    // Caller 2 reads nothing, caller 3 reads a little and caller 1 reads much.
    noteStream(budget, 1, 350, 1_000, 900);
    noteStream(budget, 3, 350, 1_000, 20);
    expect(noteStream(budget, 1, 350, 1_100, 900)).toBe(false);
    expect(budget.removeSlowCallers(1_200)).toMatchObject([{ id: 2, reason: 'daemon_room' }]);
    expect(noteStream(budget, 1, 350, 1_300, 950)).toBe(true);
    noteStream(budget, 4, 390, 1_300);
    expect(budget.removeSlowCallers(1_400)).toMatchObject([{ id: 3, reason: 'daemon_room' }]);
  });

  it('counts buffered bodies and answers but disconnects no caller that is not behind because of them', () => {
    const budget = newBudget();
    budget.addBuffered(990 * KILOBYTE);
    expect(noteStream(budget, 1, 12, 0)).toBe(true);
    expect(budget.removeSlowCallers(5_000)).toEqual([]);
    expect(noteStream(budget, 2, 300, 5_000)).toBe(false);
    budget.addBuffered(-990 * KILOBYTE);
    expect(noteStream(budget, 2, 300, 5_100)).toBe(true);
  });

  it('disconnects the caller of a complete answer if it reads nothing, but not because of the size of the answer', () => {
    const budget = newBudget();
    const whole = { writtenBytes: 900 * KILOBYTE, unreadBytes: 900 * KILOBYTE, isStream: false };
    budget.recordProgress(1, whole, 0);
    expect(budget.removeSlowCallers(20_000)).toEqual([]);
    expect(budget.removeSlowCallers(30_000)).toMatchObject([{ id: 1, reason: 'reads_nothing' }]);
  });

  it('stops counting answers that have ended', () => {
    const budget = newBudget();
    noteStream(budget, 1, 300, 0);
    expect([budget.heldBytes, budget.unreadCallers]).toEqual([300 * KILOBYTE, 1]);
    budget.release(1);
    expect([budget.heldBytes, budget.unreadCallers]).toEqual([0, 0]);
  });
});
