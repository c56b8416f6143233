/** What the replicas of a soak have seen themselves: runs, arrivals, and what must never happen. */

/** A request that a replica has begun to work on. */
export interface RunRecord {
  readonly attemptId: string;
  readonly replica: string;
  /** As the gateway named it. */
  readonly tenant: string | undefined;
  /** Unix milliseconds. */
  readonly at: number;
}

/** A promise that a replica saw broken. */
export interface ReplicaViolation {
  readonly kind:
    | 'memory_overcommitted'
    | 'fence_shared'
    | 'lower_epoch'
    | 'work_while_leaving'
    | 'wrong_service'
    | 'key_passed_on';
  readonly replica: string;
  readonly detail: string;
  /** Unix milliseconds. */
  readonly at: number;
  /** The gateway whose order it was. */
  readonly sender?: string;
  /** The request that it is about. */
  readonly attemptId?: string;
}

/** A request that crashes whatever runs it has come to a replica. */
export interface PoisonArrival {
  /** Names the request; its attempts have names of their own. */
  readonly name: string;
  readonly attemptId: string;
  readonly replica: string;
  /** Unix milliseconds. */
  readonly at: number;
}

/** A request that has come to a replica which says in its answers that it leaves, or asks for rest. */
export interface ToldArrival {
  readonly attemptId: string;
  readonly replica: string;
  /** Unix milliseconds. */
  readonly at: number;
  readonly saysLeaving: boolean;
  /** Milliseconds of rest that the answer asks for; 0 for none. */
  readonly restMs: number;
}

/** A request that has come to a replica which names a rate limit in its answers, or has named one. */
export interface LimitedArrival {
  readonly attemptId: string;
  readonly replica: string;
  /** Unix milliseconds. */
  readonly at: number;
  /** Requests a second that the answer names; undefined if it names none. */
  readonly perSecond: number | undefined;
}

/** Shared by all replicas of one soak. */
export class RunLog {
  readonly runs: RunRecord[] = [];
  readonly violations: ReplicaViolation[] = [];
  readonly toldArrivals: ToldArrival[] = [];
  readonly limitedArrivals: LimitedArrival[] = [];
  readonly poisonArrivals: PoisonArrival[] = [];
  readonly poisonCrashes: PoisonArrival[] = [];
  loads = 0;

  run(attemptId: string, replica: string, tenant: string | undefined): void {
    this.runs.push({ attemptId, replica, tenant, at: Date.now() });
  }

  violated(violation: Omit<ReplicaViolation, 'at'>): void {
    this.violations.push({ ...violation, at: Date.now() });
  }
}
