/*
 * One request that may not be repeated: a router sends it to one of two engines,
 * connections break, the request may arrive late, engines restart, streams are
 * resumed, and what cannot be resumed is cancelled. It runs at most once, and a
 * refusal that says "not run" is true for ever.
 */

#define ENGINES 2
#define MAX_RESTARTS 1
#define MAX_SENDS 3

#define WAITING 0
#define SENT 1
#define STARTED 2
#define CANCELLING 3
#define ENDED 4

byte phase = WAITING;
byte engine = 0;
bit sentIncarnation = 0;
byte sends = 0;
bit refusedNotRun = 0;

/* Engines. */
bit incarnation[ENGINES];
bit known[ENGINES];
bit cancelled[ENGINES];
byte runs = 0;

/* The request on its way to each engine; it may arrive after the connection broke. */
bit onItsWay[ENGINES];
bit wayIncarnation[ENGINES];

/* The last word of each engine on its way back. */
bit refusalReady[ENGINES];

#ifdef REQUEST_WITHOUT_INCARNATION
#define IS_MEANT(e) (1)
#else
#define IS_MEANT(e) (wayIncarnation[e] == incarnation[e])
#endif
#ifdef NO_TOMBSTONE
#define IS_CANCELLED(e) (0)
#else
#define IS_CANCELLED(e) (cancelled[e])
#endif
#ifdef CANCEL_OF_ANY_INCARNATION
#define SAME_PROCESS(e) (1)
#else
#define SAME_PROCESS(e) (incarnation[e] == sentIncarnation)
#endif

inline send(e) {
  phase = SENT;
  engine = e;
  sentIncarnation = incarnation[e];
  sends = sends + 1;
  onItsWay[e] = 1;
  wayIncarnation[e] = incarnation[e];
  refusalReady[e] = 0
}

/* The engine takes the request: runs it, or refuses it before running. */
inline take(e) {
  onItsWay[e] = 0;
  if
  :: IS_MEANT(e) && !IS_CANCELLED(e) && !known[e] -> known[e] = 1; runs = runs + 1
  :: else -> refusalReady[e] = 1
  fi
}

/* Any engine may refuse as busy, leaving or not loaded. */
inline refuse(e) {
  onItsWay[e] = 0;
  refusalReady[e] = 1
}

inline restart(e) {
  incarnation[e] = 1;
  known[e] = 0;
  cancelled[e] = 0;
  refusalReady[e] = 0
}

inline cancelAnswered(e) {
  cancelled[e] = 1;
  if
  :: SAME_PROCESS(e) && !known[e] -> phase = WAITING
  :: else -> phase = ENDED
  fi
}

#define ENGINE_STEPS(e) \
  :: d_step { phase == WAITING && sends < MAX_SENDS -> send(e) } \
  :: d_step { onItsWay[e] -> take(e) } \
  :: d_step { onItsWay[e] -> refuse(e) } \
  :: d_step { onItsWay[e] -> onItsWay[e] = 0 } \
  :: d_step { incarnation[e] < MAX_RESTARTS -> restart(e) } \
  :: d_step { phase == SENT && engine == e && refusalReady[e] -> phase = WAITING } \
  :: d_step { phase == SENT && engine == e && known[e] -> phase = STARTED } \
  :: d_step { phase == CANCELLING && engine == e -> cancelAnswered(e) } \
  BLIND_RESEND(e)

/* Resuming is not shown: it asks for a stream by id and runs nothing. */
#ifdef RESEND_AFTER_BREAK
#define BLIND_RESEND(e) :: d_step { phase == SENT && engine == e -> phase = WAITING }
#else
#define BLIND_RESEND(e)
#endif

active proctype world() {
end:
  do
  :: runs > 1 -> assert(false)
  :: refusedNotRun && runs > 0 -> assert(false)
  ENGINE_STEPS(0)
  ENGINE_STEPS(1)
  /* The connection broke and resuming failed. */
  :: d_step { phase == SENT -> phase = CANCELLING }
  /* The router refuses a waiting request: deadline, drain, no room. */
  :: d_step { phase == WAITING -> phase = ENDED; refusedNotRun = 1 }
  /* The deadline passed, or no answer to the cancel came: the outcome is called unknown. */
  :: d_step { phase == SENT || phase == STARTED || phase == CANCELLING -> phase = ENDED }
  od
}
