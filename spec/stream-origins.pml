/*
 * One stream, two software versions. Its caller takes it up at any daemon after a break, as often as it likes. All events that the
 * caller receives are of the version that wrote the first one. Daemons may be killed and forget, lists may show any versions, and
 * notices and answers between daemons may be lost.
 */

#define DAEMONS 3
#define VERSIONS 2
#define NOBODY DAEMONS
#ifndef KILLS
#define KILLS 2
#endif

/* Version of the caller's first event; 0 before that. */
byte begunAt = 0;
/* Version at which each daemon remembers that the stream has begun; 0 for none. */
byte remembered[DAEMONS];
/* A notice on its way to a daemon; 0 for none. */
byte notice[DAEMONS];
/* The daemon that serves the caller now, the version that writes, and the version to which the answer is bound; 0 for none. */
byte server = NOBODY;
byte writer = 0;
byte bound = 0;
byte kills = 0;

byte d;
byte e;
byte v;

inline anyVersion() {
  if
  :: v = 1
  :: v = 2
  fi
}

inline anyDaemon(x) {
  if
  :: x = 0
  :: x = 1
  :: x = 2
  fi
}

/* RequestStream.mayRunAt: the answer is sent to a backend of a listed version. */
inline send() {
  anyVersion();
  if
#ifdef ANY_VERSION_CONTINUES
  :: writer = v
#else
  :: bound == 0 || bound == v -> writer = v
  :: else
#endif
  fi
}

/* StreamOriginExchange.record */
inline tell(version) {
  remembered[server] = version;
  e = 0;
  do
  :: e < DAEMONS ->
     if
     :: e != server -> notice[e] = version
     :: skip /* lost */
     fi;
     e = e + 1
  :: else -> break
  od
}

init {
  do
  /* A new request, as long as the caller has received no event. */
  :: atomic { begunAt == 0 && server == NOBODY -> anyDaemon(d); server = d; bound = 0; send() }
  /* CallerServer.resume: the stream is taken up where its origin is known, by the daemon itself or by another one that answers. */
  :: atomic {
       begunAt != 0 && server == NOBODY ->
       anyDaemon(d);
       anyDaemon(e);
       if
       :: remembered[d] != 0 -> server = d; bound = remembered[d]; send()
       :: remembered[d] == 0 && remembered[e] != 0 -> server = d; bound = remembered[e]; send()
#ifdef UNKNOWN_IS_GUESSED
       :: remembered[d] == 0 && remembered[e] == 0 -> server = d; bound = 0; send()
#endif
       :: else /* refused */
       fi
     }
  /* The backend breaks off, and the daemon sends the request on. */
  :: atomic { server != NOBODY -> writer = 0; send() }
  /* RequestStream.recordForwarding: an event is passed on. */
  :: atomic {
       server != NOBODY && writer != 0 ->
       if
       :: bound == 0 -> bound = writer
       :: else
       fi;
       tell(bound);
       if
       :: begunAt == 0 -> begunAt = writer
       :: else
       fi;
       assert(writer == begunAt)
     }
#ifdef TOLD_AT_SEND
  :: atomic { server != NOBODY && writer != 0 && bound == 0 && remembered[server] == 0 -> tell(writer) }
#endif
  /* The connection between caller and daemon ends. */
  :: atomic { server != NOBODY -> server = NOBODY; writer = 0; bound = 0 }
  :: atomic {
       kills < KILLS ->
       kills = kills + 1;
       anyDaemon(d);
       remembered[d] = 0;
       if
       :: server == d -> server = NOBODY; writer = 0; bound = 0
       :: else
       fi
     }
  :: atomic {
       anyDaemon(d);
       if
       :: notice[d] != 0 -> remembered[d] = notice[d]; notice[d] = 0
       :: else
       fi
     }
  od
}
