/*
 * Two requests with one idempotency key through two routers: at most one is
 * sent. Three voters; a vote's reply may be lost; voters crash and forget, and
 * a new voter pulls the claims of the others.
 */

#define VOTERS 3
#define MAX_CRASHES 2
#define QV(q, v) ((q) * VOTERS + (v))

/* Voters: who holds the key (0 nobody, 1 or 2), and whether claims may have been forgotten. */
byte holder[VOTERS];
bit young[VOTERS];
byte crashes = 0;

/* Requests: who has voted, the grants received, and from young voters. */
bit asked[6];
bit granted[6];
bit grantedYoung[6];
bit refused[2];
bit sent[2];
/* The round of votes still runs; a router counts no vote once it is over. */
bit over[2];
bit freshGroup = 0;

#ifdef YOUNG_COUNTS
#define OLD_GRANT(q, v) (granted[QV(q, v)])
#else
#define OLD_GRANT(q, v) (granted[QV(q, v)] && !grantedYoung[QV(q, v)])
#endif
#define YOUNG_GRANT(q, v) (granted[QV(q, v)] && grantedYoung[QV(q, v)])
#ifdef ONE_GRANT
#define QUORUM 1
#else
#define QUORUM 2
#endif
#ifdef MIXED_GROUP
#define ALL_YOUNG(q) (granted[QV(q, 0)] && granted[QV(q, 1)] && granted[QV(q, 2)])
#else
#define ALL_YOUNG(q) (YOUNG_GRANT(q, 0) && YOUNG_GRANT(q, 1) && YOUNG_GRANT(q, 2))
#endif
#define IS_GRANTED(q) \
  (!refused[q] && !over[q] && (OLD_GRANT(q, 0) + OLD_GRANT(q, 1) + OLD_GRANT(q, 2) >= QUORUM || ALL_YOUNG(q)))
/* A new voter waits for longer than a round, so that no round still counts a vote of
 * the process before it. */
#ifdef PULL_AT_ONCE
#define ROUNDS_ARE_OVER(v) (1)
#else
#define ROUNDS_ARE_OVER(v) \
  ((!asked[QV(0, v)] || over[0]) && (!asked[QV(1, v)] || over[1]))
#endif
#ifdef PULL_FROM_YOUNG
#define MAY_PULL(v, a, b) (young[v] && ROUNDS_ARE_OVER(v))
#else
#define MAY_PULL(v, a, b) (young[v] && !young[a] && !young[b] && ROUNDS_ARE_OVER(v))
#endif

inline vote(q, v, lost) {
  asked[QV(q, v)] = 1;
  if
  :: holder[v] == 0 || holder[v] == q + 1 ->
    holder[v] = q + 1;
    granted[QV(q, v)] = 1 - lost;
    grantedYoung[QV(q, v)] = (lost -> 0 : young[v])
  :: else -> refused[q] = (lost -> refused[q] : 1)
  fi
}

inline crash(v) {
  holder[v] = 0;
  young[v] = 1;
  crashes = crashes + 1
}

/* ClaimTable.merge: when two voters know the key for different requests, either may have
 * its quorum, so neither is granted any more. */
#define CONTESTED 3
#ifdef FIRST_CLAIM_ADOPTED
#define CONFLICT(v) (holder[v])
#else
#define CONFLICT(v) (CONTESTED)
#endif
inline adopt(v, from) {
  if
  :: holder[from] == 0 || holder[from] == holder[v] -> skip
  :: holder[from] != 0 && holder[v] == 0 -> holder[v] = holder[from]
  :: else -> holder[v] = CONFLICT(v)
  fi
}

inline pull(v, a, b) {
  adopt(v, a);
  adopt(v, b);
  young[v] = 0
}

#define VOTE_STEPS(q, v) \
  :: d_step { !asked[QV(q, v)] -> vote(q, v, 0) } \
  :: d_step { !asked[QV(q, v)] -> vote(q, v, 1) }

#ifdef RELEASE_WHILE_OPEN
#define MAY_RELEASE(q) (1)
#else
#define MAY_RELEASE(q) (over[q] && !sent[q])
#endif
#define RELEASE_STEPS(q) \
  :: d_step { MAY_RELEASE(q) && holder[0] == q + 1 -> holder[0] = 0 } \
  :: d_step { MAY_RELEASE(q) && holder[1] == q + 1 -> holder[1] = 0 } \
  :: d_step { MAY_RELEASE(q) && holder[2] == q + 1 -> holder[2] = 0 }

active proctype world() {
  /* The group may be new as a whole. */
  if
  :: d_step { freshGroup = 1; young[0] = 1; young[1] = 1; young[2] = 1 }
  :: skip
  fi;
end:
  do
  :: sent[0] && sent[1] -> assert(false)
  VOTE_STEPS(0, 0)
  VOTE_STEPS(0, 1)
  VOTE_STEPS(0, 2)
  VOTE_STEPS(1, 0)
  VOTE_STEPS(1, 1)
  VOTE_STEPS(1, 2)
  :: d_step { IS_GRANTED(0) -> sent[0] = 1; over[0] = 1 }
  :: d_step { IS_GRANTED(1) -> sent[1] = 1; over[1] = 1 }
  :: d_step { !over[0] -> over[0] = 1 }
  :: d_step { !over[1] -> over[1] = 1 }
  /* KeyClaims.release: a request that was never sent gives its key back, voter by voter. */
  RELEASE_STEPS(0)
  RELEASE_STEPS(1)
  :: d_step { crashes < MAX_CRASHES -> crash(0) }
  :: d_step { crashes < MAX_CRASHES -> crash(1) }
  :: d_step { crashes < MAX_CRASHES -> crash(2) }
  :: d_step { MAY_PULL(0, 1, 2) -> pull(0, 1, 2) }
  :: d_step { MAY_PULL(1, 0, 2) -> pull(1, 0, 2) }
  :: d_step { MAY_PULL(2, 0, 1) -> pull(2, 0, 1) }
  od
}
