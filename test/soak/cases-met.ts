/** Counts how often a run has met the cases that its audits judge: a run that has met none proves nothing about them. */
import { crashReports } from './audit-crashes.js';
import { judgedFunnels } from './audit-funnels.js';
import { silenceCounts } from './audit-silences.js';
import { stopCounts } from './audit-stops.js';
import { streamCounts } from './audit-streams.js';
import type { SoakEvidence } from './evidence.js';
import type { RunLog } from './run-log.js';
import type { SoakResult } from './soak-options.js';

/** What the log counts about answers. */
type AnswerCounts =
  | 'unframedStreams'
  | 'brokenStreams'
  | 'spoiledStatuses'
  | 'cutHeads'
  | 'secondAnswers'
  | 'sendsAfterSecondAnswers'
  | 'endlessAnswers';

/** Returns the counts of one run. */
export function casesMet(
  evidence: SoakEvidence,
  log: Pick<RunLog, AnswerCounts | 'crowds'>,
): Pick<
  SoakResult,
  | 'crashes'
  | 'funnels'
  | 'unframedStreams'
  | 'streams'
  | 'stops'
  | 'silences'
  | 'answerFaults'
  | 'crowds'
> {
  const { spoiledStatuses, cutHeads, secondAnswers, sendsAfterSecondAnswers } = log;
  const endlessAnswers = log.endlessAnswers.length;
  return {
    crashes: crashReports(evidence),
    funnels: { all: evidence.funnels.length, judged: judgedFunnels(evidence) },
    unframedStreams: { all: log.unframedStreams, broken: log.brokenStreams },
    streams: streamCounts(evidence),
    stops: stopCounts(evidence),
    silences: { ...silenceCounts(evidence), lateRefusals: evidence.lateRefusals.length },
    crowds: log.crowds,
    answerFaults: {
      spoiledStatuses,
      cutHeads,
      secondAnswers,
      sendsAfterSecondAnswers,
      endlessAnswers,
    },
  };
}
