/*
 * Moves of a replica's quota between two pools (of one site or of two). The cap
 * is one replica. Each pool's owner sees the quota record late, crashes, and is
 * followed by another one whose configuration may be older. Paused owners are
 * the matter of pool.pml: the seal refuses them.
 */

#define POOLS 2
#define CAP 1
#define MAX_VERSION 7

/* The quota record and its history: a daemon may still be at any older version. */
byte version = 0;
byte granted[16];
byte target[16];
#define AT(v, p) ((v) * POOLS + (p))

/* Pools: replicas held, the floor in the pool's record, and the owner's view. */
byte held[POOLS];
byte floor[POOLS];
byte seen[POOLS];
bit floored[POOLS];

#define GRANTED(p) granted[AT(seen[p], p)]
#define TARGET(p) target[AT(seen[p], p)]
#ifdef TARGET_IGNORED
#define ALLOWED(p) GRANTED(p)
#else
#define ALLOWED(p) (GRANTED(p) < TARGET(p) -> GRANTED(p) : TARGET(p))
#endif
#ifdef CONFIRM_BEFORE_UNLOAD
#define IS_DOWN(p) (1)
#else
#define IS_DOWN(p) (held[p] <= TARGET(p))
#endif
#ifdef GRANT_WITHOUT_ROOM
#define HAS_ROOM (1)
#else
#define HAS_ROOM (granted[AT(version, 0)] + granted[AT(version, 1)] < CAP)
#endif
#ifdef NO_FLOOR
#define MAY_START(p, v) ((v) <= version)
#else
#define MAY_START(p, v) ((v) <= version && (v) >= floor[p])
#endif

inline copyRecord() {
  granted[AT(version + 1, 0)] = granted[AT(version, 0)];
  granted[AT(version + 1, 1)] = granted[AT(version, 1)];
  target[AT(version + 1, 0)] = target[AT(version, 0)];
  target[AT(version + 1, 1)] = target[AT(version, 1)]
}

/* reconcileQuota: an operator's change of the sites' weights moves the target. */
inline moveTarget(p) {
  copyRecord();
  target[AT(version + 1, p)] = CAP;
  target[AT(version + 1, 1 - p)] = 0;
  version = version + 1
}

/* reconcileQuota: a grant is raised as far as the cap has room. */
inline raiseGrant(p) {
  copyRecord();
  granted[AT(version + 1, p)] = granted[AT(version + 1, p)] + 1;
  version = version + 1
}

/* PoolOwnerProcess.acknowledge, second step; a compare-and-swap on the record. */
inline lowerGrant(p) {
  copyRecord();
  granted[AT(version + 1, p)] = target[AT(version + 1, p)];
  version = version + 1;
  floored[p] = 0
}

#define POOL_STEPS(p) \
  :: d_step { version < MAX_VERSION && target[AT(version, p)] == 0 -> moveTarget(p) } \
  :: d_step { version < MAX_VERSION && granted[AT(version, p)] < target[AT(version, p)] && \
       HAS_ROOM -> raiseGrant(p) } \
  /* The owner hears of the next version. */ \
  :: d_step { seen[p] < version -> seen[p] = seen[p] + 1; floored[p] = 0 } \
  :: d_step { held[p] < ALLOWED(p) -> held[p] = held[p] + 1 } \
  :: d_step { held[p] > ALLOWED(p) -> held[p] = held[p] - 1 } \
  /* First step of the confirmation: the floor, by compare-and-swap on the pool's record. */ \
  :: d_step { TARGET(p) < GRANTED(p) && IS_DOWN(p) && !floored[p] -> \
       floor[p] = (seen[p] > floor[p] -> seen[p] : floor[p]); floored[p] = 1 } \
  :: d_step { floored[p] && seen[p] == version && version < MAX_VERSION && IS_DOWN(p) -> \
       lowerGrant(p) } \
  /* The owner crashes; the next one starts from any configuration above the floor. */ \
  :: d_step { MAY_START(p, 0) -> seen[p] = 0; floored[p] = 0 } \
  :: d_step { MAY_START(p, 1) -> seen[p] = 1; floored[p] = 0 } \
  :: d_step { MAY_START(p, 2) -> seen[p] = 2; floored[p] = 0 } \
  :: d_step { MAY_START(p, 3) -> seen[p] = 3; floored[p] = 0 } \
  :: d_step { MAY_START(p, 4) -> seen[p] = 4; floored[p] = 0 } \
  :: d_step { MAY_START(p, 5) -> seen[p] = 5; floored[p] = 0 } \
  :: d_step { MAY_START(p, 6) -> seen[p] = 6; floored[p] = 0 }

active proctype world() {
  d_step {
    granted[AT(0, 0)] = CAP;
    target[AT(0, 0)] = CAP
  }
end:
  do
  :: held[0] + held[1] > CAP -> assert(false)
  POOL_STEPS(0)
  POOL_STEPS(1)
  od
}
