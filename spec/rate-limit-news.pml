/*
 * A backend names a rate limit in its answers, changes its mind, and answers cross. A daemon lifts a limit only by an answer
 * to a request that it sent under its present belief, so an answer from before the limit was named never lifts it. Beliefs
 * carry generations: the higher one wins, of equal ones the stricter. Two daemons; news may be lost, late or repeated.
 */

#define DAEMONS 2
#define CHANGES 3
#define MOST_GENERATION 6

/* What the backend names, and how often it has changed that. */
bit names = 0;
byte changes = 0;

/* Beliefs. BackendRateLimits.known */
bit isLimited[DAEMONS];
byte generation[DAEMONS];
/* Changes of a daemon's own belief: stands for the identity of the believed object. */
byte serial[DAEMONS];
/* How often the backend had changed its mind at the answer that a belief comes from. */
byte cause[DAEMONS];

/* A request under way, and its answer: 0 none, 1 sent, 2 answered. */
byte request[DAEMONS];
byte sentUnder[DAEMONS];
bit answerNames[DAEMONS];
byte answerCause[DAEMONS];

/* News on its way to a daemon. */
bit hasNews[DAEMONS];
bit newsLimited[DAEMONS];
byte newsGeneration[DAEMONS];
byte newsCause[DAEMONS];

byte d;

inline believe(daemon, limited, gen, origin) {
  isLimited[daemon] = limited;
  generation[daemon] = gen;
  cause[daemon] = origin;
  serial[daemon] = serial[daemon] + 1
}

#ifdef GENERATION_IGNORED
#define IS_NEWER(d) true
#else
#define IS_NEWER(d) (newsGeneration[d] > generation[d] || \
  (newsGeneration[d] == generation[d] && newsLimited[d] && !isLimited[d]))
#endif

#ifdef ANY_ANSWER_LIFTS
#define MAY_LIFT(d) true
#else
#define MAY_LIFT(d) (sentUnder[d] == serial[d])
#endif

init {
  do
  :: atomic { changes < CHANGES -> names = 1 - names; changes = changes + 1 }
  :: atomic {
       if
       :: d = 0
       :: d = 1
       fi;
       if
       :: request[d] == 0 -> request[d] = 1; sentUnder[d] = serial[d]
       :: request[d] == 1 -> request[d] = 2; answerNames[d] = names; answerCause[d] = changes
       /* BackendRateLimits.recordAnswer */
       :: request[d] == 2 && generation[d] < MOST_GENERATION ->
          request[d] = 0;
          if
          :: answerNames[d] && !isLimited[d] ->
             believe(d, 1, generation[d] + 1, answerCause[d])
          :: !answerNames[d] && isLimited[d] && MAY_LIFT(d) ->
             assert(answerCause[d] >= cause[d]);
             believe(d, 0, generation[d] + 1, answerCause[d])
          :: else
          fi;
          answerNames[d] = 0;
          answerCause[d] = 0
       /* DigestGossip: news, or an answer to a question; may overwrite what was on its way, which is lost. */
       :: generation[d] > 0 ->
          hasNews[1 - d] = 1;
          newsLimited[1 - d] = isLimited[d];
          newsGeneration[1 - d] = generation[d];
          newsCause[1 - d] = cause[d]
       /* BackendRateLimits.merge */
       :: hasNews[d] ->
          hasNews[d] = 0;
          if
          :: IS_NEWER(d) ->
             /* Nothing that was believed later is replaced by what was believed before. */
             assert(newsGeneration[d] >= generation[d]);
             believe(d, newsLimited[d], newsGeneration[d], newsCause[d])
          :: else
          fi
       fi
     }
  od
}
