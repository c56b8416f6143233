/*
 * Ownership of a pool: claims by compare-and-swap with lost and late replies,
 * seals, registration of incarnations, loads and unloads, engine restarts,
 * owners that crash, pause and come back, late and duplicate orders and reports.
 *
 * Two daemons. Run as two small models: two engines and one tenant with a cap of
 * one replica (the cap), and one engine with room for one replica of two tenants
 * (the memory). One process picks any enabled step; a pause is a step
 * that is not picked for long. An order is taken from its sender any number of
 * times, or as a late copy; a report is read fresh or as a late copy; a claim's
 * write may take effect after its writer gave up. Each fence can be removed by a
 * macro (see README.md); the checker must then find a violation.
 */

#ifndef ENGINES
#define ENGINES 2
#endif
#ifndef TENANTS
#define TENANTS 1
#endif
#define NOBODY 2
#ifndef LATE_ORDERS
#define LATE_ORDERS 1
#endif
#ifndef LATE_REPORTS
#define LATE_REPORTS 1
#endif
#ifndef LATE_WRITES
#define LATE_WRITES 1
#endif
#ifndef MAX_EPOCH
#define MAX_EPOCH 2
#endif
#define MAX_INCARNATION 1
#ifndef MAX_SEQUENCE
#define MAX_SEQUENCE 3
#endif

#define DE(d, e) ((d) * ENGINES + (e))
#define ET(e, t) ((e) * TENANTS + (t))
#define DET(d, e, t) (((d) * ENGINES + (e)) * TENANTS + (t))

/* The last engine and tenant; with only one of them, the same as the first. */
#define E1 (ENGINES - 1)
#define T1 (TENANTS - 1)

#define NONE 0
#define SEAL 1
#define LOAD 2
#define UNLOAD 3

#define IDLE 0
#define READ 1
#define UNSURE 2
#define ACTIVE 3

/* The platform's record of the pool. */
byte recordVersion = 0;
byte recordEpoch = 0;
byte recordOwner = NOBODY;
bit recordIncarnation[ENGINES];

/* Engines. */
bit incarnation[ENGINES];
byte fence[ENGINES];
byte lastSequence[ENGINES];
bit holds[ENGINES * TENANTS];
bit draining[ENGINES * TENANTS];

/* Daemons. */
byte phase[2];
byte epoch[2];
byte seenVersion[2];
bit seenIncarnation[2 * ENGINES];
bit sealed[2 * ENGINES];
byte sequence[2 * ENGINES];
byte pendingType[2 * ENGINES];
bit pendingTenant[2 * ENGINES];
bit counted[2 * ENGINES * TENANTS];
byte countedAt[2 * ENGINES * TENANTS];

/* One late copy of an order, of a report and of a claim. */
byte lateType = NONE;
byte lateEngine = 0;
byte lateEpoch = 0;
bit lateIncarnation = 0;
byte lateSequence = 0;
bit lateTenant = 0;

bit reportKept = 0;
byte reportEngine = 0;
bit reportIncarnation = 0;
byte reportEpoch = 0;
byte reportSequence = 0;
bit reportHolds[TENANTS];

bit writeKept = 0;
bit writeDaemon = 0;
byte writeVersion = 0;
byte writeEpoch = 0;
bit writeIncarnation[ENGINES];

inline forgetEngine(d, e) {
  sealed[DE(d, e)] = 0;
  pendingType[DE(d, e)] = NONE;
  pendingTenant[DE(d, e)] = 0;
  counted[DET(d, e, 0)] = 0;
  counted[DET(d, e, T1)] = 0;
  countedAt[DET(d, e, 0)] = 0;
  countedAt[DET(d, e, T1)] = 0
}

inline forget(d) {
  phase[d] = IDLE;
  epoch[d] = 0;
  seenVersion[d] = 0;
  seenIncarnation[DE(d, 0)] = 0;
  seenIncarnation[DE(d, E1)] = 0;
  sequence[DE(d, 0)] = 0;
  sequence[DE(d, E1)] = 0;
  forgetEngine(d, 0);
  forgetEngine(d, E1)
}

/* PoolClaims.writeClaim: look at the record and ask the engines for their incarnations. */
inline readRecord(d, first, second) {
  seenVersion[d] = recordVersion;
  epoch[d] = recordEpoch + 1;
  seenIncarnation[DE(d, 0)] = first;
  seenIncarnation[DE(d, E1)] = second;
  phase[d] = READ
}

