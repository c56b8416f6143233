/*
 * Owners of a service whose backends do not check fencing tokens: once an order of one
 * epoch was sent, no order of a lower epoch is sent, and no two processes use the same
 * epoch. Three daemons; one record in the store, which daemon 0 holds at first. A daemon
 * that takes no step for a while is a frozen one, and a store that does so is down;
 * readings, claims, questions and answers take any time, or are lost.
 *
 * Only ages are counted, each on the clock of one daemon and no further than it matters:
 * the model's time has no end. Clocks are not compared.
 */

#define DAEMONS 3
#ifndef EPOCHS
#define EPOCHS 3
#endif
/* Processes that end: by a restart, or by leaving. */
#ifndef ENDS
#define ENDS 1
#endif
/* Which proofs there are: readings of the store, and questions to all others. */
#ifndef READINGS
#define READINGS 1
#endif
#ifndef QUESTIONS
#define QUESTIONS 1
#endif
/* Ticks that a successor waits; no age is counted beyond. */
#define WAIT 2
/* The greatest age at which an owner's proof counts. */
#ifdef HOLD_AS_LONG_AS_WAIT
#define HOLD 2
#define OLD 3
#else
#define HOLD 1
#define OLD 2
#endif

#define NOBODY 3
#define ENDED 4

/* The record: its epoch, and the process that claimed each epoch. */
byte epoch = 1;
byte ownerOf[EPOCHS + 1];
/* A claim of a process that has ended: it may still be carried out. */
byte claimOfEnded = 0;

byte known[DAEMONS];     /* the highest epoch that a daemon knows of */
byte knownAge[DAEMONS];  /* for how long it has known of it */
byte formerAge[DAEMONS]; /* an owner: for how long it has known of the epoch before */
bit owns[DAEMONS];       /* whether it owns the service, under the epoch that it knows */
byte claim[DAEMONS];     /* the epoch of its claim that was carried out, but not answered; 0: none */
byte unread[DAEMONS];    /* a process that has not read the record yet: the epoch at its start */
byte leaving = NOBODY;   /* the daemon that says that it leaves */
byte ends = 0;
/* Owners that resign, because another daemon reaches the backends and they do not: the epoch that they gave up. */
#ifndef RESIGNATIONS
#define RESIGNATIONS 0
#endif
byte resigned = 0;
byte resignations = 0;

byte proofAge[DAEMONS];
/* The age of a reading that shows the daemon's own claim, and is on its way to it. */
byte readingAge[DAEMONS];
/* The age of an owner's open question, and those who answered that they know of no higher epoch. */
byte questionAge[DAEMONS];
byte answers[DAEMONS];

/* The highest epoch that was ordered with, and by whom. */
byte highest = 1;
byte orderedBy = 0;

#define BIT(p) (1 << (p))
#define OTHERS(d) (7 - BIT(d))

#ifdef LEASE_NOT_ASKED_FOR
#define HAS_PROOF(d) (1)
#else
#define HAS_PROOF(d) (proofAge[d] <= HOLD)
#endif
#ifdef LATE_READING_PROVES
#define READS_OWN_CLAIM(d) (owns[d])
#else
#define READS_OWN_CLAIM(d) (ownerOf[epoch] == d && (claim[d] == epoch || (owns[d] && known[d] == epoch)))
#endif
#ifdef ONE_PEER_PROVES
#define IS_ANSWERED(d) (answers[d] != 0)
#else
#define IS_ANSWERED(d) (answers[d] == OTHERS(d))
#endif
#ifdef UNREAD_ANSWERS
#define MAY_ANSWER(p) (1)
#else
#define MAY_ANSWER(p) (!unread[p])
#endif
#define ANSWERS(p, d) (p != d && questionAge[d] < OLD && MAY_ANSWER(p) && known[p] <= known[d])
#define HEARS_OF(d, e) (e <= epoch && (unread[d] -> e >= unread[d] : e > known[d]))
#ifdef ANY_RESIGNATION_COUNTS
#define HAS_RESIGNED(e) (resigned > 0)
#else
#define HAS_RESIGNED(e) (resigned > 0 && resigned == e)
#endif
/* The process that claimed an epoch is known to have ended, or says that it leaves. */
#ifdef SUSPICION_ENDS_WAIT
#define HAS_ENDED(e) (1)
#else
#define HAS_ENDED(e) (ownerOf[e] == ENDED || ownerOf[e] == leaving || HAS_RESIGNED(e))
#endif
/* Owners before the former one have given up once this daemon has known of the former one for WAIT. */
#ifdef OLDER_OWNERS_FORGOTTEN
#define OLDER_ARE_OVER(d) (1)
#else
#define OLDER_ARE_OVER(d) (formerAge[d] >= WAIT)
#endif
#ifdef NO_HAND_OVER_WAIT
#define HAS_WAITED(d) (1)
#else
#define HAS_WAITED(d) (knownAge[d] >= WAIT || (HAS_ENDED(known[d] - 1) && OLDER_ARE_OVER(d)))
#endif
#define MAY_ORDER(d) (owns[d] && HAS_PROOF(d) && HAS_WAITED(d))

