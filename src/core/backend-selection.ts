/** Interface of the policies that select a backend for a request. */

/** A backend that could take the request, as one daemon sees it. */
export interface BackendCandidate {
  readonly id: string;
  readonly sameZone: boolean;
  /** Whether an idle kept-alive connection to the backend exists. */
  readonly hasConnection: boolean;
  readonly slots: number;
  /** Known requests in flight at the backend, from all daemons. */
  readonly inFlight: number;
  /** Smoothed share of failed requests, 0 to 1. */
  readonly failureShare: number;
  /** Speed relative to the usual speed of the service; 1 if absent. */
  readonly speed?: number;
  /** Expected share, 0 to 1, of streams like this one that would pause for too long at the backend; 0 if absent. */
  readonly pauseRisk?: number;
}

/** Chooses a backend for a request. */
export interface BackendSelection {
  /** @param affinity - Key shared by requests whose prompts have a common prefix. */
  choose(
    candidates: readonly BackendCandidate[],
    affinity: string | undefined,
  ): BackendCandidate | undefined;
}