#ifdef NO_COMPARE_AND_SWAP
#define VERSION_MATCHES(version) (1)
#else
#define VERSION_MATCHES(version) ((version) == recordVersion)
#endif

/* The platform takes a claim. */
inline applyClaim(d, version, newEpoch, first, second) {
  if
  :: VERSION_MATCHES(version) ->
    recordVersion = recordVersion + 1;
    recordEpoch = newEpoch;
    recordOwner = d;
    recordIncarnation[0] = first;
    recordIncarnation[E1] = second
  :: else -> skip
  fi
}

inline claimNow(d) {
  applyClaim(d, seenVersion[d], epoch[d], seenIncarnation[DE(d, 0)], seenIncarnation[DE(d, E1)]);
  phase[d] = UNSURE
}

inline claimLate(d) {
  writeKept = 1;
  writeDaemon = d;
  writeVersion = seenVersion[d];
  writeEpoch = epoch[d];
  writeIncarnation[0] = seenIncarnation[DE(d, 0)];
  writeIncarnation[E1] = seenIncarnation[DE(d, E1)];
  phase[d] = UNSURE
}

inline clearWrite() {
  writeKept = 0;
  writeDaemon = 0;
  writeVersion = 0;
  writeEpoch = 0;
  writeIncarnation[0] = 0;
  writeIncarnation[E1] = 0
}

/* The reply, or what is read back after it was lost. */
#ifdef BLIND_CLAIM
#define IS_OWN(d) (1)
#else
#define IS_OWN(d) (recordOwner == d && recordEpoch == epoch[d])
#endif

inline settleClaim(d) {
  if
  :: IS_OWN(d) -> phase[d] = ACTIVE; seenVersion[d] = recordVersion
  :: else -> forget(d)
  fi
}

/* PoolOwner.register: a new incarnation enters the record before it is sealed. */
inline registerEngine(d, e) {
  if
#ifdef NO_REGISTRATION
  :: 1 ->
#else
  :: recordVersion == seenVersion[d] ->
    recordVersion = recordVersion + 1;
    seenVersion[d] = recordVersion;
    recordIncarnation[e] = incarnation[e];
#endif
    seenIncarnation[DE(d, e)] = incarnation[e];
    forgetEngine(d, e)
#ifndef NO_REGISTRATION
  :: else -> forget(d)
#endif
  fi
}

inline decideOrder(d, e, type, t) {
  sequence[DE(d, e)] = sequence[DE(d, e)] + 1;
  pendingType[DE(d, e)] = type;
  pendingTenant[DE(d, e)] = t
}

inline decideLoad(d, e, t) {
  decideOrder(d, e, LOAD, t);
  counted[DET(d, e, t)] = 1;
  countedAt[DET(d, e, t)] = sequence[DE(d, e)]
}

inline decideUnload(d, e, t) {
  decideOrder(d, e, UNLOAD, t);
#ifdef UNCOUNT_EARLY
  counted[DET(d, e, t)] = 0;
#endif
  countedAt[DET(d, e, t)] = sequence[DE(d, e)]
}

/* EngineLedger and PoolOwner.countReplicas. */
#ifdef UNSEALED_NOT_COUNTED
#define COUNT(d, e, t) (counted[DET(d, e, t)])
#else
#define COUNT(d, e, t) (!sealed[DE(d, e)] || counted[DET(d, e, t)])
#endif
#define MAY_ORDER(d, e) \
  (phase[d] == ACTIVE && sequence[DE(d, e)] < MAX_SEQUENCE && pendingType[DE(d, e)] == NONE)
#define MAY_LOAD(d, e, t) \
  (MAY_ORDER(d, e) && sealed[DE(d, e)] && \
   !COUNT(d, 0, t) && !COUNT(d, E1, t) && \
   !counted[DET(d, e, 0)] && !counted[DET(d, e, T1)])

#ifdef NO_INCARNATION_CHECK
#define INCARNATION_MATCHES(e, orderIncarnation) (1)
#else
#define INCARNATION_MATCHES(e, orderIncarnation) ((orderIncarnation) == incarnation[e])
#endif
#ifdef NO_SEQUENCE
#define IS_NEWER(e, orderEpoch, orderSequence) ((orderEpoch) == fence[e])
#else
#define IS_NEWER(e, orderEpoch, orderSequence) \
  ((orderEpoch) == fence[e] && (orderSequence) > lastSequence[e])
