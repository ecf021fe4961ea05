/*
 * How a configuration travels from the store to all nodes, and what a node says
 * of a route that it does not know. Nodes 0 and 1 read the store, node 2 hears
 * from members alone. Any node may refuse a version; a watcher may be cut off
 * from the store, or two nodes from each other, for ever; transfers break off,
 * events of the store arrive late. Version v adds route v. News
 * ages, by hops and with time, and counts no more once it is old; with -DFAULTY a
 * faulty peer has told node 2 of a version that nobody wrote.
 *
 * Each safeguard can be left out by -DNO_...; the checker must then find an
 * error. See docs/design/model-checking.md for the Go function of each step.
 */

#define NODES 3
#define WATCHERS 2
#ifdef FAULTY
#define VERSIONS 1
#else
#define VERSIONS 2
#endif
#ifdef LIVENESS
#define BREAKS 1 /* transfers that break off */
#define PHANTOM_AGE 0
#else
#define BREAKS 0
#define PHANTOM_AGE (OLD - 1)
#endif
#define PHANTOM 3 /* a version that nobody wrote */
#define OLD 4     /* the age at which news counts no more */
#define NONE 9

byte store;                 /* version in the store */
byte current[NODES];        /* version in force, 0 for the default */
byte heard[NODES];          /* highest version that the node was told of */
byte age[NODES];            /* of that news */
byte stored[NODES];         /* what a watcher has last read */
bool unreadable[NODES];     /* that has no number that can be read */
byte refuses[NODES];        /* the version that the node can't use, 0 for none */
byte cutWatcher = NONE;     /* the watcher that the store does not answer */
byte cutA = NONE, cutB = NONE; /* members that don't reach each other */

byte breaks;                /* transfers that broke off */

/* the highest version that the node had a sign of, for the properties */
byte told[NODES];

#define LINKED(a, b) (!((a == cutA && b == cutB) || (a == cutB && b == cutA)))

inline raise(x, v) {
	if
	:: v > x -> x = v
	:: else -> skip
	fi
}

#define COUNTS(n) (age[n] < OLD)

/* hear takes news of a version. */
inline hear(n, v, a) {
	if
	:: COUNTS(n) && (v < heard[n] || (v == heard[n] && a >= age[n])) -> skip
#ifndef NO_EXPIRED
	:: a >= OLD -> skip
#endif
	:: else -> heard[n] = v; age[n] = a
	fi
}

/* hearRead notes what was read from the store. */
inline hearRead(n, v) {
	raise(told[n], v);
#ifdef NO_HEAR_READ
	/* heard of only once it is in force */
	skip
#else
#ifdef UNREADABLE
	unreadable[n] = (v == refuses[n]);
#endif
	if
	:: unreadable[n] -> skip
	:: else ->
		stored[n] = v;
		if
		:: v > current[n] -> hear(n, v, 0)
		:: else -> skip
		fi
	fi
#endif
}

/* offer compares and puts in force in one step. */
inline offer(n, v) {
#ifdef NO_HIGHER_ONLY
	if
	:: v != refuses[n] && v != 0 ->
#else
	if
	:: v > current[n] && v != refuses[n] ->
#endif
		assert(v >= current[n]); /* no reversion */
		current[n] = v
	:: else -> skip
	fi
}

/* LATER parts what was got from what becomes of it. The check of liveness needs
 * no steps between the two. */
#ifdef LIVENESS
#define LATER ;
#else
#define LATER }; atomic {
#endif

proctype Operators() {
	do
	:: store < VERSIONS -> store++
	:: else -> break
	od
}

/* Watcher reads the store once there is something new, and again if it was cut off. */
proctype Watcher(byte n) {
	byte v;
	byte seen;
end:
	do
	:: atomic { n != cutWatcher && store > seen ->
		seen = store;
#ifdef NO_REREAD
		if
		:: v = store
		:: v = 0
		fi;
#else
		v = store;
#endif
		if
		:: v != 0 -> hearRead(n, v)
		:: else -> skip
		fi
		LATER
		offer(n, v);
		v = 0 }
	od
}

/* LateEvent is an event of the store that was held up. */
proctype LateEvent(byte n) {
	byte v;
end:
	atomic { n != cutWatcher && store > 0 -> v = store };
	atomic { hearRead(n, v); offer(n, v); v = 0 }
}

#ifdef NO_HEAR_PEER
#define HEARD_ANEW(n, v, a) (v > told[n])
#define hearPeer(n, v, a) skip
#else
#define HEARD_ANEW(n, v, a) (!COUNTS(n) || v > heard[n] || (v == heard[n] && a < age[n]))
#define hearPeer(n, v, a) hear(n, v, a)
#endif

/* SHOWS is a message with a version in force that node n lacks. */
#define SHOWS(n, m) (LINKED(n, m) && current[m] > current[n] && HEARD_ANEW(n, current[m], 0))

/* RELAYS is a message with a version that node m has heard of. */
#ifdef NO_RELAY
#define RELAYS(n, m) false
#else
#ifdef NO_EXPIRED
#define YOUNG(m) true
#else
#define YOUNG(m) (age[m] + HOP_OF(m) < OLD)
#endif
#define RELAYS(n, m) (LINKED(n, m) && COUNTS(m) && heard[m] > current[m] && YOUNG(m) && HEARD_ANEW(n, heard[m], age[m] + HOP_OF(m)))
#endif
#ifdef NO_AGE
/* what is passed on is as good as new */
#define HOP_OF(m) (0 - age[m])
#else
#define HOP_OF(m) 1
#endif

