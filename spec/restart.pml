/*
 * An upstream that starts again under its id. Its lives announce themselves to
 * the node beside it, drain, say farewell or crash; their calls arrive late, in
 * any order, any number of times or never. Another node hears through gossip
 * whether the upstream takes calls.
 *
 * A life is told from another by its start, by the clock of its VM. With
 * -DCLOCK_BACK that clock is set back between the lives, and the later life
 * seems to be the earlier one. Late calls of an ended life are then bounded: none
 * arrives once the silence has passed after which an earlier start counts.
 *
 * Each safeguard can be left out by -DNO_...; the checker must then find an
 * error. See docs/design/model-checking.md for the Go function of each step.
 */

#ifndef LIVES
#define LIVES 2
#endif
#define LEFT 9     /* a sequence above all others */
#define CLAIMS 8   /* bound of the changes that gossip tells */

/* calls of a life, as bits; the last one has no sequence */
#define TAKING 1   /* the announcement with sequence 1 */
#define DRAINING 2 /* the announcement with sequence 2 */
#define FAREWELL 4

byte sent[LIVES + 1];     /* calls that may still arrive */
byte running;             /* the life that runs, 0 for none */

/* the node beside the upstream */
byte knownBorn;
byte knownSequence;
bool silent;              /* the known life was not heard for reorderWindow */
byte upstream;            /* the life that is taken for the upstream */
bool draining = true;     /* the node sends it no calls */

/* what the node has told, by the sequence of its own claims */
byte claims;
bool claimDraining[CLAIMS];
byte claimLife[CLAIMS];

/* the other node */
byte heard;               /* the highest claim taken in */
bool otherDraining = true;

/* what really happened, for the properties */
byte newest;              /* the latest life that the node accepted */
bool gone[LIVES + 1];     /* the node got the farewell of the life */
byte last[LIVES + 1];     /* the highest sequence accepted of the life */
byte otherNewest;
bool otherGone[LIVES + 1];

#ifdef CLOCK_BACK
#define BORN(l) (LIVES + 1 - (l))
#else
#define BORN(l) (l)
#endif

#ifdef LIVENESS
#define promise(x) skip
#else
#define promise(x) assert(x)
#endif

/* tell makes a claim of what has changed. */
inline tell(l) {
	if
	:: claims == 0 || claimDraining[claims] != draining || claimLife[claims] != l ->
		assert(claims < CLAIMS - 1);
		claims++;
		claimDraining[claims] = draining;
		claimLife[claims] = l
	:: else -> skip
	fi
}

#ifdef NO_BORN
#define EARLIER(l) false
#else
#ifdef NO_SILENCE
#define EARLIER(l) (BORN(l) < knownBorn)
#else
#define EARLIER(l) (BORN(l) < knownBorn && !silent)
#endif
#endif
#ifdef NO_NEW_SEQUENCE
#define SAME(l) (knownBorn != 0)
#else
#define SAME(l) (BORN(l) == knownBorn)
#endif
#ifdef NO_SEQUENCE
#define REPEATED(l, s) (SAME(l) && knownSequence == LEFT)
#else
#define REPEATED(l, s) (SAME(l) && (s) <= knownSequence)
#endif

inline setDraining(l, d) {
	/* a life that has left is not brought back */
	promise(d || !gone[l]);
	draining = d;
	tell(l)
}

#ifdef NO_LOCK
/* an announcement that was found fresh, and has not taken effect */
byte pendingLife;
bool pendingDraining;
#endif

inline announce(l, s) {
	if
	:: EARLIER(l) || REPEATED(l, s) -> skip
	:: else ->
		promise(!gone[l]);
		promise(l >= newest);
		promise(s > last[l]);
		newest = l;
		last[l] = s;
		knownBorn = BORN(l);
		knownSequence = s;
		silent = false;
		upstream = l;
#ifdef NO_LOCK
		pendingLife = l;
		pendingDraining = (s == 2)
#else
		setDraining(l, s == 2)
#endif
	fi
}

#ifdef NO_FAREWELL_BORN
#define FAREWELL_BORN(l) 0
#else
#define FAREWELL_BORN(l) BORN(l)
#endif

inline leaving(l) {
	gone[l] = true;
	if
	:: FAREWELL_BORN(l) != 0 && FAREWELL_BORN(l) < knownBorn -> skip
	:: else ->
		/* the later life is not taken for gone */
		promise(l >= newest);
#ifndef NO_FAREWELL_KEPT
		knownBorn = (BORN(l) > knownBorn -> BORN(l) : knownBorn);
#endif
#ifndef NO_LEFT_SEQUENCE
		knownSequence = LEFT;
#endif
#ifndef NO_FAREWELL_HEARD
		silent = false;
#else
		/* the time at which nothing was heard is long ago */
		silent = silent || upstream == 0;
#endif
		if
		:: upstream != 0 -> setDraining(l, true)
		:: else -> skip
		fi
	fi
}