#endif
#ifdef NO_SEAL
#define IS_SEAL(e, type, orderEpoch) (0)
#define IS_TAKEN(e, type, orderEpoch, orderSequence) (1)
#else
#define IS_SEAL(e, type, orderEpoch) ((type) == SEAL && (orderEpoch) > fence[e])
#define IS_TAKEN(e, type, orderEpoch, orderSequence) IS_NEWER(e, orderEpoch, orderSequence)
#endif
#define IS_ACCEPTED(e, type, orderEpoch, orderIncarnation, orderSequence) \
  (INCARNATION_MATCHES(e, orderIncarnation) && \
   (IS_SEAL(e, type, orderEpoch) || IS_TAKEN(e, type, orderEpoch, orderSequence)))

/* An engine takes an order that it does not refuse. */
inline takeOrder(e, type, t, orderEpoch, orderSequence) {
  if
  :: type == LOAD -> holds[ET(e, t)] = 1; draining[ET(e, t)] = 0
  :: type == UNLOAD && holds[ET(e, t)] -> draining[ET(e, t)] = 1
  :: else -> skip
  fi;
  fence[e] = orderEpoch;
  lastSequence[e] = orderSequence
}

inline keepOrder(d, e) {
  lateType = pendingType[DE(d, e)];
  lateEngine = e;
  lateEpoch = epoch[d];
  lateIncarnation = seenIncarnation[DE(d, e)];
  lateSequence = sequence[DE(d, e)];
  lateTenant = pendingTenant[DE(d, e)]
}

inline loseOrder() {
  lateType = NONE;
  lateEngine = 0;
  lateEpoch = 0;
  lateIncarnation = 0;
  lateSequence = 0;
  lateTenant = 0
}

inline keepReport(e) {
  reportKept = 1;
  reportEngine = e;
  reportIncarnation = incarnation[e];
  reportEpoch = fence[e];
  reportSequence = lastSequence[e];
  reportHolds[0] = holds[ET(e, 0)];
  reportHolds[T1] = holds[ET(e, T1)]
}

inline loseReport() {
  reportKept = 0;
  reportEngine = 0;
  reportIncarnation = 0;
  reportEpoch = 0;
  reportSequence = 0;
  reportHolds[0] = 0;
  reportHolds[T1] = 0
}

#ifdef REPORT_SEQUENCE_IGNORED
#define COVERS(d, e, t, order) (1)
#else
#define COVERS(d, e, t, order) ((order) >= countedAt[DET(d, e, t)])
#endif

inline adoptTenant(d, e, t, shown, order) {
  if
  :: shown -> counted[DET(d, e, t)] = 1
  :: !shown && COVERS(d, e, t, order) ->
    counted[DET(d, e, t)] = 0;
    countedAt[DET(d, e, t)] = 0
  :: else -> skip
  fi
}

/* EngineLedger.applyReport and PoolOwner.orderAnswered: the answer to an order is a report too. */
inline adoptReport(d, e, ofEpoch, order, first, second) {
  if
  :: ofEpoch > epoch[d] -> forget(d)
  :: ofEpoch == epoch[d] ->
    if
    :: pendingType[DE(d, e)] != NONE && order == sequence[DE(d, e)] ->
      pendingType[DE(d, e)] = NONE;
      pendingTenant[DE(d, e)] = 0;
      sealed[DE(d, e)] = 1
    :: else -> skip
    fi;
    if
    :: sealed[DE(d, e)] ->
      adoptTenant(d, e, 0, first, order);
      adoptTenant(d, e, T1, second, order)
    :: else -> skip
    fi
  :: else -> skip
  fi
}

inline restartEngine(e) {
  incarnation[e] = 1;
  fence[e] = 0;
  lastSequence[e] = 0;
  holds[ET(e, 0)] = 0;
  holds[ET(e, T1)] = 0;
  draining[ET(e, 0)] = 0;
  draining[ET(e, T1)] = 0
}

#if ENGINES == 2
#define BROKEN (holds[ET(0, 0)] && holds[ET(1, 0)])
#else
#define BROKEN (holds[ET(0, 0)] && holds[ET(0, 1)])
#endif

/* Daemon 0 makes the first claim: the two are alike. */
#define MAY_CLAIM(d) (phase[d] == IDLE && recordEpoch < MAX_EPOCH && (recordEpoch > 0 || d == 0))

