/** Which backend takes a request: the interface of selection policies. */

/** A backend that could take the request, as one daemon sees it. */
export interface BackendCandidate {
  readonly id: string;
  readonly sameZone: boolean;
  /** A kept connection is free. */
  readonly hasConnection: boolean;
  readonly slots: number;
  /** Requests in flight there, over all daemons as far as is known. */
  readonly inFlight: number;
  /** Smoothed share of failed requests, 0 to 1. */
  readonly failureShare: number;
  /** Speed against the usual one of the service; 1 if absent. */
  readonly speed?: number;
  /** Share of such streams, 0 to 1, that would pause for too long there; 0 if absent. */
  readonly pauseRisk?: number;
}

/** Chooses a backend for a request. */
export interface BackendSelection {
  /** @param affinity - Text that requests with a common beginning of the prompt share. */
  choose(
    candidates: readonly BackendCandidate[],
    affinity: string | undefined,
  ): BackendCandidate | undefined;
}
