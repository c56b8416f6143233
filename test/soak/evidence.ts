/** Types of the records that a soak passes to its auditor, and of the violations that the auditor finds. */
import type { EndlessAnswer } from './endless-answers.js';
import type { ProcessMemory } from './process-samples.js';
import type { CallRecord } from './caller.js';
import type { ProcessExit } from './process-signals.js';
import type {
  LateRefusal,
  LimitedArrival,
  PoisonArrival,
  BrittleFall,
  ReplicaViolation,
  RunRecord,
  AnnouncedArrival,
  ReplicaAnswer,
  ReplicaSilence,
} from './run-log.js';

/** A span of time, in Unix milliseconds. */
export interface TimeSpan {
  readonly from: number;
  readonly until: number;
}

/** A span in which the store had a fault; it affects all gateways unless some are listed. */
export interface StoreFault extends TimeSpan {
  readonly gateways?: ReadonlySet<string>;
}

/** A span in which some gateways were partitioned from all replicas. */
export interface BackendPartition extends TimeSpan {
  readonly gateways: ReadonlySet<string>;
  readonly how: string;
}

/** A span in which the replicas of a service were brittle. */
export interface BrittleTime extends TimeSpan {
  /** Number of replicas of the service. */
  readonly replicas: number;
}

/** Faults and stops of the gateways, as the auditor queries them. */
export interface GatewayHistory {
  /** Whether the process had any disturbance in the span: a stop, kill, pause, start or network cut. */
  wasDisturbed(gateway: string, span: TimeSpan): boolean;
  /** The same without network cuts: the process may have lost its state, or hold stale state. */
  wasInterrupted(gateway: string, span: TimeSpan): boolean;
  /** Whether the process had a disturbance other than a planned stop, including the time to recover from it. */
  hadFault(gateway: string, span: TimeSpan): boolean;
  /** Whether the process was paused during a part of the span, or its links were restored in it. */
  wasJustResumed(gateway: string, span: TimeSpan): boolean;
  /** Pauses of the process during planned stops that overlap the span. */
  pausesAtStop(gateway: string, span: TimeSpan): readonly TimeSpan[];
  /** Whether any process had a disturbance other than a planned stop, or a pause in one, including the time to recover from it. */
  anyHadFault(span: TimeSpan): boolean;
  /** When a planned stop began that overlaps the span; undefined without one. */
  stopDuring(gateway: string, span: TimeSpan): number | undefined;
}

/** One request that tests an updated configuration at one gateway. */
export interface ConfigurationProbe {
  readonly call: CallRecord;
  readonly version: number;
}

/** A span in which the load balancer sends most new connections to one gateway. */
export interface ConnectionFunnel extends TimeSpan {
  readonly gateway: string;
}

/** An attempt to take up a stream. */
export interface StreamAttempt {
  readonly call: CallRecord;
  /** Number of serving replicas of the stream's software version when the attempt was sent; 0 for the first attempt. */
  readonly replicasOfVersion: number;
  /** Number of serving replicas of other versions that held the stream's model then; 0 for the first attempt. */
  readonly othersWithModel: number;
}

/** A stream that its caller takes up again after each end before the last event. */
export interface StreamRecord {
  readonly body: string;
  /** Number of events of the whole stream. */
  readonly events: number;
  /** The first one begins the stream, unless it was refused. */
  readonly attempts: readonly StreamAttempt[];
}

/** All records of a soak. */
export interface SoakEvidence {
  readonly calls: readonly CallRecord[];
  readonly probes: readonly ConfigurationProbe[];
  readonly runs: readonly RunRecord[];
  /** Answers of replicas to the requests that they have run. */
  readonly answers: readonly ReplicaAnswer[];
  readonly observedViolations: readonly ReplicaViolation[];
  /** Arrivals at replicas that announced that they leave or requested a backoff, now or lately. */
  readonly announcedArrivals: readonly AnnouncedArrival[];
  /** Arrivals at replicas that announce a rate limit, or have announced one. */
  readonly limitedArrivals: readonly LimitedArrival[];
  /** Arrivals of requests that crash every replica that runs them. */
  readonly poisonArrivals: readonly PoisonArrival[];
  /** The arrivals of these that crashed the replica. */
  readonly poisonCrashes: readonly PoisonArrival[];
  readonly gateways: GatewayHistory;
  /** When the store accepted each version of the configuration, in Unix milliseconds. */
  readonly accepted: ReadonlyMap<number, number>;
  readonly storeFaults: readonly StoreFault[];
  /** Spans in which some replica had a fault. */
  readonly replicaFaults: readonly TimeSpan[];
  readonly backendPartitions: readonly BackendPartition[];
  readonly brittleTimes: readonly BrittleTime[];
  readonly brittleFalls: readonly BrittleFall[];
  /** Spans in which some sound replicas sent nothing, while others could serve callers. */
  readonly silentTimes: readonly TimeSpan[];
  /** The silences of each replica, also those of all replicas together. */
  readonly silences: readonly ReplicaSilence[];
  readonly funnels: readonly ConnectionFunnel[];
  readonly endlessAnswers: readonly EndlessAnswer[];
  readonly lateRefusals: readonly LateRefusal[];
  /** Most resident memory of each process. */
  readonly mostMemory: readonly ProcessMemory[];
  /** Streams of callers that take them up at other gateways. */
  readonly streams: readonly StreamRecord[];
  /** Start of the final phase without faults, in Unix milliseconds. */
  readonly faultFreeSince: number;
  /** Gateways that were lost for good. */
  readonly lostGateways: readonly string[];
  /** The gateway that owns the models at the end according to the store's record; undefined if none of them does. */
  readonly owner: string | undefined;
  /** Exits that no fault or stop of the soak caused. */
  readonly unexpectedExits: readonly ProcessExit[];
  /** Log lines of gateways about messages that they could not encode. */
  readonly unencodedMessages: readonly string[];
  /** Log lines of gateways about unexpected exceptions that ended a request, a message or a round of their work. */
  readonly unexpectedFaults: readonly string[];
  /** Log lines of gateways about backups of requests whose replicas were silent as well. */
  readonly silentBackups: readonly string[];
  /** Whether the gateways were started with a bound on how long a removed key is still served. */
  readonly promisesRevocation: boolean;
}

/** One violated guarantee. */
export interface Violation {
  readonly rule: string;
  readonly detail: string;
}

/** Whether a span overlaps one of the others. */
export function overlapsAny(span: TimeSpan, others: readonly TimeSpan[]): boolean {
  return others.some((other) => other.from <= span.until && other.until >= span.from);
}

/** Describes a call in one line. */
export function describeCall(call: CallRecord): string {
  const { request, gateway, status, sentAt, endedAt } = call;
  const outcome = status === undefined ? 'no answer' : `status ${status}`;
  const whole = call.isComplete ? 'whole' : 'cut';
  return `${request.attemptId} ${request.kind} at ${gateway}: ${outcome}, ${whole}, ${endedAt - sentAt} ms`;
}

/** Spans in which the store had a fault that affected the gateway. */
export function storeFaultsAffecting(gateway: string, { storeFaults }: SoakEvidence): StoreFault[] {
  return storeFaults.filter(({ gateways }) => gateways === undefined || gateways.has(gateway));
}
