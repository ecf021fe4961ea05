/*
 * An upstream states in its responses that it leaves (node/upstreamnotice.go,
 * node/heardnotices.go). The node beside it may restart and forget; the nodes that passed
 * the statement on remember, and state it in their calls. Another incarnation takes the
 * place in the end. Time goes in ticks of drainSpreadTime; two of them are drain_s.
 *
 * A request that is sent later than two ticks after its node has passed the statement on
 * does not reach that incarnation, and none is refused because of an earlier incarnation.
 * Node 0 is the one beside the upstream; its restart excuses its own requests.
 *
 * Each safeguard can be left out by -DNO_...; the checker must then find an error. See
 * docs/design/model-checking.md for the Go function of each step.
 */

#define NODES 3
#define TICKS 4
#define RESTARTS 2
#define NEVER 9
#define SPREAD 1
#define BOUND 2

byte life = 1;			/* the upstream's incarnation */
bool leaves;
byte drained = NEVER;		/* ticks since node 0 drains, for this incarnation */
byte told[NODES];		/* ticks since a node first passed the statement on */
byte toldOf[NODES];		/* of which incarnation */
byte ticks, restarts;
byte c;

/* heardNotice.forCall */
#ifdef NO_STATE
#define STATES(n) false
#else
#define STATES(n) (n != 0 && told[n] != NEVER && told[n] >= SPREAD)
#endif

/* Node.adoptNotice */
#ifdef NO_INSTANCE
#define BINDS(n) STATES(n)
#else
#define BINDS(n) (STATES(n) && toldOf[n] == life)
#endif

/* Gate.Drain, after drainSpreadTime */
#ifdef NO_DRAIN
#define CLOSED false
#else
#define CLOSED (drained != NEVER && drained >= SPREAD)
#endif

inline request(n) {
	if
	:: BINDS(n) ->
		assert(toldOf[n] == life);
		if
		:: drained == NEVER -> drained = 0
		:: else
		fi
	:: else ->
		if
		:: CLOSED
		:: else ->
			/* it reaches the upstream */
			assert(!(told[n] != NEVER && toldOf[n] == life && told[n] > BOUND));
			if
			:: leaves ->
				if
				:: drained == NEVER -> drained = 0
				:: else
				fi;
				if
				:: told[n] == NEVER || toldOf[n] != life -> told[n] = 0; toldOf[n] = life
				:: else
				fi
			:: else ->
				/* heardNotice.after */
				if
				:: STATES(n) -> told[n] = NEVER
				:: else
				fi
			fi
		fi
	fi
}

active proctype System() {
	atomic {
		do
		:: c < NODES -> told[c] = NEVER; c++
		:: else -> break
		od
	}
end:
	do
	:: atomic { c = 0;
		do :: c < NODES - 1 -> c++ :: break od;
		request(c) }
	:: atomic { !leaves -> leaves = true }
	/* the incarnation ends, and the next one is announced */
	:: atomic { leaves && life == 1 -> life++; leaves = false; drained = NEVER }
	:: atomic { restarts < RESTARTS -> restarts++; drained = NEVER; told[0] = NEVER }
	:: atomic { ticks < TICKS -> ticks++;
		c = 0;
		do
		:: c < NODES ->
			if
			:: told[c] != NEVER -> told[c]++
			:: else
			fi;
			c++
		:: else -> break
		od;
		if
		:: drained != NEVER -> drained++
		:: else
		fi }
	od
}