/* A claim names the record that it replaces. Daemons 1 and 2 are alike: daemon 2 is not the first to claim. */
#ifdef BLIND_CLAIM
#define HAS_CLAIMED(d) (known[d] == epoch || (owns[d] && known[d] == epoch + 1))
#else
#define HAS_CLAIMED(d) (known[d] == epoch && !owns[d])
#endif
#define IS_CARRIED_OUT(d) (epoch < EPOCHS && HAS_CLAIMED(d) && !unread[d] && (epoch > 1 || d != 2))

/* The look at the proof, and the send. */
#ifdef ORDER_SENT_LATE
bit decided[DAEMONS];
#define MAY_SEND(d) (decided[d])
#else
#define MAY_SEND(d) MAY_ORDER(d)
#endif

inline grow(age) {
  if
  :: age < OLD -> age = age + 1
  :: else
  fi
}

inline prove(d, age) {
  if
  :: age < proofAge[d] -> proofAge[d] = age
  :: else
  fi
}

inline forgetQuestion(d) {
  questionAge[d] = OLD; answers[d] = 0
}

inline giveUp(d) {
  owns[d] = 0; formerAge[d] = OLD; proofAge[d] = OLD; readingAge[d] = OLD; forgetQuestion(d);
#ifdef ORDER_SENT_LATE
  decided[d] = 0
#endif
}

/* A higher epoch ends the ownership under a lower one. */
inline learn(d, e) {
  if
  :: e > known[d] -> known[d] = e; knownAge[d] = 0; giveUp(d)
  :: else
  fi;
  if
  :: claim[d] < known[d] -> claim[d] = 0
  :: else
  fi
}

/* The wait counts from here, also if others had told of the claim before. */
inline win(d, e, age) {
  if
  :: known[d] + 1 == e -> age = knownAge[d]
  :: else -> age = 0
  fi;
  learn(d, e);
  if
  :: d != leaving && known[d] == e -> owns[d] = 1; knownAge[d] = 0; formerAge[d] = age
  :: else
  fi;
  claim[d] = 0; age = 0
}