#define HEARS(m) \
	:: atomic { n != m && SHOWS(n, m) -> \
		raise(told[n], current[m]); \
		hearPeer(n, current[m], 0) } \
	:: atomic { n != m && RELAYS(n, m) -> \
		if \
		:: heard[m] <= store -> raise(told[n], heard[m]) \
		:: else -> skip \
		fi; \
		hearPeer(n, heard[m], age[m] + HOP_OF(m)) }

/* Member hears from the other nodes, again and again. */
proctype Member(byte n) {
end:
	do
	HEARS(0)
	HEARS(1)
	HEARS(2)
	od
}

#ifdef NO_REFUSED_PER_VERSION
#define WANTED(v) (v > current[n] && refused == 0)
#else
#define WANTED(v) (v > current[n] && v != refused)
#endif

#define PULLS(m) \
	:: atomic { n != m && LINKED(n, m) && !given && WANTED(current[m]) -> \
		v = current[m]; \
		raise(told[n], v); \
		hearPeer(n, v, 0) \
		LATER \
		if \
		:: breaks < BREAKS -> breaks++; given = GIVES_UP \
		:: offer(n, v); refused = (v > current[n] -> v : refused) \
		fi; \
		v = 0 }

#ifdef NO_RETRY
#define GIVES_UP true
#else
#define GIVES_UP false
#endif

/* Puller fetches a higher version from a node that has it in force, and may be
 * broken off. */
proctype Puller(byte n) {
	byte v;
	byte refused; /* the version that was fetched and not taken */
	bool given;   /* up */
end:
	do
	PULLS(0)
	PULLS(1)
	PULLS(2)
	od
}

#ifdef NO_BEHIND
#define BEHIND(n, v) false
#else
#ifdef NO_LOOKED_UP
/* compared with what is in force by now */
#define BEHIND(n, v) (COUNTS(n) && heard[n] > current[n])
#else
#define BEHIND(n, v) (unreadable[n] || (COUNTS(n) && heard[n] > v) || current[n] > v)
#endif
#endif

/* Caller asks a node for a route that is not in force there. */
proctype Caller() {
	byte n, v;
end:
	atomic { store > 0;
		if
		:: n = 0
		:: n = 1
		:: n = 2
		fi;
		v = current[n] };
	atomic {
		if
		:: BEHIND(n, v) -> skip /* not run, come back */
		:: else ->
			/* no such route: true as far as the node was told */
			assert(current[n] <= v);
			assert(told[n] <= v)
		fi;
		n = 0;
		v = 0
	}
}

#ifdef LIVENESS
#define HAS(n, m) (!LINKED(n, m) || current[n] >= current[m] || refuses[n] == current[m])
#define HEARD(n, v) ((COUNTS(n) && heard[n] >= v) || current[n] >= v)
#define KNOWS(n, m) (!LINKED(n, m) || ((!COUNTS(m) || HEARD(n, heard[m])) && HEARD(n, current[m])))
#define READ(n) (n == cutWatcher || (HEARD(n, store) && (current[n] == store || refuses[n] == store)))
#define PAIR(n, m) (HAS(n, m) && HAS(m, n) && KNOWS(n, m) && KNOWS(m, n))
/* no node waits for what does not exist */
#ifdef FAULTY
#define REAL(n) (!COUNTS(n) || heard[n] <= store)
#else
#define REAL(n) true
#endif
#define TELLING(n, m) (SHOWS(n, m) || RELAYS(n, m))
#define QUIET (!TELLING(0, 1) && !TELLING(1, 0) && !TELLING(0, 2) && !TELLING(2, 0) && !TELLING(1, 2) && !TELLING(2, 1))

inline older(n) {
	if
	:: age[n] < OLD -> age[n]++
	:: else -> heard[n] = 0
	fi;
#ifndef NO_TELL_STORED
	if
	:: stored[n] > current[n] -> hear(n, stored[n], 0)
	:: else -> skip
	fi
#endif
}

/* Time makes news old. Messages are quicker than that. */
proctype Time() {
	do
	:: atomic { QUIET -> older(0); older(1); older(2) }
	od
}

/* Look tells whether all is told. */
bool settled;
proctype Look() {
	do
	:: settled = (READ(0) && READ(1) && PAIR(0, 1) && PAIR(0, 2) && PAIR(1, 2) && REAL(0) && REAL(1) && REAL(2))
	od
}
#endif

init {
	byte i = 0;
	atomic {
		age[0] = OLD; age[1] = OLD; age[2] = OLD;
#ifdef FAULTY
		heard[2] = PHANTOM;
		age[2] = PHANTOM_AGE;
#endif
		if
		:: i = 1
		:: i = VERSIONS
		fi;
		if
		:: skip
		:: refuses[0] = i
		:: refuses[0] = i; refuses[1] = i
		:: refuses[2] = i
		fi;
		i = 0;
#ifdef LIVENESS
		/* for safety, who is cut off is one that never gets its turn */
		if
		:: skip
		:: cutWatcher = 0
		:: cutA = 0; cutB = 2
		:: cutA = 1; cutB = 2
		fi;
#endif
		run Operators();
		run Watcher(0);
		run Watcher(1);
		run Member(0);
		run Member(1);
		run Member(2);
		run Puller(0);
		run Puller(1);
		run Puller(2);
#ifdef LIVENESS
#ifdef FAULTY
		run Time();
#endif
		run Look()
#else
#ifndef UNREADABLE
		run LateEvent(0);
#endif
		run Caller()
#endif
	}
}

#ifdef LIVENESS
/* who is in touch with a node that has a version gets it, unless it refuses it,
 * and hears of whatever that node has heard of */
ltl spread { <>[] settled }
#endif
