/*
 * The store comes back from a copy: its revisions go back and are given out again, and its era rises by one. A daemon orders what it
 * reads by the era before the revision; whoever claims a service orders epochs by the era as well. One object, which its writer
 * writes again after a restore; one daemon that follows it; claims by any daemon.
 */

#define ERAS 3
#define WRITES 5
#define CLAIMS 5
/* Epochs of an era. Ownership.EPOCHS_OF_ERA */
#define EPOCHS_OF_ERA 8

/* The store: its era and counter, the object's version and the revision of its last write, the owner's epoch. */
byte era = 1;
byte revision = 1;
byte version = 1;
byte versionRevision = 1;
byte epoch = 0;
/* The copy, and what its writer has written last. */
byte copyRevision = 1;
byte copyVersion = 1;
byte copyVersionRevision = 1;
byte copyEpoch = 0;
byte written = 1;
byte writes = 0;
byte claims = 0;
/* Highest epoch of any claim so far, by any daemon: known to none. */
byte highestEpoch = 0;

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

#ifdef EPOCH_OF_RECORD
#define NEXT_EPOCH (epoch + 1)
#else
#define NEXT_EPOCH ((epoch >= era * EPOCHS_OF_ERA -> epoch : era * EPOCHS_OF_ERA) + 1)
#endif

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
       copyEpoch = epoch
     }
  :: atomic { era < ERAS ->
       era = era + 1;
       revision = copyRevision;
       version = copyVersion;
       versionRevision = copyVersionRevision;
       epoch = copyEpoch
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
  /* Ownership.claim, at the record's revision */
  :: atomic { claims < CLAIMS ->
       claims = claims + 1;
       epoch = NEXT_EPOCH;
       assert(epoch > highestEpoch);
       highestEpoch = epoch
     }
  /* Who has heard all up to the store's place knows the object as it is there, or newer. */
  :: atomic { heldEra == era && heldRevision == revision -> assert(heldVersion >= version) }
#ifdef ERA_IGNORED
  :: atomic { heldRevision == revision -> assert(heldVersion >= version) }
#endif
  od
}
