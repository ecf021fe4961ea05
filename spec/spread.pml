/*
 * How a configuration travels from the store to all nodes, and what a node says
 * of a route that it does not know. Nodes 0 and 1 read the store, node 2 hears
 * from members alone. Any node may refuse a version; a watcher may be cut off
 * from the store, or two nodes from each other, for ever; transfers break off,
 * events of the store arrive late. Version v adds route v.
 *
 * Each safeguard can be left out by -DNO_...; the checker must then find an
 * error. See docs/design/model-checking.md for the Go function of each step.
 */

#define NODES 3
#define WATCHERS 2
#define VERSIONS 2
#ifdef LIVENESS
#define BREAKS 1 /* transfers that break off */
#else
#define BREAKS 0
#endif
#define NONE 9

byte store;                 /* version in the store */
byte current[NODES];        /* version in force, 0 for the default */
byte heard[NODES];          /* highest version that the node was told of */
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

/* hearRead notes what was read from the store. */
inline hearRead(n, v) {
	raise(told[n], v);
#ifdef NO_HEAR_READ
	/* heard of only once it is in force */
	skip
#else
#ifdef UNREADABLE
	/* of a version that can't be read not even the number is known */
	if
	:: v == refuses[n] -> raise(heard[n], current[n] + 1)
	:: else -> raise(heard[n], v)
	fi
#else
	raise(heard[n], v)
#endif
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

#ifdef NO_REREAD
/* each event is seen once, or lost with its watch */
#define UNREAD (store > seen)
#else
#define UNREAD (store > heard[n] || (store > current[n] && store != refuses[n]))
#endif

/* Watcher reads the store while there is something new. */
proctype Watcher(byte n) {
	byte v;
	byte seen;
end:
	do
	:: atomic { n != cutWatcher && UNREAD ->
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

/* toldOf notes the version that a message shows. */
inline toldOf(n, v) {
	raise(told[n], v);
#ifndef NO_HEAR_PEER
	raise(heard[n], v);
#endif
	skip
}

#ifdef NO_RELAY
/* messages show the version in force alone */
#define SHOWS(n, m) (LINKED(n, m) && current[m] > heard[n])
#else
#define SHOWS(n, m) (LINKED(n, m) && (current[m] > heard[n] || heard[m] > heard[n]))
#endif

#define HEARS(m) \
	:: atomic { n != m && SHOWS(n, m) -> \
		toldOf(n, current[m]); \
		RELAYED(m) }
#ifdef NO_RELAY
#define RELAYED(m) skip
#else
#define RELAYED(m) toldOf(n, heard[m])
#endif

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
		toldOf(n, v) \
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
#define BEHIND(n, v) (heard[n] > current[n])
#else
#define BEHIND(n, v) (heard[n] > v || current[n] > v)
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
		/* a node does not tell callers to come back for what does not exist */
		assert(heard[n] <= store);
		n = 0;
		v = 0
	}
}

#ifdef LIVENESS
#define HAS(n, m) (!LINKED(n, m) || current[n] >= current[m] || refuses[n] == current[m])
#define HEARD(n, v) (heard[n] >= v || current[n] >= v)
#define KNOWS(n, m) (!LINKED(n, m) || (HEARD(n, heard[m]) && HEARD(n, current[m])))
#define READ(n) (n == cutWatcher || (HEARD(n, store) && (current[n] == store || refuses[n] == store)))
#define PAIR(n, m) (HAS(n, m) && HAS(m, n) && KNOWS(n, m) && KNOWS(m, n))

/* Time goes on although nothing else does, and looks whether all is told. */
bool settled;
proctype Time() {
	do
	:: settled = (READ(0) && READ(1) && PAIR(0, 1) && PAIR(0, 2) && PAIR(1, 2))
	od
}
#endif

init {
	byte i = 0;
	atomic {
		if
		:: i = 1
		:: i = 2
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
		run Time()
#else
		run LateEvent(0);
		run Caller()
#endif
	}
}

#ifdef LIVENESS
/* who is in touch with a node that has a version gets it, unless it refuses it,
 * and hears of whatever that node has heard of */
ltl spread { <>[] settled }
#endif
