/*
 * A watcher follows a store that may be restored from a copy (objects/watcher.go,
 * objects/view.go, objects/era.go). The writes since the copy are gone, their revisions are
 * given out again, the era rises, and the operator writes its newest version again. The
 * store holds one object and another writer's, so that revisions also rise without a new
 * version.
 *
 * Once nothing changes any more, the watcher has the newest version after a few calls; its
 * version never goes back.
 *
 * Each safeguard can be left out by -DNO_...; the checker must then find an error. See
 * docs/design/model-checking.md for the Go function of each step.
 */

#define WRITES 3
#define OTHERS 2
#define RESTORES 2
#define LAST_CALLS 3

byte revision, era = 1;		/* of the store */
byte stored, storedAt;		/* the object's version and revision */
byte copyRevision, copied, copiedAt;
byte newest;			/* the operator's latest version */
byte writes, others, restores, calls;

bool listed;
byte from, seen, known, seenEra;	/* the watcher; known is the version in force */
byte before;

/* watchRun.list */
inline list() {
	if
	:: era != seenEra ->
		seenEra = era;
#ifndef NO_FORGET
		seen = 0
#endif
	:: else
	fi;
	if
	:: revision < seen	/* StaleError */
	:: else ->
		if
		:: storedAt > 0 && stored > known -> known = stored
		:: else
		fi;
		seen = revision; from = revision; listed = true
	fi
}

/* watchRun.poll and step */
inline poll() {
	if
#ifndef NO_ERA
	:: era != seenEra -> listed = false
#else
	:: false
#endif
	:: else ->
		if
		:: from > revision -> listed = false	/* CompactedError */
		:: else ->
			if
			:: storedAt > from && stored > known -> known = stored
			:: else
			fi;
			from = revision;
			if
			:: revision > seen -> seen = revision
			:: else
			fi
		fi
	fi
}

inline call() {
	before = known;
	if
	:: listed -> poll()
	:: else -> list()
	fi;
	assert(known >= before)
}

active proctype System() {
	do
	:: atomic { writes < WRITES -> writes++; newest++; revision++; stored = newest; storedAt = revision }
	:: atomic { others < OTHERS -> others++; revision++ }
	:: atomic { copyRevision = revision; copied = stored; copiedAt = storedAt }
	:: atomic { restores < RESTORES && copyRevision < revision -> restores++;
		era++; revision = copyRevision; stored = copied; storedAt = copiedAt;
		if
		:: stored < newest -> revision++; stored = newest; storedAt = revision
		:: else
		fi }
	:: atomic { call() }
	:: break
	od;
	atomic {
		do
		:: calls < LAST_CALLS -> calls++; call()
		:: else -> break
		od;
		assert(known == newest)
	}
}
