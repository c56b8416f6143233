/*
 * Holders of one count: no two of them lend at the same time. Two daemons that may both take
 * themselves for the holder, three keepers, of which two must give their word. A daemon that
 * takes no step for a while is a frozen one, and one whose questions nobody answers is cut off;
 * questions, answers and releases take any time, or are lost. A keeper or a holder may start
 * again and know nothing.
 *
 * Only ages are counted, each on the clock of one daemon and no further than it matters:
 * the model's time has no end. Clocks are not compared.
 */

#define HOLDERS 2
#define KEEPERS 3
#define NOBODY 2
/* Processes that start again. */
#ifndef RESTARTS
#define RESTARTS 2
#endif
/* Whether holder 0 says so when it stops: a release touches only its own word. */
#ifndef RELEASES
#define RELEASES 1
#endif
/* Ticks that a keeper keeps its word; no age is counted beyond. */
#define WORD 2
/* The greatest age at which a holder's question counts. */
#ifdef HOLD_AS_LONG_AS_WORD
#define HOLD 2
#define OLD 3
#else
#define HOLD 1
#define OLD 2
#endif

#define BIT(k) (1 << (k))

/* Keepers: to whom the word was given, and for how long it has been. */
byte wordTo[KEEPERS];
byte wordAge[KEEPERS];
/* For how long a keeper has run. */
byte keeperAge[KEEPERS];

/* Holders: the age of the open question, and of the newest one that enough keepers have answered. */
byte questionAge[HOLDERS];
byte answers[HOLDERS];
byte leaseAge[HOLDERS];
/* Keepers to which a release is on its way, and those that were asked again since. */
byte releases[HOLDERS];
byte answeredSince[HOLDERS];
byte restarts = 0;

#ifdef ONE_WORD_IS_ENOUGH
#define IS_ANSWERED(h) (answers[h] != 0)
#else
#define IS_ANSWERED(h) (answers[h] == 3 || answers[h] == 5 || answers[h] == 6 || answers[h] == 7)
#endif
#ifdef LEASE_NOT_ASKED_FOR
#define MAY_LEND(h) (hasHeld[h])
bit hasHeld[HOLDERS];
#else
#define MAY_LEND(h) (leaseAge[h] <= HOLD)
#endif
#ifdef WORD_BROKEN
#define IS_FREE(k, h) (1)
#else
#define IS_FREE(k, h) (wordTo[k] == NOBODY || wordTo[k] == h || wordAge[k] >= WORD)
#endif
#ifdef YOUNG_KEEPERS_ANSWER
#define MAY_ANSWER(k) (1)
#else
#define MAY_ANSWER(k) (keeperAge[k] >= WORD)
#endif
#ifdef LATE_RELEASE
#define IS_RELEASE_CURRENT(k, h) (1)
#else
/* A release names the question before it; the keeper that has answered a later one ignores it. */
#define IS_RELEASE_CURRENT(k, h) (!(answeredSince[h] & BIT(k)))
#endif
inline grow(age) {
  if
  :: age < OLD -> age = age + 1
  :: else
  fi
}

/* The keeper hears the open question, however late, and gives its word; the answer takes any time. */
inline giveWord(k, h) {
  wordTo[k] = h; wordAge[k] = 0; answers[h] = answers[h] | BIT(k);
  answeredSince[h] = answeredSince[h] | (releases[h] & BIT(k))
}

inline hearRelease(k, h) {
  if
  :: wordTo[k] == h && IS_RELEASE_CURRENT(k, h) -> wordTo[k] = NOBODY
  :: else
  fi;
  releases[h] = releases[h] & ~BIT(k); answeredSince[h] = answeredSince[h] & ~BIT(k)
}

proctype holder(byte h) {
  do
  /* It asks all keepers, again at any time. An answer counts only for the open question. */
  :: d_step { questionAge[h] = 0;
#ifndef ANSWER_OF_ANY_QUESTION
       answers[h] = 0
#endif
     }
  :: d_step { questionAge[h] < OLD && IS_ANSWERED(h) ->
#ifdef ANSWERS_COUNT_FROM_ARRIVAL
       leaseAge[h] = 0;
#else
       leaseAge[h] = (questionAge[h] < leaseAge[h] -> questionAge[h] : leaseAge[h]);
#endif
#ifdef LEASE_NOT_ASKED_FOR
       hasHeld[h] = 1;
#endif
       questionAge[h] = OLD; answers[h] = 0 }

  /* It stops and says so; a former release that has not arrived may be lost or be late all the same. */
  :: d_step { RELEASES && h == 0 && MAY_LEND(h) && releases[h] == 0 ->
       leaseAge[h] = OLD; questionAge[h] = OLD; answers[h] = 0;
#ifdef LEASE_NOT_ASKED_FOR
       hasHeld[h] = 0;
#endif
       releases[h] = 7; answeredSince[h] = 0 }

  /* It starts again: its questions and releases may still be on their way. */
  :: d_step { restarts < RESTARTS ->
       restarts = restarts + 1; leaseAge[h] = OLD; questionAge[h] = OLD; answers[h] = 0;
#ifdef LEASE_NOT_ASKED_FOR
       hasHeld[h] = 0
#endif
     }

  /* It lends: nobody else does, at the same time. */
  :: d_step { MAY_LEND(h) -> assert(!MAY_LEND(1 - h)) }
  od
}

proctype keeper(byte k) {
  do
  :: d_step { questionAge[0] < OLD && MAY_ANSWER(k) && IS_FREE(k, 0) -> giveWord(k, 0) }
  :: d_step { questionAge[1] < OLD && MAY_ANSWER(k) && IS_FREE(k, 1) -> giveWord(k, 1) }
  :: d_step { releases[0] & BIT(k) -> hearRelease(k, 0) }
  /* A release is lost. */
  :: d_step { releases[0] & BIT(k) -> releases[0] = releases[0] & ~BIT(k); answeredSince[0] = answeredSince[0] & ~BIT(k) }
  /* It starts again and has forgotten its word. */
  :: d_step { restarts < RESTARTS ->
       restarts = restarts + 1; wordTo[k] = NOBODY; wordAge[k] = OLD; keeperAge[k] = 0 }
  od
}

init {
  byte i;
  atomic {
    for (i : 0 .. KEEPERS - 1) { wordTo[i] = NOBODY; wordAge[i] = OLD; keeperAge[i] = OLD }
    for (i : 0 .. HOLDERS - 1) { questionAge[i] = OLD; leaseAge[i] = OLD }
    run holder(0); run holder(1); run keeper(0); run keeper(1); run keeper(2);
    i = 0
  }
  do
  /* Time passes. A question that can prove nothing any more is given up. */
  :: d_step {
       for (i : 0 .. KEEPERS - 1) { grow(wordAge[i]); grow(keeperAge[i]) }
       for (i : 0 .. HOLDERS - 1) {
         grow(leaseAge[i]); grow(questionAge[i]);
         if
         :: questionAge[i] == OLD -> answers[i] = 0
         :: else
         fi
       }
       i = 0 }
  od
}
