/*
 * Which incarnation of an upstream its node sends calls to (incarnation/tracker.go,
 * node/upstream.go, node/departures.go). Incarnations with names of their own run at one address
 * one after the other. Each announces itself, may leave with a call and serve on, or crash. Its
 * heartbeats arrive late or never, its leave call late, repeatedly or never. The node's process
 * may end at any point and be followed by another, and the platform's store may be down.
 *
 * No request runs at an incarnation once its departure was acknowledged, whichever process
 * acknowledged it. The time that a drain may take is left out: a departure takes effect at once.
 *
 * Assumed: an incarnation's first heartbeat is not later than its leave. How late the others may
 * be counts only while the store does not respond: a heartbeat is then taken once none can arrive
 * that was sent before the process began.
 *
 * Each safeguard can be left out by -DNO_...; the checker must then find an error. See
 * docs/design/model-checking.md for the Go function of each step.
 */

#define LIVES 2
#define RESTARTS 2
#define OUTAGES 2
#define BEATS 3
#define FINAL 9

byte running;			/* the incarnation at the address, 0 for none */
byte started;			/* the latest one that has started */
byte sent[LIVES + 1];		/* the latest heartbeat sent */
byte arrived[LIVES + 1];	/* the latest one that may not arrive any more */
bool leaves[LIVES + 1];
bool acked[LIVES + 1];

bool storeUp = true;
bool stored[LIVES + 1];
byte restarts, outages;

/* the node's process */
byte current;
byte heard[LIVES + 1];		/* the latest heartbeat taken, FINAL after a departure */
byte before[LIVES + 1];		/* the latest heartbeat sent before the process began */
bool restored, misdirected;
byte c;

/* Tracker.Restore, once Log.Load has succeeded */
inline restore() {
	restored = true;
#ifndef NO_RESTORE
	c = 1;
	do
	:: c <= LIVES ->
		if
		:: stored[c] -> heard[c] = FINAL
		:: else
		fi;
		c++
	:: else -> break
	od;
	c = 0
#endif
}

/* Tracker.mayReplace: one that was replaced does not come back while the current one is heard of */
#define REPLACED(l) (heard[l] != 0 && current != 0 && current != l)

/* Tracker.Heartbeat */
inline take(l, s) {
	if
	:: s <= heard[l] || REPLACED(l) -> skip
	:: else -> current = l; heard[l] = s; misdirected = false
	fi
}

/* Node.awaitRestored */
inline heartbeat(l, s) {
	if
	:: s > 1 && !restored && storeUp -> restore()
	:: else
	fi;
	if
#ifndef NO_WAIT
	:: s > 1 && !restored && s <= before[l] -> skip
	:: !(s > 1 && !restored && s <= before[l]) -> take(l, s)
#else
	:: take(l, s)
#endif
	fi
}

/* Node.Leaving: departureLog.awaitStored */
inline leave(l) {
#ifndef NO_FINAL
	heard[l] = FINAL;
#endif
#ifndef NO_STORE
	if
	:: storeUp -> stored[l] = true
	:: else
	fi;
#endif
#if defined(NO_ACK_WAIT) || defined(NO_STORE)
	acked[l] = true
#else
	if
	:: stored[l] -> acked[l] = true
	:: else
	fi
#endif
}

/* Node.runLocal, Node.adoptInstance, Tracker.Misdirected */
inline request() {
	if
	:: running == current -> assert(!acked[running])
	:: running != current ->
		/* 421: nothing runs */
		if
#ifdef NO_ANNOUNCED
		:: true -> current = running
#else
		:: heard[running] != 0 -> current = running
		:: heard[running] == 0 -> misdirected = true
#endif
		fi
	fi
}

#define AVAILABLE (current != 0 && heard[current] != FINAL && !misdirected)

active proctype System() {
	byte l;
end:
	do
	/* the upstream */
	:: atomic { running == 0 && started < LIVES -> started++; running = started; sent[running] = 1 }
	:: atomic { running != 0 && sent[running] < BEATS && !leaves[running] -> sent[running]++ }
	:: atomic { running != 0 && !leaves[running] ->
		leaves[running] = true;
		arrived[running] = (arrived[running] == 0 -> 1 : arrived[running]) }
	:: atomic { running != 0 -> running = 0 }
	/* messages */
	:: atomic {
		l = 1;
		do :: l < LIVES -> l++ :: break od;
		if
		:: sent[l] > arrived[l] ->
			arrived[l]++;
			heartbeat(l, arrived[l])
		:: sent[l] > arrived[l] -> arrived[l]++	/* lost */
		:: leaves[l] && !acked[l] -> leave(l)
		:: else
		fi;
		l = 0 }
	/* requests */
	:: atomic { AVAILABLE && running != 0 -> request() }
	/* the store, and departureLog.run */
	:: atomic { storeUp && outages < OUTAGES -> storeUp = false; outages++ }
	:: atomic { !storeUp -> storeUp = true;
#ifndef NO_STORE
		c = 1;
		do
		:: c <= LIVES ->
			if
			:: leaves[c] && heard[c] == FINAL -> stored[c] = true
			:: else
			fi;
			c++
		:: else -> break
		od;
		c = 0
#endif
		}
	/* the next process */
	:: atomic { restarts < RESTARTS ->
		restarts++;
		current = 0; restored = false; misdirected = false;
		c = 1;
		do
		:: c <= LIVES -> heard[c] = 0; before[c] = sent[c]; c++
		:: else -> break
		od;
		c = 0 }
	od
}
