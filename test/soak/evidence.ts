/** What a soak leaves behind for its auditor, and what the auditor finds. */
import type { CallRecord } from './caller.js';
import type {
  LimitedArrival,
  PoisonArrival,
  ReplicaViolation,
  RunRecord,
  ToldArrival,
} from './run-log.js';

/** A time, in Unix milliseconds. */
export interface TimeSpan {
  readonly from: number;
  readonly until: number;
}

/** A time in which the store was not sound, towards some gateways only if these are named. */
export interface StoreFault extends TimeSpan {
  readonly gateways?: ReadonlySet<string>;
}

/** What was done to the gateways, as the auditor asks for it. */
export interface GatewayHistory {
  /** Whether anything was done to the process in that time: a signal, a standstill, a start. */
  wasDisturbed(gateway: string, span: TimeSpan): boolean;
  /** The same without cuts of its links: what the process knew may be gone, or old. */
  wasInterrupted(gateway: string, span: TimeSpan): boolean;
  /** Whether anything was done but planned stops, with some time to get over it. */
  wasHarmed(gateway: string, span: TimeSpan): boolean;
  /** Whether the process was held up for a part of that time, or its links healed in it. */
  wasJustFreed(gateway: string, span: TimeSpan): boolean;
  /** When the gateway was asked to stop in that time. */
  stopDuring(gateway: string, span: TimeSpan): number | undefined;
}

/** One try of a changed configuration at one gateway. */
export interface ConfigurationProbe {
  readonly call: CallRecord;
  readonly version: number;
}

/** All that a soak has left behind. */
export interface SoakEvidence {
  readonly calls: readonly CallRecord[];
  readonly probes: readonly ConfigurationProbe[];
  readonly runs: readonly RunRecord[];
  readonly replicaViolations: readonly ReplicaViolation[];
  /** Requests that came to replicas which told something in their answers, or had lately. */
  readonly toldArrivals: readonly ToldArrival[];
  /** Requests that came to replicas which name a rate limit in their answers, or have named one. */
  readonly limitedArrivals: readonly LimitedArrival[];
  /** Requests that crash what runs them, as they came to replicas. */
  readonly poisonArrivals: readonly PoisonArrival[];
  /** Those that have crashed the replica. */
  readonly poisonCrashes: readonly PoisonArrival[];
  readonly gateways: GatewayHistory;
  /** When versions of the configuration were accepted, in Unix milliseconds. */
  readonly accepted: ReadonlyMap<number, number>;
  readonly storeFaults: readonly StoreFault[];
  /** Times in which some replica was not sound. */
  readonly replicaFaults: readonly TimeSpan[];
  /** Since when nothing was done to anything. */
  readonly calmSince: number;
  readonly unaskedExits: number;
  /** Whether the gateways were started with a bound for keys that are taken away. */
  readonly promisesRevocation: boolean;
}

/** One broken promise. */
export interface Violation {
  readonly rule: string;
  readonly detail: string;
}

/** Whether a time shares a moment with one of others. */
export function overlapsAny(span: TimeSpan, others: readonly TimeSpan[]): boolean {
  return others.some((other) => other.from <= span.until && other.until >= span.from);
}

/** One line about a call. */
export function describeCall(call: CallRecord): string {
  const { request, gateway, status, sentAt, endedAt } = call;
  const outcome = status === undefined ? 'no answer' : `status ${status}`;
  const whole = call.isWhole ? 'whole' : 'cut';
  return `${request.attemptId} ${request.kind} at ${gateway}: ${outcome}, ${whole}, ${endedAt - sentAt} ms`;
}

/** Times in which the store was not sound towards a gateway. */
export function storeFaultsTowards(gateway: string, { storeFaults }: SoakEvidence): StoreFault[] {
  return storeFaults.filter(({ gateways }) => gateways === undefined || gateways.has(gateway));
}
