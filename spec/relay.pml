/*
 * One request that may not be repeated, received by a daemon that may reach no backend. Three daemons, which may all be cut and
 * may take each other for sound; one backend. The request runs at most once, its caller is told "not run" only if it
 * never runs, gets a whole answer only if the backend has sent one, and no daemon relays what was relayed to it.
 *
 * Links break at any time, and a relay ends at any time. Messages on a broken link are lost.
 */

#define DAEMONS 3
#define TRIES 3

mtype = { IDLE, ASKED, SENT, RUN, ANSWERED, ANSWER_CUT }
mtype = { NONE, NOT_RUN, UNKNOWN, WHOLE }

/* Whether a daemon reaches the backend. */
bit reaches[DAEMONS];
/* What became of the request at a relay; daemon 0 received it from the caller. */
mtype at[DAEMONS] = IDLE;
/* Whether the connection of daemon 0 to a relay lives. */
bit linked[DAEMONS];
/* Whether the request is on its way to the backend from a daemon. */
bit sending[DAEMONS];
byte hops[DAEMONS];
byte runs = 0;
byte tries = 0;
/* The daemon through which the request is sent now; 0 for none. */
byte relay = 0;
mtype told = NONE;

#ifdef RELAYED_AGAIN
#define MAY_RELAY(r) (!reaches[r])
#else
#define MAY_RELAY(r) (0)
#endif
#ifdef LOST_COUNTS_AS_UNSENT
#define IS_UNSENT(r) (at[r] == ASKED || at[r] == SENT || at[r] == RUN)
#else
#define IS_UNSENT(r) (at[r] == ASKED)
#endif

inline endAttempt(r) { linked[r] = 0; relay = 0 }

/* The daemon that received the request. */
proctype receiver() {
  byte r;
  do
  :: atomic { told == NONE && relay == 0 && tries < TRIES ->
       if
       :: r = 1
       :: r = 2
       fi;
       if
       :: at[r] == IDLE -> tries = tries + 1; relay = r; linked[r] = 1; at[r] = ASKED; hops[r] = 1
       :: else -> tries = tries + 1
       fi }
  /* The relay says that it did not send the request: another one is tried. */
  :: atomic { relay != 0 && linked[relay] && IS_UNSENT(relay) && !reaches[relay] ->
       at[relay] = IDLE; endAttempt(relay) }
  /* The answer arrives. */
  :: atomic { relay != 0 && linked[relay] && at[relay] == ANSWERED -> told = WHOLE; endAttempt(relay) }
#ifdef END_COMPLETES_ANSWER
  :: atomic { relay != 0 && at[relay] == ANSWER_CUT -> told = WHOLE; endAttempt(relay) }
#else
  :: atomic { relay != 0 && at[relay] == ANSWER_CUT -> told = UNKNOWN; endAttempt(relay) }
#endif
  /* The connection ends without a word of the relay. */
  :: atomic { relay != 0 && !linked[relay] ->
#ifdef UNSENT_WITHOUT_ANSWER
       at[relay] = IDLE; relay = 0
#else
       told = UNKNOWN; relay = 0
#endif
     }
  :: atomic { told == NONE && relay == 0 && tries == TRIES -> told = NOT_RUN }
  od
}

proctype relaying(byte r) {
  byte other;
  do
  :: atomic { at[r] == ASKED && reaches[r] -> at[r] = SENT; sending[r] = 1 }
  :: atomic { at[r] == ASKED && MAY_RELAY(r) && hops[3 - r] == 0 -> other = 3 - r;
       at[other] = ASKED; hops[other] = hops[r] + 1 }
#ifdef RELAY_REPEATS
  :: atomic { at[r] == RUN && !sending[r] && runs < 3 -> sending[r] = 1 }
#endif
  /* The backend takes the request, also late. */
  :: atomic { sending[r] -> sending[r] = 0; runs = runs + 1;
       if
       :: at[r] == SENT -> at[r] = RUN
       :: else
       fi }
  :: atomic { at[r] == RUN && reaches[r] -> at[r] = ANSWERED }
  /* The backend, or the relay, ends in the midst of an answer whose length is not known. */
  :: atomic { at[r] == RUN -> at[r] = ANSWER_CUT }
  /* The link to the receiver breaks, or the relay ends. */
  :: atomic { linked[r] -> linked[r] = 0 }
  :: atomic { reaches[r] = !reaches[r] }
  od
}

active proctype monitor() {
  atomic {
    reaches[1] = 1; reaches[2] = 1;
    run receiver(); run relaying(1); run relaying(2)
  }
  do
  :: d_step { assert(runs <= 1);
       assert(told != NOT_RUN || (runs == 0 && !sending[1] && !sending[2]));
       assert(told != WHOLE || runs == 1);
       assert(hops[1] <= 1 && hops[2] <= 1);
       assert(told != WHOLE || at[1] == ANSWERED || at[2] == ANSWERED) }
  od
}
