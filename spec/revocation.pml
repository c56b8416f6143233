/*
 * A key that is taken away is not served LEASE ticks later, by any daemon, whatever
 * is cut off, frozen or late. Daemon 0 reads the store; daemon 1 asks daemon 0, and
 * daemon 2 asks daemon 1. Each holds a proof: the time up to which its configuration
 * is known to be current. A daemon that takes no step for a while is a frozen one;
 * questions, answers and documents arrive at any later time, or never. Ages count on
 * the clock of one daemon only; clocks are not compared.
 */

#define DAEMONS 3
/* Ticks of the steady time; 0 stands for never. */
#define START 1
#define END 5
#define LEASE 2
#define RESTARTS 1

byte now = START;
bit removed = 0;      /* the store's version: 1 lacks the key */
byte removedAt = 0;   /* when the store acknowledged that */

bit version[DAEMONS];
byte proven[DAEMONS]; /* 0: never */
byte restarts = 0;

/* Daemon 0 and the store: a question, and the version that the store answered with. */
bit readAsked = 0;
bit readAnswered = 0;
byte readAt = 0;
bit readVersion = 0;

/* A daemon and the one before it. */
bit asked[DAEMONS];
byte askedAt[DAEMONS];
bit answered[DAEMONS];
bit answerVersion[DAEMONS];
byte answerAge[DAEMONS];

#define IS_CURRENT(d) (proven[d] && now - proven[d] <= LEASE)

#ifdef READ_COUNTS_FROM_ARRIVAL
#define READ_PROOF now
#else
#define READ_PROOF readAt
#endif
#ifdef AGE_COUNTS_FROM_ARRIVAL
#define ASKED_AT(d) now
#else
#define ASKED_AT(d) askedAt[d]
#endif
#ifdef AGE_IGNORED
#define AGE(d) 0
#else
#define AGE(d) answerAge[d]
#endif
#ifdef PROOF_OF_OTHER_VERSION
#define HAS_VERSION(d) (1)
#else
#define HAS_VERSION(d) (version[d] >= answerVersion[d])
#endif
#ifdef LEASE_NOT_ASKED_FOR
#define MAY_SEND(d) (proven[d] && !version[d])
#else
#define MAY_SEND(d) (IS_CURRENT(d) && !version[d])
#endif

/* ConfigurationLease.addProof: proofs only grow. */
inline prove(d, at) {
  if
  :: at > proven[d] -> proven[d] = at
  :: else
  fi
}

/* The answer to a question that was given up must not count for a later one. */
inline forgetAnswer(d) {
#ifdef ANSWER_OF_ANY_QUESTION
  skip
#else
  answered[d] = 0; answerAge[d] = 0; answerVersion[d] = 0
#endif
}

byte d;

init {
  do
  :: atomic { now < END -> now = now + 1 }
  :: atomic { !removed -> removed = 1; removedAt = now }

  /* Daemon 0 reads the store. */
  :: atomic { readAsked = 1; readAnswered = 0; readVersion = 0; readAt = now }
  :: atomic { readAsked && !readAnswered -> readAnswered = 1;
#ifdef LATE_READ_PROVES
       if
       :: readVersion = removed
       :: readVersion = 0
       fi
#else
       readVersion = removed
#endif
     }
  :: atomic { readAnswered ->
       version[0] = version[0] | readVersion;
       prove(0, READ_PROOF);
       readAsked = 0; readAnswered = 0; readVersion = 0; readAt = 0 }

  /* A daemon asks the one before it, again at any time. */
  :: atomic { select(d : 1 .. DAEMONS - 1);
       asked[d] = 1; askedAt[d] = now; forgetAnswer(d); d = 0 }
  :: atomic { select(d : 1 .. DAEMONS - 1);
       if
       :: asked[d] && !answered[d] && IS_CURRENT(d - 1) ->
          answered[d] = 1;
          answerAge[d] = now - proven[d - 1];
          answerVersion[d] = version[d - 1]
       :: else
       fi;
       d = 0 }
  :: atomic { select(d : 1 .. DAEMONS - 1);
       if
       :: asked[d] && answered[d] && HAS_VERSION(d) ->
          prove(d, ASKED_AT(d) - AGE(d));
          asked[d] = 0; askedAt[d] = 0;
          answered[d] = 0; answerAge[d] = 0; answerVersion[d] = 0
       :: else
       fi;
       d = 0 }
  /* The configuration itself comes on a way of its own. */
  :: atomic { select(d : 1 .. DAEMONS - 1); version[d] = version[d] | version[d - 1]; d = 0 }

  /* A daemon starts again and knows nothing: its version counts as old until it has a proof. */
  :: atomic { restarts < RESTARTS ->
       restarts = restarts + 1;
       version[1] = 0; proven[1] = 0;
       asked[1] = 0; askedAt[1] = 0;
       answered[1] = 0; answerAge[1] = 0; answerVersion[1] = 0 }

  /* A request with the key is sent to a backend. */
  :: atomic { select(d : 0 .. DAEMONS - 1);
       if
       :: MAY_SEND(d) -> assert(!removed || now - removedAt <= LEASE)
       :: else
       fi;
       d = 0 }
  od
}
