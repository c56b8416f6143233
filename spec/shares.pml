/*
 * Shares of limits: the parts that all daemons may count, each alone, never pass the whole, whatever each
 * of them sees of the others. Three daemons; the first record divides the limits between two of them. A
 * record of the store names those that have a share (members), and while it is open those that are to have
 * one (next). It is closed once every member knows it, or has ended. A daemon that takes no step for a
 * while is cut off or frozen; messages between daemons come from anybody, at any time, or never.
 *
 * A daemon that starts again knows nothing. It has a share once it has read the store, or for a short time
 * after a member that has read it has told it the record.
 */

#define DAEMONS 3
/* Units of the whole limit: any number of daemons divides it without a rest. */
#define WHOLE 6
/* Records that are written, and processes that start again. */
#ifndef RECORDS
#define RECORDS 5
#endif
#ifndef RESTARTS
#define RESTARTS 2
#endif
/* Ticks for which an answer of another daemon counts, and that a record stays open after all members know it. */
#define ANSWER_LASTS 1
#ifdef NO_WAIT
#define WAIT 0
#else
#define WAIT 2
#endif

#define BIT(i) (1 << (i))
#define SIZE(set) (((set) & 1) + (((set) >> 1) & 1) + (((set) >> 2) & 1))

/* The store's record. */
byte number = 1;
byte members = 3;
byte next = 3;
/* Members that have said that they know it, and ticks since all have. */
byte acked = 0;
byte waited = 0;

/* What each daemon knows; 0 for nothing. */
byte known[DAEMONS];
byte knownMembers[DAEMONS];
byte knownNext[DAEMONS];
/* Whether it has read the store since its start, and the age of what it was told before that. */
bit hasRead[DAEMONS];
byte age[DAEMONS];
/* Daemons whose process has ended for good, or that have no share any more by their own clock. */
byte ended = 0;
byte restarts = 0;

#define IS_CURRENT(i) (hasRead[i] || age[i] <= ANSWER_LASTS)
#define LARGER(i) (SIZE(knownMembers[i]) > SIZE(knownNext[i]) -> SIZE(knownMembers[i]) : SIZE(knownNext[i]))
#ifdef SHARE_OF_NEXT
/* A daemon that is to have a share counts it while others still count theirs as before. */
#define HAS_SHARE(i) (known[i] != 0 && !(ended & BIT(i)) && IS_CURRENT(i) && (knownNext[i] & BIT(i)))
#define PARTS(i) SIZE(knownNext[i])
#define COUNTED_SET(i) knownNext[i]
#else
#define HAS_SHARE(i) (known[i] != 0 && !(ended & BIT(i)) && IS_CURRENT(i) && (knownMembers[i] & BIT(i)) && (knownNext[i] & BIT(i)))
#define PARTS(i) LARGER(i)
#define COUNTED_SET(i) (knownMembers[i] & knownNext[i])
#endif
/* What daemon i counts of the limit for daemon m: a holder counts the shares of all that it sees. */
#define IS_COUNTED(i, m) (HAS_SHARE(i) && (COUNTED_SET(i) & BIT(m)))
#define COUNT(i, m) (IS_COUNTED(i, m) -> WHOLE / PARTS(i) : 0)
#define MAX(a, b) ((a) > (b) -> (a) : (b))
/* A daemon is on one side of a cut only: one holder counts its share, whichever counts most. */
#define SHARE(m) MAX(COUNT(0, m), MAX(COUNT(1, m), COUNT(2, m)))
#ifdef CLOSED_UNACKNOWLEDGED
#define ALL_KNOW (1)
#else
#define ALL_KNOW (((acked | ended) & members) == members)
#endif
#ifdef ANY_DAEMON_ANSWERS
#define MAY_ANSWER(j) (known[j] != 0)
#else
#define MAY_ANSWER(j) (known[j] != 0 && hasRead[j] && (knownMembers[j] & BIT(j)) && !(ended & BIT(j)))
#endif

inline take(i, aNumber, someMembers, someNext) {
  known[i] = aNumber; knownMembers[i] = someMembers; knownNext[i] = someNext
}

proctype daemon(byte i) {
  byte j;
  do
  /* It reads the store. */
  :: d_step { !(ended & BIT(i)) -> take(i, number, members, next); hasRead[i] = 1 }
  /* Another daemon tells it a newer record, which every daemon may take that has read the store. */
  :: atomic { select (j : 0 .. DAEMONS - 1);
#ifdef OLDER_TAKEN
       if
       :: hasRead[i] && known[j] != 0 && known[j] != known[i] -> take(i, known[j], knownMembers[j], knownNext[j])
#else
       if
       :: hasRead[i] && known[j] > known[i] -> take(i, known[j], knownMembers[j], knownNext[j])
#endif
       :: !hasRead[i] && MAY_ANSWER(j) && known[j] >= known[i] ->
            take(i, known[j], knownMembers[j], knownNext[j]); age[i] = 0
#ifdef ANSWER_KEPT
            ; hasRead[i] = 1
#endif
       :: else
       fi; j = 0 }
  /* It says that it knows the record. */
  :: d_step { known[i] == number && HAS_SHARE(i) -> acked = acked | BIT(i) }
  /* It opens a record for other members, if it knows the last one. */
  :: atomic { hasRead[i] && known[i] == number && members == next && number < RECORDS && !(ended & BIT(i)) ->
       if
       :: next = 7
       :: next = 3
       :: next = 6
       fi;
       /* Only who has ended goes, and only who runs comes. */
       if
       :: next != members && (members & ~next & ~ended) == 0 && (next & ~members & ended) == 0 ->
            number = number + 1; acked = 0; waited = 0; take(i, number, members, next)
       :: else -> next = members
       fi }
  /* It closes the record. */
  :: d_step { hasRead[i] && members != next && known[i] == number && ALL_KNOW && waited >= WAIT && number < RECORDS ->
       members = next; number = number + 1; acked = 0; waited = 0; take(i, number, members, next) }
  /* It starts again. */
  :: d_step { restarts < RESTARTS && !(ended & BIT(i)) ->
       restarts = restarts + 1; known[i] = 0; hasRead[i] = 0; age[i] = ANSWER_LASTS + 1 }
  od
}

init {
  byte k;
  atomic {
    for (k : 0 .. DAEMONS - 1) { age[k] = ANSWER_LASTS + 1 }
    run daemon(0); run daemon(1); run daemon(2);
    k = 0
  }
  do
  /* Time passes. */
  :: d_step {
       for (k : 0 .. DAEMONS - 1) {
         if
         :: age[k] <= ANSWER_LASTS -> age[k] = age[k] + 1
         :: else
         fi
       }
       if
       :: ALL_KNOW && members != next && waited < WAIT -> waited = waited + 1
       :: else
       fi;
       k = 0 }
  /* The first daemon ends for good. */
  :: d_step { !(ended & 1) -> ended = ended | 1; known[0] = 0 }
  /* Whatever each of them sees of the others: together they count no more than the whole. */
  :: d_step { SHARE(0) + SHARE(1) + SHARE(2) > WHOLE -> assert(0) }
  od
}
