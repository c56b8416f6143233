/** Log of what the replicas of a soak observed: runs, arrivals and violated guarantees. */
import type http from 'node:http';
import type { CrowdRecord } from './crowd.js';
import type { EndlessAnswer } from './endless-answers.js';

/** A brittle replica that fell over because it had to reject too many requests. */
export interface BrittleFall {
  readonly replica: string;
  /** Unix milliseconds. */
  readonly at: number;
}

/** A request that a replica has started to run. */
export interface RunRecord {
  readonly attemptId: string;
  readonly replica: string;
  /** As given by the gateway. */
  readonly tenant: string | undefined;
  /** Unix milliseconds. */
  readonly at: number;
}

/** What a replica sent of its answer to a request that it runs. */
export interface ReplicaAnswer {
  readonly attemptId: string;
  readonly replica: string;
  /** Start of the run, in Unix milliseconds. */
  readonly from: number;
  /** When it last wrote a part of the answer, in Unix milliseconds; 0 if never. */
  lastSentAt: number;
  /** When the answer was sent in full or its connection ended, in Unix milliseconds. */
  endedAt: number;
  /** Whether the answer was sent in full. */
  isWhole: boolean;
}

/** A span in which a sound replica sent nothing, and then went on. */
export interface ReplicaSilence {
  /** Id of its process. */
  readonly replica: string;
  readonly service: string;
  /** Unix milliseconds. */
  readonly from: number;
  readonly until: number;
}

/** A violated guarantee that a replica observed. */
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
  /** The gateway that sent the order. */
  readonly sender?: string;
  /** The request that the violation concerns. */
  readonly attemptId?: string;
}

/** Arrival at a replica of a request that crashes every replica that runs it. */
export interface PoisonArrival {
  /** Name of the request; each attempt has its own id. */
  readonly name: string;
  readonly attemptId: string;
  readonly replica: string;
  /** Unix milliseconds. */
  readonly at: number;
}

/** Arrival at a replica whose responses announce that it leaves, or request a backoff. */
export interface AnnouncedArrival {
  readonly attemptId: string;
  readonly replica: string;
  /** Unix milliseconds. */
  readonly at: number;
  readonly announcesLeaving: boolean;
  /** Backoff that the response requests, in milliseconds; 0 for none. */
  readonly backoffMs: number;
}

/** Arrival at a replica whose responses announce a rate limit, or have announced one. */
export interface LimitedArrival {
  readonly attemptId: string;
  readonly replica: string;
  /** Unix milliseconds. */
  readonly at: number;
  /** Announced limit in requests a second; undefined if the response announces none. */
  readonly perSecond: number | undefined;
}

/** A request that a replica refused after a delay. */
export interface LateRefusal {
  readonly attemptId: string;
  /** Unix milliseconds. */
  readonly at: number;
}

/** Names of the lists that the auditor needs. */
type RecordName =
  | 'runs'
  | 'answers'
  | 'silences'
  | 'brittleFalls'
  | 'announcedArrivals'
  | 'limitedArrivals'
  | 'poisonArrivals'
  | 'poisonCrashes'
  | 'endlessAnswers'
  | 'lateRefusals';

/** Shared by all replicas of one soak. */
export class RunLog {
  /** Crowds of callers that did not behave, once they have left. */
  readonly crowds: CrowdRecord[] = [];
  readonly runs: RunRecord[] = [];
  readonly answers: ReplicaAnswer[] = [];
  readonly violations: ReplicaViolation[] = [];
  readonly announcedArrivals: AnnouncedArrival[] = [];
  readonly limitedArrivals: LimitedArrival[] = [];
  readonly poisonArrivals: PoisonArrival[] = [];
  readonly poisonCrashes: PoisonArrival[] = [];
  readonly brittleFalls: BrittleFall[] = [];
  readonly silences: ReplicaSilence[] = [];
  loads = 0;
  readonly lateRefusals: LateRefusal[] = [];
  /** Streams without a length or chunks, and how many of them ended within an event. */
  unframedStreams = 0;
  brokenStreams = 0;
  /** Answers with a status that HTTP does not allow. */
  spoiledStatuses = 0;
  /** Number of answers that were cut off within their head or right after it. */
  cutHeads = 0;
  readonly endlessAnswers: EndlessAnswer[] = [];
  /** Second answers that were sent where the next answer on a connection should come. */
  secondAnswers = 0;
  /** Sends to a replica of a request whose rejection there is answered a second time. */
  sendsAfterSecondAnswers = 0;

  /** What the auditor needs of the log. */
  get records(): Pick<RunLog, RecordName> & { observedViolations: ReplicaViolation[] } {
    const { runs, answers, silences, violations: observedViolations, brittleFalls } = this;
    const { announcedArrivals, limitedArrivals, poisonArrivals, poisonCrashes } = this;
    const arrivals = { announcedArrivals, limitedArrivals, poisonArrivals, poisonCrashes };
    const { endlessAnswers, lateRefusals } = this;
    return {
      runs,
      answers,
      silences,
      observedViolations,
      brittleFalls,
      endlessAnswers,
      lateRefusals,
      ...arrivals,
    };
  }

  recordRun(attemptId: string, replica: string, tenant: string | undefined): void {
    this.runs.push({ attemptId, replica, tenant, at: Date.now() });
  }

  /** Records what a replica sends in a response. */
  recordAnswer(attemptId: string, replica: string, response: http.ServerResponse): ReplicaAnswer {
    const sent = { lastSentAt: 0, endedAt: Infinity, isWhole: false };
    const answer: ReplicaAnswer = { attemptId, replica, from: Date.now(), ...sent };
    this.answers.push(answer);
    response.once('finish', () => (answer.isWhole = true));
    const end = (): void => void (answer.endedAt = Math.min(answer.endedAt, Date.now()));
    response.once('finish', end);
    response.once('close', end);
    return answer;
  }

  recordViolation(violation: Omit<ReplicaViolation, 'at'>): void {
    this.violations.push({ ...violation, at: Date.now() });
  }
}