proctype daemon(byte d) {
  byte e;
  byte age;
  do
  /* It reads the record. The age counts from the store's look: a question asked earlier proves less. */
  :: d_step { READINGS && READS_OWN_CLAIM(d) -> readingAge[d] = 0 }
  :: d_step { owns[d] && readingAge[d] < OLD -> prove(d, readingAge[d]); readingAge[d] = OLD }

  /* An owner asks all others, again at any time. An answer counts only for the open question. */
  :: d_step { QUESTIONS && owns[d] -> questionAge[d] = 0;
#ifndef ANSWER_OF_ANY_QUESTION
       answers[d] = 0
#endif
     }
  :: d_step { ANSWERS(0, d) -> answers[d] = answers[d] | BIT(0) }
  :: d_step { ANSWERS(1, d) -> answers[d] = answers[d] | BIT(1) }
  :: d_step { ANSWERS(2, d) -> answers[d] = answers[d] | BIT(2) }
  :: d_step { questionAge[d] < OLD && IS_ANSWERED(d) -> prove(d, questionAge[d]); forgetQuestion(d) }

  /* It hears of an epoch, or reads of it, however late. */
  :: d_step { HEARS_OF(d, 1) -> unread[d] = 0; learn(d, 1) }
  :: d_step { HEARS_OF(d, 2) -> unread[d] = 0; learn(d, 2) }
  :: d_step { HEARS_OF(d, 3) -> unread[d] = 0; learn(d, 3) }

  /* The store carries out its claim, at any time after it was sent; also when it has left meanwhile. */
  :: d_step { IS_CARRIED_OUT(d) -> epoch = epoch + 1; ownerOf[epoch] = d; claim[d] = epoch }
  /* The answer, or a reading that shows the claim, arrives. */
  :: d_step { claim[d] -> e = claim[d]; win(d, e, age); e = 0 }
#ifdef BLIND_CLAIM
  :: d_step { !owns[d] && d != leaving && !unread[d] && known[d] < EPOCHS ->
       e = known[d] + 1; win(d, e, age); e = 0 }
#endif

  /* It gives up for a reason of its own, and still knows its epoch. */
  :: d_step { owns[d] -> giveUp(d);
#ifdef EPOCH_FORGOTTEN
       known[d] = 0
#endif
     }
  /* It resigns: it orders no more under its epoch, and then tells the others. It may claim a higher one later. */
  :: d_step { resignations < RESIGNATIONS && owns[d] -> resignations = resignations + 1;
       resigned = known[d];
#ifndef RESIGNS_BEFORE_LAST_ORDER
       giveUp(d)
#endif
     }
  /* It says that it leaves: it orders no more, and takes no claim for won. */
  :: d_step { ends < ENDS && leaving == NOBODY -> ends = ends + 1; giveUp(d); leaving = d }
  /* It starts again, as a new process that knows nothing; a claim of the former one may be on its way. */
  :: d_step { ends < ENDS -> ends = ends + 1;
       if
       :: known[d] == epoch && !owns[d] -> claimOfEnded = epoch + 1
       :: else
       fi;
       for (e : 1 .. EPOCHS) {
         if
         :: ownerOf[e] == d -> ownerOf[e] = ENDED
         :: else
         fi
       }
       e = 0;
       if
       :: orderedBy == d -> orderedBy = ENDED
       :: else
       fi;
       if
       :: leaving == d -> leaving = NOBODY
       :: else
       fi;
       giveUp(d);
       claim[d] = 0; known[d] = 0; knownAge[d] = 0; unread[d] = epoch }

#ifdef ORDER_SENT_LATE
  :: d_step { MAY_ORDER(d) -> decided[d] = 1 }
#endif
  :: d_step { MAY_SEND(d) ->
       assert(known[d] > highest || (known[d] == highest && orderedBy == d));
       highest = known[d]; orderedBy = d }
  od
}

init {
  byte d;
  byte e;
  atomic {
    ownerOf[0] = ENDED; ownerOf[1] = 0;
    for (e : 2 .. EPOCHS) { ownerOf[e] = NOBODY }
    for (d : 0 .. DAEMONS - 1) {
      known[d] = 1; knownAge[d] = OLD; formerAge[d] = OLD;
      proofAge[d] = OLD; readingAge[d] = OLD; questionAge[d] = OLD
    }
    owns[0] = 1;
    run daemon(0); run daemon(1); run daemon(2);
    d = 0; e = 0
  }
  do
  /* Time passes. A question that can prove nothing any more is given up. */
  :: d_step {
       for (d : 0 .. DAEMONS - 1) {
         grow(knownAge[d]); grow(formerAge[d]); grow(proofAge[d]);
#ifndef READING_COUNTS_FROM_ARRIVAL
         grow(readingAge[d]);
#endif
#ifndef ANSWERS_COUNT_FROM_ARRIVAL
         grow(questionAge[d]);
#endif
         if
         :: questionAge[d] == OLD -> answers[d] = 0
         :: else
         fi
       }
       d = 0 }
  :: d_step { claimOfEnded == epoch + 1 && epoch < EPOCHS ->
       epoch = epoch + 1; ownerOf[epoch] = ENDED; claimOfEnded = 0 }
  :: d_step { claimOfEnded && claimOfEnded <= epoch -> claimOfEnded = 0 }
  od
}