/* Upstream lives LIVES times. Each life but the last of a check of liveness
 * may drain, say farewell and crash at any point. */
proctype Upstream() {
	byte l = 1;
	do
	:: l <= LIVES ->
		atomic { running = l; sent[l] = TAKING };
		if
#ifdef LIVENESS
		:: l < LIVES -> sent[l] = sent[l] | DRAINING
#else
		:: sent[l] = sent[l] | DRAINING
#endif
		:: skip
		fi;
		if
#ifdef LIVENESS
		:: l < LIVES -> sent[l] = sent[l] | FAREWELL
#else
		:: sent[l] = sent[l] | FAREWELL
#endif
		:: skip
		fi;
#ifdef LIVENESS
		if
		:: l == LIVES -> break
		:: else -> skip
		fi;
#endif
		running = 0;
		l++
	:: else -> break
	od;
	l = 0
}

#ifdef NO_REPEAT
/* each call arrives once */
#define ANNOUNCES(l, s) true
#define LEAVES(l) true
#define ARRIVED(l, m) sent[l] = sent[l] & (7 - m)
#else
#define ANNOUNCES(l, s) !(EARLIER(l) || REPEATED(l, s))
#define LEAVES(l) (!gone[l] || BORN(l) > knownBorn || (BORN(l) == knownBorn && (knownSequence != LEFT || !draining)))
#define ARRIVED(l, m) skip
#endif

/* Network delivers what a life has sent, late and repeatedly, or never. A call
 * that changes nothing is left out. */
proctype Network(byte l) {
end:
	do
	:: atomic { (sent[l] & TAKING) && ANNOUNCES(l, 1) -> ARRIVED(l, TAKING); announce(l, 1) }
	:: atomic { (sent[l] & DRAINING) && ANNOUNCES(l, 2) -> ARRIVED(l, DRAINING); announce(l, 2) }
	:: atomic { (sent[l] & FAREWELL) && LEAVES(l) -> ARRIVED(l, FAREWELL); leaving(l) }
#ifdef NO_LOCK
	:: atomic { pendingLife == l -> pendingLife = 0; setDraining(l, pendingDraining); pendingDraining = false }
#endif
	od
}

/* Silence passes when the known life does not run, or has left. What other lives
 * than the one that runs have sent does not arrive any more. */
proctype Silence() {
	byte l;
end:
	do
	:: atomic { !silent && knownBorn != 0 && (knownSequence == LEFT || BORN(running) != knownBorn) ->
		silent = true;
		l = 1;
		do
		:: l <= LIVES ->
			if
			:: l != running -> sent[l] = 0
			:: else -> skip
			fi;
			l++
		:: else -> break
		od;
		l = 0 }
	od
}

#ifdef NO_GOSSIP_ORDER
#define NEWS(c) (c <= claims && c != heard)
#else
#define NEWS(c) (c <= claims && c > heard)
#endif

#define TAKE(c) \
	:: atomic { NEWS(c) -> \
		promise(claimDraining[c] || !otherGone[claimLife[c]]); \
		promise(claimLife[c] >= otherNewest || !claimDraining[c]); \
		otherGone[claimLife[c]] = otherGone[claimLife[c]] || (claimDraining[c] && gone[claimLife[c]]); \
		otherNewest = claimLife[c]; \
		heard = c; \
		otherDraining = claimDraining[c] }

/* Other takes in what the node claims, in any order. */
proctype Other() {
end:
	do
	TAKE(1)
	TAKE(2)
	TAKE(3)
	TAKE(4)
	TAKE(5)
	TAKE(6)
	TAKE(7)
	od
}

#ifdef LIVENESS
/* Time goes on although nothing else does. */
proctype Time() {
	bool tick = false;
	do
	:: tick = !tick
	od
}
#endif

init {
	atomic {
		run Upstream();
		run Network(1);
		run Network(2);
#if LIVES > 2
		run Network(3);
#endif
		run Silence();
		run Other()
#ifdef LIVENESS
		; run Time()
#endif
	}
}

#ifdef LIVENESS
/* the life that goes on gets calls in the end, from everywhere */
ltl served { <>[] (upstream == LIVES && !draining && !otherDraining) }
#endif
