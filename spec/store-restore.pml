/*
 * The store comes back from a copy: its revisions go back and are given out again, and its era rises by one. A daemon orders what it
 * reads by the era before the revision; whoever claims a service orders epochs by the era as well. One object, which its writer
 * writes again after a restore; one daemon that follows it; claims by any daemon, of which one may be under way for long.
 */

#define ERAS 3
#define WRITES 4
#define CLAIMS 4
/* Revisions of an era. store-position.ts */
#define REVISIONS 16

/* The store: its era and counter, the object's version and the revision of its last write, the owner's epoch. */
byte era = 1;
byte revision = 1;
byte version = 1;
byte versionRevision = 1;
byte epoch = 0;
/* Revision of the owner's record; 0 for none. */
byte claimRevision = 0;
/* The copy, and what its writer has written last. */
byte copyRevision = 1;
byte copyVersion = 1;
byte copyVersionRevision = 1;
byte copyEpoch = 0;
byte copyClaimRevision = 0;
byte written = 1;
byte writes = 0;
byte claims = 0;
/* Highest epoch of any claim so far, by any daemon: known to none. */
byte highestEpoch = 0;
/* A claim that is under way: its epoch, 0 for none; the record's revision and the era that it was decided on. */
byte pendingEpoch = 0;
byte pendingRevision = 0;
byte pendingEra = 0;

/* The daemon. KindFollower.at, StoreDirectory.version */
byte heldEra = 0;
byte heldRevision = 0;
byte heldVersion = 0;

#ifdef ERA_IGNORED
#define IS_NOT_OLDER (revision >= heldRevision)
#define MAY_WATCH (heldRevision > 0)
#else
#define IS_NOT_OLDER (era > heldEra || (era == heldEra && revision >= heldRevision))
#define MAY_WATCH (heldEra == era)
#endif

/* Ownership.nextEpoch: above the record's, and above the place of its last write. */
#ifdef EPOCH_OF_RECORD
#define WRITTEN_AT 0
#elif defined(EPOCH_OF_ERA)
#define WRITTEN_AT (era * REVISIONS)
#else
#define WRITTEN_AT (era * REVISIONS + claimRevision)
#endif
#define NEXT_EPOCH ((epoch >= WRITTEN_AT -> epoch : WRITTEN_AT) + 1)

#ifdef CLAIM_ACROSS_ERAS
#define IS_TAKEN_UP true
#else
#define IS_TAKEN_UP (era == pendingEra)
#endif

inline own(claimed) {
  assert(claimed > highestEpoch);
  highestEpoch = claimed
}

/* Versions only rise: an older one never takes the place of a newer one. */
inline take(seen) {
  heldVersion = (seen > heldVersion -> seen : heldVersion)
}

init {
  do
  /* The writer writes the next version, or what it has written last again. */
  :: atomic { writes < WRITES ->
       if
       :: written = written + 1
       :: version < written -> skip
       fi;
       writes = writes + 1;
       revision = revision + 1;
       version = written;
       versionRevision = revision
     }
  /* Another object is written. */
  :: atomic { writes < WRITES -> writes = writes + 1; revision = revision + 1 }
  :: atomic {
       copyRevision = revision;
       copyVersion = version;
       copyVersionRevision = versionRevision;
       copyEpoch = epoch;
       copyClaimRevision = claimRevision
     }
  :: atomic { era < ERAS ->
       era = era + 1;
       revision = copyRevision;
       version = copyVersion;
       versionRevision = copyVersionRevision;
       epoch = copyEpoch;
       claimRevision = copyClaimRevision
     }
  /* KindFollower.list */
  :: atomic { IS_NOT_OLDER -> take(version); heldEra = era; heldRevision = revision }
  /* KindFollower.watch: told of the object if its last write is after the held place. */
  :: atomic { MAY_WATCH && revision >= heldRevision ->
       if
       :: versionRevision > heldRevision -> take(version)
       :: else
       fi;
       heldRevision = revision
     }
  /* Ownership.claim, written at once */
  :: atomic { claims < CLAIMS ->
       claims = claims + 1;
       epoch = NEXT_EPOCH;
       revision = revision + 1;
       claimRevision = revision;
       own(epoch)
     }
  /* Ownership.claim, decided now and written later, if the record still has its revision */
  :: atomic { claims < CLAIMS && pendingEpoch == 0 ->
       claims = claims + 1;
       pendingEpoch = NEXT_EPOCH;
       pendingRevision = claimRevision;
       pendingEra = era
     }
  :: atomic { pendingEpoch > 0 ->
       if
       :: claimRevision == pendingRevision ->
          epoch = pendingEpoch;
          revision = revision + 1;
          claimRevision = revision;
          if
          :: IS_TAKEN_UP -> own(pendingEpoch)
          :: else
          fi
       :: else
       fi;
       pendingEpoch = 0;
       pendingRevision = 0;
       pendingEra = 0
     }
  /* Who has heard all up to the store's place knows the object as it is there, or newer. */
  :: atomic { heldEra == era && heldRevision == revision -> assert(heldVersion >= version) }
#ifdef ERA_IGNORED
  :: atomic { heldRevision == revision -> assert(heldVersion >= version) }
#endif
  od
}
