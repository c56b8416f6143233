/**
 * Which daemon may lend what one daemon counts for all, a tenant's limit for example. By rank each
 * daemon works out the holder from its own view of the group, and views differ for seconds when a
 * machine is cut off or frozen. So a holder lends only under a lease: the words (votes) of a majority
 * of a few keepers (voters), aged from the question that they answer. A keeper gives its word to one holder at a
 * time, for longer than a lease lasts, so that no two holders lend at once. No clocks are compared,
 * and a message in flight lengthens nothing. `spec/holder.pml` is its model. Pure; times are
 * milliseconds of a steady clock.
 */
import { rankCandidates } from '../../common/rendezvous.js';
import { NewestProof } from '../newest-proof.js';
import type { ShareMember } from './limit-shares.js';

/** A lease lasts so long after its question: two questions may get no answer. */
export const HOLD_MS = 1_000;
/** What a holder lends at the end of its lease may be used so much later by the daemon that asked for it. */
const LOAN_ON_ITS_WAY_MS = 200;
/** Clocks run at slightly different speeds, and a look at the lease takes a moment. */
const CLOCK_MARGIN_MS = 50;
/** A keeper keeps its word for so long; short, for a successor waits for it. */
export const WORD_MS = HOLD_MS + LOAN_ON_ITS_WAY_MS + CLOCK_MARGIN_MS;
/**
 * Sizes of a group of keepers: two may fail of the larger. Even ones, for of two groups that differ by
 * one keeper any two majorities have a keeper in common.
 */
const KEEPER_COUNTS = [6, 4];
/** Words that one keeper remembers; names come from other daemons and must not fill its memory. */
const MOST_WORDS = 10_000;

/** A holder's question. */
export interface LeaseQuestion {
  /** What is held. */
  readonly name: string;
  readonly holder: string;
  /**
   * Start of the holder's process in Unix milliseconds: tells it from its former ones, which have
   * ended and whose count is lost.
   */
  readonly process: number;
  /** Higher in each later question of the holder, also after it has started again. */
  readonly sequence: number;
  /**
   * The most that the holder lends to itself until it asks again, in units of what is counted: a successor cannot learn from
   * anybody else what one that is gone has used.
   */
  readonly ownCeiling: number;
}

/** A holder that had the keeper's word before, maybe a former process at the same address. */
export interface FormerHolder {
  readonly holder: string;
  /** The most that it can have lent to itself, as it told last. */
  readonly ownCeiling: number;
}

/** A keeper's answer. */
export interface LeaseAnswer {
  readonly isGiven: boolean;
  /** Milliseconds for which the keeper has given its word to nobody else; it knows nothing from before its start. */
  readonly soleMs: number;
  /** The last other holder, as long as that is remembered. */
  readonly former: FormerHolder | undefined;
}

/** The keepers of a name, from several zones as far as there are any. */
export function keepersOf(name: string, candidates: readonly ShareMember[]): string[] {
  const zoneOf = new Map(candidates.map(({ address, zone }) => [address, zone]));
  const ranked = rankCandidates(`keeper/${name}`, [...zoneOf.keys()]);
  const size = KEEPER_COUNTS.find((count) => count <= ranked.length) ?? ranked.length;
  const placeInZone = new Map<string | undefined, number>();
  const places = ranked.map((address, rank) => {
    const zone = zoneOf.get(address);
    const place = placeInZone.get(zone) ?? 0;
    placeInZone.set(zone, place + 1);
    return { address, rank, place };
  });
  places.sort((a, b) => a.place - b.place || a.rank - b.rank);
  return places.slice(0, size).map(({ address }) => address);
}

/** Keepers that must give their word. */
export function majorityOf(keepers: number): number {
  return Math.floor(keepers / 2) + 1;
}

interface OpenQuestion {
  readonly askedAt: number;
  readonly ownCeiling: number;
  readonly keepers: readonly string[];
  readonly answers: Map<string, LeaseAnswer>;
}

/** What the keepers say of the time before a lease. */
export interface LeaseHistory {
  /** Milliseconds for which nobody else can have had the lease, as far as the keepers know. */
  readonly soleMs: number;
  readonly formers: readonly FormerHolder[];
}

/** The lease of one holder on one name. */
export class HolderLease {
  private readonly questions = new Map<number, OpenQuestion>();
  private proof = new NewestProof();
  private lastAskedAt = -Infinity;
  /** The latest question that most keepers have answered. */
  private answered = -Infinity;

  /** Notes a question that is asked now. Answers to earlier ones still count, each for its own question. */
  ask(sequence: number, ownCeiling: number, keepers: readonly string[], now: number): void {
    this.lastAskedAt = now;
    for (const [earlier, { askedAt }] of this.questions) {
      if (now - askedAt > HOLD_MS) this.questions.delete(earlier);
    }
    this.questions.set(sequence, { askedAt: now, ownCeiling, keepers, answers: new Map() });
  }