#define DAEMON_STEPS(d) \
  :: d_step { MAY_CLAIM(d) -> readRecord(d, incarnation[0], incarnation[E1]) } \
  :: d_step { MAY_CLAIM(d) && recordIncarnation[0] != incarnation[0] -> \
       readRecord(d, recordIncarnation[0], incarnation[E1]) } \
  :: d_step { MAY_CLAIM(d) && recordIncarnation[E1] != incarnation[E1] -> \
       readRecord(d, incarnation[0], recordIncarnation[E1]) } \
  :: d_step { phase[d] == READ -> claimNow(d) } \
  :: d_step { phase[d] == READ && LATE_WRITES && !writeKept -> claimLate(d) } \
  :: d_step { phase[d] == UNSURE -> settleClaim(d) } \
  :: d_step { phase[d] != IDLE -> forget(d) }

#define OWNER_STEPS(d, e) \
  :: d_step { MAY_ORDER(d, e) && !sealed[DE(d, e)] -> decideOrder(d, e, SEAL, 0) } \
  :: d_step { phase[d] == ACTIVE && incarnation[e] != seenIncarnation[DE(d, e)] -> \
       registerEngine(d, e) } \
  :: d_step { pendingType[DE(d, e)] != NONE && \
       IS_ACCEPTED(e, pendingType[DE(d, e)], epoch[d], seenIncarnation[DE(d, e)], \
         sequence[DE(d, e)]) -> \
       takeOrder(e, pendingType[DE(d, e)], pendingTenant[DE(d, e)], epoch[d], \
         sequence[DE(d, e)]) } \
  :: d_step { pendingType[DE(d, e)] != NONE && LATE_ORDERS && lateType == NONE -> keepOrder(d, e) } \
  :: d_step { phase[d] == ACTIVE && incarnation[e] == seenIncarnation[DE(d, e)] && \
       fence[e] >= epoch[d] -> \
       adoptReport(d, e, fence[e], lastSequence[e], holds[ET(e, 0)], holds[ET(e, T1)]) } \
  :: d_step { phase[d] == ACTIVE && reportKept && reportEngine == e && \
       reportIncarnation == seenIncarnation[DE(d, e)] && reportEpoch >= epoch[d] -> \
       adoptReport(d, e, reportEpoch, reportSequence, reportHolds[0], reportHolds[T1]) }

#define TENANT_STEPS(d, e, t) \
  :: d_step { MAY_LOAD(d, e, t) -> decideLoad(d, e, t) } \
  :: d_step { MAY_ORDER(d, e) && sealed[DE(d, e)] && counted[DET(d, e, t)] -> \
       decideUnload(d, e, t) }

#define ENGINE_STEPS(e) \
  :: d_step { lateType != NONE && lateEngine == e && \
       IS_ACCEPTED(e, lateType, lateEpoch, lateIncarnation, lateSequence) -> \
       takeOrder(e, lateType, lateTenant, lateEpoch, lateSequence) } \
  :: d_step { LATE_REPORTS && !reportKept && fence[e] > 0 -> keepReport(e) } \
  :: d_step { draining[ET(e, 0)] -> draining[ET(e, 0)] = 0; holds[ET(e, 0)] = 0 } \
  :: d_step { draining[ET(e, T1)] -> draining[ET(e, T1)] = 0; holds[ET(e, T1)] = 0 } \
  :: d_step { incarnation[e] < MAX_INCARNATION -> restartEngine(e) }

active proctype world() {
end:
  do
  :: BROKEN -> assert(false)
  DAEMON_STEPS(0)
  DAEMON_STEPS(1)
  OWNER_STEPS(0, 0)
  OWNER_STEPS(1, 0)
  TENANT_STEPS(0, 0, 0)
  TENANT_STEPS(1, 0, 0)
  ENGINE_STEPS(0)
#if ENGINES == 2
  OWNER_STEPS(0, 1)
  OWNER_STEPS(1, 1)
  TENANT_STEPS(0, 1, 0)
  TENANT_STEPS(1, 1, 0)
  ENGINE_STEPS(1)
#else
  TENANT_STEPS(0, 0, 1)
  TENANT_STEPS(1, 0, 1)
#endif
  :: d_step { lateType != NONE -> loseOrder() }
  :: d_step { reportKept -> loseReport() }
  :: d_step { writeKept ->
       applyClaim(writeDaemon, writeVersion, writeEpoch, writeIncarnation[0], writeIncarnation[E1]);
       clearWrite() }
  :: d_step { writeKept -> clearWrite() }
  od
}
