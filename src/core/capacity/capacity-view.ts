/**
 * What is expected of the backends of one service, apart from their load: how fast each runs, and
 * how long the pauses between the events of a model's streams are there. Types only.
 */

/** Expectations at one moment. */
export interface CapacityView {
  /**
   * Speed of a backend against the usual one of its service: 1 is usual, 2 twice as fast.
   * 1 while nothing has been learned of it.
   */
  speedOf(backend: string): number;
  /**
   * Expected milliseconds between two events of a stream of the model at the backend; undefined
   * while nothing has been learned of the model.
   */
  eventGapMs(backend: string, model: string): number | undefined;
  /**
   * Share of the model's streams, 0 to 1, that are expected to pause for longer than their callers
   * bear at the backend; 0 while nothing has been learned. It is smallest at the fastest backend.
   *
   * @param pauseGoalMs - The longest pause that the callers bear.
   */
  pauseRisk(backend: string, model: string, pauseGoalMs: number): number;
}

/** Expectations where nothing is learned: all backends are alike. */
export const EVEN_CAPACITY: CapacityView = {
  speedOf: () => 1,
  eventGapMs: () => undefined,
  pauseRisk: () => 0,
};
