/**
 * Finds streams that hold events of two software versions, lack events or repeat them, and runs in which callers could take up
 * streams much less often than begin them. Pure.
 */
import type { CallRecord } from './caller.js';
import type { SoakEvidence, StreamAttempt, StreamRecord, Violation } from './evidence.js';
import { streamText, versionsIn } from './expected-events.js';
import { completeEvents } from './resuming-callers.js';

/** Time for which a gateway must have been undisturbed before an attempt that counts. */
const CONTACT_MS = 3_000;
/** Number of replicas of the stream's version from which on an attempt counts. */
const MIN_REPLICAS = 2;
/** Smallest number of attempts for a comparison. */
const MIN_ATTEMPTS = 12;
/** Part of the share of new streams that begin which the share of resumed streams that go on must reach. */
const MIN_RATIO = 0.5;

/** How often callers could begin and take up streams at undisturbed gateways. */
export interface StreamCounts {
  readonly begun: number;
  readonly starts: number;
  readonly goneOn: number;
  readonly resumptions: number;
  /** Attempts to resume a stream, at any gateway, while a replica of another version held its model. */
  readonly withOtherVersion: number;
  /** Attempts to resume a stream without the name of the attempt that began it, and how many of them went on. */
  readonly unnamed: number;
  readonly unnamedGoneOn: number;
  /** Attempts without that name that were sent while a replica of another version held the stream's model. */
  readonly unnamedWithOtherVersion: number;
}

/** Counts the streams of a run. */
export function streamCounts(evidence: SoakEvidence): StreamCounts {
  const isInTouch = ({ call }: StreamAttempt): boolean =>
    !evidence.gateways.wasDisturbed(call.gateway, {
      from: call.sentAt - CONTACT_MS,
      until: Math.max(call.endedAt, call.sentAt),
    });
  const all = evidence.streams.flatMap((stream) => stream.attempts);
  const attempts = all.filter(isInTouch);
  const starts = attempts.filter(({ call }) => call.request.resumes === undefined);
  const resumptions = attempts.filter(
    // A stream of a caller that names no attempt may be refused while there are several versions.
    ({ call, replicasOfVersion }) =>
      call.request.resumes?.attemptId !== undefined && replicasOfVersion >= MIN_REPLICAS,
  );
  const unnamed = all.filter(({ call: { request } }) => {
    return request.resumes !== undefined && request.resumes.attemptId === undefined;
  });
  return {
    begun: starts.filter(({ call }) => hasEvents(call)).length,
    starts: starts.length,
    goneOn: resumptions.filter(({ call }) => hasEvents(call)).length,
    resumptions: resumptions.length,
    withOtherVersion: all.filter(({ othersWithModel }) => othersWithModel > 0).length,
    unnamed: unnamed.length,
    unnamedGoneOn: unnamed.filter(({ call }) => hasEvents(call)).length,
    unnamedWithOtherVersion: unnamed.filter(({ othersWithModel }) => othersWithModel > 0).length,
  };
}

/** Returns the violations of all streams. */
export function auditStreams(evidence: SoakEvidence): Violation[] {
  return [...evidence.streams.flatMap(auditStream), ...auditResumptions(evidence)];
}

function auditStream(stream: StreamRecord): Violation[] {
  const found: Violation[] = [];
  const text = stream.attempts.map(({ call }) => completeEvents(call)).join('');
  const detail = stream.attempts
    .map(({ call }) => {
      const { request, gateway, status = 'no answer' } = call;
      return `${request.attemptId} at ${gateway}: ${status} ${versionsIn(call.text).join('+')}`;
    })
    .join(', ');
  const versions = versionsIn(text);
  if (versions.length > 1) found.push({ rule: 'two_versions', detail });
  const [version] = versions;
  if (
    versions.length <= 1 &&
    !streamText(stream.body, stream.events, 0, version).startsWith(text)
  ) {
    found.push({ rule: 'wrong_stream', detail });
  }
  return found;
}

function auditResumptions(evidence: SoakEvidence): Violation[] {
  const { begun, starts, goneOn, resumptions } = streamCounts(evidence);
  if (resumptions < MIN_ATTEMPTS || starts < MIN_ATTEMPTS) return [];
  if (goneOn / resumptions >= (MIN_RATIO * begun) / starts) return [];
  const detail = `${goneOn} of ${resumptions} went on, ${begun} of ${starts} new ones began`;
  return [{ rule: 'resumptions_refused', detail }];
}

function hasEvents(call: CallRecord): boolean {
  return call.status === 200 && completeEvents(call) !== '';
}
