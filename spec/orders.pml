/*
 * Orders of a service's owners to one backend, which holds at most CAP models.
 * Two owners may give orders at the same time: the epoch only ends the turns of
 * the older one. An order names the backend's process and the sequence at which
 * its room was worked out; it may be delivered at any later time, or never.
 * Reports show the state of an earlier moment. The backend may start again,
 * empty, with its sequence and epochs forgotten.
 */

#define MODELS 3
#define CAP 2
#define OWNERS 2
#define ORDERS 2
#define RESTARTS 1
#define BIT(m) (1 << (m))
#define COUNT(mask) (((mask) & 1) + (((mask) >> 1) & 1) + (((mask) >> 2) & 1))

/* The backend, which has taken two orders before. A model counts from the start of its load. */
byte incarnation = 0;
byte sequence = 2;
byte epoch = 0;
byte held = 1;
byte busyLoad = 0;
byte busyUnload = 0;

/* A report of an earlier moment. */
byte reportIncarnation = 0;
byte reportSequence = 2;
byte reportHeld = 1;
bit reportBusy = 0;

/* What the owners believe. */
bit ready[OWNERS];
byte believedIncarnation[OWNERS];
byte believedSequence[OWNERS];
byte believedHeld[OWNERS];
byte given[OWNERS];

/* Orders that have been sent: one place for each. 0 is empty. */
byte sent[OWNERS * ORDERS];
byte sentIncarnation[OWNERS * ORDERS];
byte sentSequence[OWNERS * ORDERS];
byte sentModel[OWNERS * ORDERS];

#define LOAD 1
#define UNLOAD 2

#ifdef NO_TARGET
#define IS_TARGET(i) (1)
#else
#define IS_TARGET(i) (sentIncarnation[i] == incarnation)
#endif
#ifdef NO_EXPECTED_SEQUENCE
#define IS_EXPECTED(i) (1)
#else
#define IS_EXPECTED(i) (sentSequence[i] == sequence)
#endif
#ifdef BUSY_REPORT_ADOPTED
#define MAY_ADOPT (1)
#else
#define MAY_ADOPT (!reportBusy)
#endif

/* BackendLedger.recordSent: the room is worked out from what is believed. */
inline give(owner, operation, which) {
  sent[owner * ORDERS + given[owner]] = operation;
  sentIncarnation[owner * ORDERS + given[owner]] = believedIncarnation[owner];
  sentSequence[owner * ORDERS + given[owner]] = believedSequence[owner];
  sentModel[owner * ORDERS + given[owner]] = which;
  given[owner] = given[owner] + 1;
  ready[owner] = 0
}

/* The backend takes or refuses an order, at any time after it was sent. */
inline deliver(owner, slot) {
  if
  :: IS_TARGET(slot) && IS_EXPECTED(slot) && owner + 1 >= epoch && !busyLoad && !busyUnload ->
     epoch = owner + 1;
     if
     :: sent[slot] == LOAD && !(held & BIT(sentModel[slot])) ->
        sequence = sequence + 1;
        held = held | BIT(sentModel[slot]);
        busyLoad = BIT(sentModel[slot]);
        assert(COUNT(held) <= CAP)
     :: sent[slot] == UNLOAD && (held & BIT(sentModel[slot])) ->
        sequence = sequence + 1;
        busyUnload = BIT(sentModel[slot])
     :: else
     fi
  :: else
  fi;
  sent[slot] = 0; sentIncarnation[slot] = 0; sentSequence[slot] = 0; sentModel[slot] = 0
}

/* BackendLedger.applyReport. An older report does no harm: its sequence is no longer expected. */
inline adopt(owner) {
#ifdef MODELS_OF_OTHER_SEQUENCE
  believedSequence[owner] = sequence;
#else
  believedSequence[owner] = reportSequence;
#endif
  believedIncarnation[owner] = reportIncarnation;
  believedHeld[owner] = reportHeld;
  ready[owner] = 1
}

byte o, m, i;

init {
  do
  :: atomic { /* an owner orders a load for which it believes that there is room */
       select(o : 0 .. OWNERS - 1); select(m : 0 .. MODELS - 1);
       if
       :: ready[o] && given[o] < ORDERS && !(believedHeld[o] & BIT(m)) &&
          COUNT(believedHeld[o]) < CAP -> give(o, LOAD, m)
       :: else
       fi;
       o = 0; m = 0; i = 0 }
  :: atomic { /* an owner orders an unload */
       select(o : 0 .. OWNERS - 1); select(m : 0 .. MODELS - 1);
       if
       :: ready[o] && given[o] < ORDERS && (believedHeld[o] & BIT(m)) -> give(o, UNLOAD, m)
       :: else
       fi;
       o = 0; m = 0; i = 0 }
  :: atomic { /* an order arrives, however late */
       select(o : 0 .. OWNERS - 1); select(i : 0 .. ORDERS - 1);
       if
       :: sent[o * ORDERS + i] -> deliver(o, o * ORDERS + i)
       :: else
       fi;
       o = 0; m = 0; i = 0 }
  :: atomic { busyLoad -> busyLoad = 0 }
  :: atomic { busyUnload -> held = held & (7 - busyUnload); busyUnload = 0 }
  :: atomic { /* the state that a later report shows */
       reportIncarnation = incarnation;
       reportSequence = sequence;
       reportHeld = held;
#ifdef BUSY_REPORT_ADOPTED
       /* A load that is in progress is not among the models of a report. */
       reportHeld = held & (7 - busyLoad);
#endif
       reportBusy = (busyLoad || busyUnload) }
  :: atomic { /* an owner reads a report after an order without an answer, or as a new owner */
       select(o : 0 .. OWNERS - 1);
       if
       :: !ready[o] && MAY_ADOPT -> adopt(o)
       :: else
       fi;
       o = 0; m = 0; i = 0 }
  :: atomic { incarnation < RESTARTS ->
       incarnation = incarnation + 1;
       sequence = 0; epoch = 0; held = 0; busyLoad = 0; busyUnload = 0 }
  od
}
