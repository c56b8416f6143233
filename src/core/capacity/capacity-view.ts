/**
 * Expected performance of the backends of one service, regardless of their load: the speed of each, and
 * the pauses between the events of a model's streams there. Types and a default only.
 */

/** Capacity estimates at one moment. */
export interface CapacityView {
  /**
   * Speed of a backend relative to the usual speed in its service: 1 is usual, 2 is twice as fast.
   * 1 while there is no estimate for the backend.
   */
  speedOf(backend: string): number;
  /**
   * Expected milliseconds between two events of a stream of the model at the backend; undefined
   * while there is no estimate for the model.
   */
  eventGapMs(backend: string, model: string): number | undefined;
  /**
   * Share of the model's streams, 0 to 1, that are expected to pause at the backend for longer than their
   * callers accept; 0 while there is no estimate. It is smallest at the fastest backend.
   *
   * @param pauseGoalMs - The longest pause that the callers accept, in milliseconds.
   */
  pauseRisk(backend: string, model: string, pauseGoalMs: number): number;
}

/** View without any estimates: all backends count as equal. */
export const UNIFORM_CAPACITY: CapacityView = {
  speedOf: () => 1,
  eventGapMs: () => undefined,
  pauseRisk: () => 0,
};