  /**
   * Takes a keeper's answer. Returns what the keepers say of the past once most have given their word to
   * the same question, and with each further answer to it; undefined before.
   */
  hear(keeper: string, sequence: number, answer: LeaseAnswer): LeaseHistory | undefined {
    const question = this.questions.get(sequence);
    if (question === undefined || !question.keepers.includes(keeper)) return undefined;
    if (!answer.isGiven) return undefined;
    question.answers.set(keeper, answer);
    const answers = [...question.answers.values()];
    if (answers.length < majorityOf(question.keepers.length)) return undefined;
    this.proof.prove(question.askedAt);
    this.answered = Math.max(this.answered, sequence);
    const formers = answers.flatMap(({ former }) => (former === undefined ? [] : [former]));
    return { soleMs: Math.min(...answers.map(({ soleMs }) => soleMs)), formers };
  }

  /** Whether the holder may lend now: to be asked in the same turn as it lends. */
  holds(now: number): boolean {
    return this.ageMs(now) <= HOLD_MS;
  }

  /** Milliseconds since the question of the lease; infinite without one. */
  ageMs(now: number): number {
    return this.proof.ageMs(now);
  }

  /** The most that the holder may lend to itself: what the keepers know whatever questions have reached them. */
  ownCeiling(): number {
    const known = [...this.questions].filter(([sequence]) => sequence >= this.answered);
    return known.length === 0 ? 0 : Math.min(...known.map(([, { ownCeiling }]) => ownCeiling));
  }

  /** Whether a question that is not old covers so much that the holder would lend to itself. */
  hasAskedFor(units: number, withinMs: number, now: number): boolean {
    const { questions } = this;
    return [...questions.values()].some(
      ({ askedAt, ownCeiling }) => now - askedAt < withinMs && ownCeiling >= units,
    );
  }

  /** Milliseconds since the last question. */
  sinceAskedMs(now: number): number {
    return now - this.lastAskedAt;
  }

  /** The holder lends no more; answers that are on their way count for nothing. */
  release(): void {
    this.proof = new NewestProof();
    this.questions.clear();
    this.lastAskedAt = -Infinity;
    this.answered = -Infinity;
  }
}

interface Word extends LeaseQuestion {
  sequence: number;
  ownCeiling: number;
  /** When the word was given last, and to this holder first; a released one has ended. */
  givenAt: number;
  soleSince: number;
  isReleased: boolean;
  former: FormerHolder | undefined;
}

/** The words of one keeper. */
export class LeaseKeeper {
  private readonly words = new Map<string, Word>();

  /**
   * @param startedAt - Steady time. A former process at this address may have given words.
   * @param rememberMs - Milliseconds for which former holders are remembered.
   */
  constructor(
    private readonly startedAt: number,
    private readonly rememberMs: number,
  ) {}

  /**
   * Gives the keeper's word, or not: not while another holder has it, not for {@link WORD_MS} after
   * the keeper's start, and not when its memory is full.
   *
   * @param isOnlyKeeper - The holder is alone in the list: a former process of its own has ended.
   */
  answer(question: LeaseQuestion, now: number, isOnlyKeeper = false): LeaseAnswer {
    const word = this.words.get(question.name);
    const isYoung = now - this.startedAt < WORD_MS && !isOnlyKeeper;
    const isAnothers = word !== undefined && word.holder !== question.holder;
    const isKept = isAnothers && !word.isReleased && now - word.givenAt < WORD_MS;
    if (isYoung || isKept || !this.hasRoom(question.name, now)) {
      return { isGiven: false, soleMs: 0, former: undefined };
    }
    const given = this.give(question, word, now);
    return { isGiven: true, soleMs: now - given.soleSince, former: given.former };
  }

  /** A holder lends no more. A word that was given after its release stays. */
  release(name: string, holder: string, sequence: number): void {
    const word = this.words.get(name);
    if (word === undefined || word.holder !== holder || word.sequence > sequence) return;
    word.isReleased = true;
  }

  private give(question: LeaseQuestion, word: Word | undefined, now: number): Word {
    const { holder, process, sequence, ownCeiling } = question;
    if (word !== undefined && word.holder === holder && word.process === process) {
      word.sequence = Math.max(word.sequence, sequence);
      Object.assign(word, { ownCeiling, givenAt: now, isReleased: false });
      if (now - word.soleSince > this.rememberMs) word.former = undefined;
      return word;
    }
    // Who has released its word is there to tell of itself what it lent.
    const isTold = word === undefined || word.isReleased;
    const former = isTold ? undefined : { holder: word.holder, ownCeiling: word.ownCeiling };
    const soleSince = word === undefined ? this.startedAt : now;
    const isReleased = false;
    const given = { ...question, givenAt: now, soleSince, isReleased, former };
    this.words.set(question.name, given);
    return given;
  }

  /** Words that matter to nobody any more make room for others. */
  private hasRoom(name: string, now: number): boolean {
    if (this.words.size < MOST_WORDS || this.words.has(name)) return true;
    for (const [other, { givenAt }] of this.words) {
      if (now - givenAt > this.rememberMs) this.words.delete(other);
    }
    return this.words.size < MOST_WORDS;
  }
}
