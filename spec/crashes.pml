/*
 * What one daemon has noted of requests that crashed backends is known within BOUND steps to every daemon that is in
 * touch, whatever was lost before and whoever has started again meanwhile. A step is the time between two questions:
 * each daemon names to one other, by turns, a digest of all that it knows, and takes in what the other knows if that
 * differs. News that are told at once are left out: any of them may be lost.
 */

#define DAEMONS 3
#define MARKS 2
#define BOUND 3
#ifndef RESTARTS
#define RESTARTS 2
#endif

#define BIT(m) (1 << (m))

/* Marks that a daemon knows, and those of them that it has noted itself. */
byte knows[DAEMONS];
byte noted[DAEMONS];
/* Steps for which a daemon has known a mark, by daemon and mark; no further than BOUND. */
byte knownFor[6];
/* Steps for which a daemon was in touch; no further than BOUND. */
byte touchFor[DAEMONS];
bit isInTouch[DAEMONS];
byte crashes = 0;
byte restarts = 0;
bit turn;

byte d;
byte e;
byte m;

/* DigestGossip.tick, answer; CrashRecords.merge */
inline ask(asker, asked) {
  if
  :: isInTouch[asker] && isInTouch[asked] && knows[asker] != knows[asked] ->
#ifdef TELLS_OWN_ONLY
     knows[asker] = knows[asker] | noted[asked]
#else
#ifdef ANSWER_REPLACES
     knows[asker] = knows[asked]
#else
     knows[asker] = knows[asker] | knows[asked]
#endif
#endif
  :: else
  fi
}

inline age(value) {
  if
  :: value < BOUND -> value = value + 1
  :: else
  fi
}

init {
  do
  :: atomic {
       d = 0;
       do
       :: d < DAEMONS ->
          if
          :: isInTouch[d] = 1; age(touchFor[d])
          :: isInTouch[d] = 0; touchFor[d] = 0
          fi;
          if
          :: restarts < RESTARTS ->
             restarts = restarts + 1; knows[d] = 0; noted[d] = 0; touchFor[d] = 0; isInTouch[d] = 0
          :: skip
          fi;
          d = d + 1
       :: else -> break
       od;
       /* A backend crashes; one daemon notes it. */
       if
       :: crashes < MARKS ->
          if
          :: d = 0
          :: d = 1
          :: d = 2
          fi;
          knows[d] = knows[d] | BIT(crashes); noted[d] = noted[d] | BIT(crashes);
          crashes = crashes + 1
       :: skip
       fi;
       d = 0;
       do
       :: d < DAEMONS ->
#ifdef ONE_PEER_ASKED
          e = (d + 1) % DAEMONS;
#else
          e = (d + 1 + turn) % DAEMONS;
#endif
#ifndef NO_QUESTION
          ask(d, e);
#endif
          d = d + 1
       :: else -> break
       od;
       turn = 1 - turn;
       d = 0;
       do
       :: d < DAEMONS ->
          m = 0;
          do
          :: m < MARKS ->
             if
             :: knows[d] & BIT(m) -> age(knownFor[d * MARKS + m])
             :: else -> knownFor[d * MARKS + m] = 0
             fi;
             m = m + 1
          :: else -> break
          od;
          d = d + 1
       :: else -> break
       od;
       /* Who has known a mark for long, and who lacks it, are not both in touch for as long. */
       d = 0;
       do
       :: d < DAEMONS ->
          e = 0;
          do
          :: e < DAEMONS ->
             m = 0;
             do
             :: m < MARKS ->
                assert(!(touchFor[d] >= BOUND && touchFor[e] >= BOUND &&
                         knownFor[d * MARKS + m] >= BOUND && !(knows[e] & BIT(m))));
                m = m + 1
             :: else -> break
             od;
             e = e + 1
          :: else -> break
          od;
          d = d + 1
       :: else -> break
       od;
       d = 0; e = 0; m = 0
     }
  od
}
