/*
 * A daemon that has had an answer of a backend's process which says that it leaves sends nothing to that process any
 * more, whatever lists, late or current ones, and words of other daemons come after; a later process under the same id is
 * sent to again. Two daemons, one id, two starts of its process. Any word between the daemons may be lost or late.
 */

#define DAEMONS 2
#define STARTS 2

/* The process that runs under the id, and whether it leaves. */
byte runs = 1;
bit leaves = 0;
/* What a list may still show, late or not: a start, as taking requests. */
byte listedStart[DAEMONS] = 1;
bit isListed[DAEMONS] = 1;
/* Starts of which a daemon holds that they leave. AnnouncedShutdowns.add */
byte declared[DAEMONS];
/* Starts of which an answer has told a daemon so. */
byte answered[DAEMONS];
/* A word on its way; 0 for none. */
byte word[DAEMONS];

byte d;

#define BIT(s) (1 << (s))
#define IS_DECLARED(d) (declared[d] & BIT(listedStart[d]))

inline note(daemon, start) {
#ifdef ONE_START_KEPT
  declared[daemon] = BIT(start)
#else
  declared[daemon] = declared[daemon] | BIT(start)
#endif
}

init {
  do
  :: atomic { leaves = 1 }
  :: atomic { runs < STARTS && leaves -> runs = runs + 1; leaves = 0 }
  :: atomic {
       if
       :: d = 0
       :: d = 1
       fi;
       if
       /* A list, late or current: any start so far, taking requests or not. */
       :: if
          :: listedStart[d] = 1
          :: listedStart[d] = runs
          fi;
          if
          :: isListed[d] = 1
          :: isListed[d] = 0
          fi;
#ifdef LIST_TAKES_BACK
          if
          :: isListed[d] -> declared[d] = 0
          :: else
          fi
#endif
       /* A request is sent; only the process that it names answers. */
       :: isListed[d] && !IS_DECLARED(d) ->
          assert(!(answered[d] & BIT(listedStart[d])));
          if
          :: listedStart[d] == runs && leaves ->
             answered[d] = answered[d] | BIT(runs);
             note(d, runs);
             if
             :: word[1 - d] = runs
             :: skip /* lost */
             fi
          :: else
          fi
       :: word[d] != 0 -> note(d, word[d]); word[d] = 0
       fi
     }
  od
}
