/*
 * Revisions of the configuration on their way from the platform through two
 * readers to a daemon: steps and snapshots arrive late or not at all, readers
 * and daemons restart. What a daemon has served, it never serves an older
 * revision of again.
 */

#define MAX_REVISION 3
#define MAX_RESTARTS 2
#define READERS 2
#define DAEMONS 1
#define RD(r, d) ((r) * DAEMONS + (d))

byte revision = 0;

/* Readers: how far each has come, who subscribed with which start, and whether the
 * platform has confirmed the reader's state since that subscription. */
byte readerRevision[READERS];
byte subscribed[READERS];
bit confirmed[READERS];

/* Daemons. */
byte held[DAEMONS];
byte started[DAEMONS];
bit current[DAEMONS];
byte lastServed[DAEMONS];

/* One late step, one late snapshot, one late heartbeat. */
bit stepKept = 0;
byte stepBase = 0;
byte stepRevision = 0;
bit snapshotKept = 0;
byte snapshotRevision = 0;
bit beatKept = 0;
byte beatToken = 0;
byte beatRevision = 0;
bit beatConfirmed = 0;

#ifdef STEP_FROM_ANY_BASE
#define FITS(d, base) (1)
#else
#define FITS(d, base) ((base) == held[d])
#endif
#ifdef OLD_SNAPSHOT_TAKEN
#define IS_NEWER(d, offered) (1)
#else
#define IS_NEWER(d, offered) ((offered) >= held[d])
#endif
#ifdef NO_CONFIRMATION
#define IS_CONFIRMED(flag) (1)
#else
#define IS_CONFIRMED(flag) (flag)
#endif
#ifdef NO_TOKEN
#define TOKEN_MATCHES(d, token) (1)
#else
#define TOKEN_MATCHES(d, token) ((token) == started[d])
#endif
#ifdef POSITION_IGNORED
#define HAS_REACHED(d, offered) (1)
#else
#define HAS_REACHED(d, offered) (held[d] >= (offered))
#endif

/* FeedRelay.handlePosition. */
inline hearBeat(d, token, offered, flag) {
  if
  :: TOKEN_MATCHES(d, token) && IS_CONFIRMED(flag) && HAS_REACHED(d, offered) -> current[d] = 1
  :: else -> skip
  fi
}

/* A reader hears a sign of life of the platform: all up to now is known. */
inline confirm(r) {
  confirmed[RD(r, 0)] = (subscribed[RD(r, 0)] > 0 -> 1 : 0)
}

inline restartReader(r) {
  readerRevision[r] = 0;
  subscribed[RD(r, 0)] = 0;
  confirmed[RD(r, 0)] = 0
}

inline restartDaemon(d) {
  held[d] = 0;
  current[d] = 0;
  started[d] = started[d] + 1
}

#define READER_STEPS(r) \
  :: d_step { readerRevision[r] < revision -> readerRevision[r] = readerRevision[r] + 1 } \
  :: d_step { readerRevision[r] < revision -> readerRevision[r] = revision } \
  :: d_step { readerRevision[r] == revision -> confirm(r) } \
  :: d_step { readerRevision[r] > 0 -> restartReader(r) }

#define LINK_STEPS(r, d) \
  :: d_step { subscribed[RD(r, d)] != started[d] + 1 -> \
       subscribed[RD(r, d)] = started[d] + 1; confirmed[RD(r, d)] = 0 } \
  :: d_step { subscribed[RD(r, d)] > 0 && IS_NEWER(d, readerRevision[r]) -> \
       held[d] = readerRevision[r] } \
  :: d_step { subscribed[RD(r, d)] > 0 && !stepKept && readerRevision[r] > 0 -> \
       stepKept = 1; stepBase = readerRevision[r] - 1; \
       stepRevision = readerRevision[r] } \
  :: d_step { subscribed[RD(r, d)] > 0 && !snapshotKept -> \
       snapshotKept = 1; snapshotRevision = readerRevision[r] } \
  :: d_step { subscribed[RD(r, d)] > 0 -> \
       hearBeat(d, subscribed[RD(r, d)] - 1, readerRevision[r], confirmed[RD(r, d)]) } \
  :: d_step { subscribed[RD(r, d)] > 0 && !beatKept -> \
       beatKept = 1; beatToken = subscribed[RD(r, d)] - 1; \
       beatRevision = readerRevision[r]; beatConfirmed = confirmed[RD(r, d)] }

#define DAEMON_STEPS(d) \
  :: d_step { current[d] -> assert(held[d] >= lastServed[d]); lastServed[d] = held[d] } \
  :: d_step { started[d] < MAX_RESTARTS -> restartDaemon(d) } \
  :: d_step { stepKept && FITS(d, stepBase) && \
       stepRevision != held[d] -> held[d] = stepRevision } \
  :: d_step { snapshotKept && IS_NEWER(d, snapshotRevision) -> \
       held[d] = snapshotRevision } \
  :: d_step { beatKept -> \
       hearBeat(d, beatToken, beatRevision, beatConfirmed) }

active proctype world() {
end:
  do
  :: d_step { revision < MAX_REVISION -> revision = revision + 1 }
  READER_STEPS(0)
  READER_STEPS(1)
  LINK_STEPS(0, 0)
  LINK_STEPS(1, 0)
  DAEMON_STEPS(0)
  :: d_step { stepKept -> stepKept = 0; stepBase = 0; stepRevision = 0 }
  :: d_step { snapshotKept -> snapshotKept = 0; snapshotRevision = 0 }
  :: d_step { beatKept -> beatKept = 0; beatToken = 0; beatRevision = 0;
       beatConfirmed = 0 }
  od
}
