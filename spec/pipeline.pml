/*
 * The order of answers on a connection whose caller sends requests behind one
 * another. A splitter looks at the bytes on their way to the server and begins
 * repeatable reads before their turn; the server reads, answers and closes the
 * connection as net/http does. Runs end in any order, the caller leaves at any
 * time, an answer breaks off, the node ends and closes connections, a handler
 * refuses what was begun, and the splitter takes a piece of a body for a request.
 *
 * Each safeguard can be left out by -DNO_...; the checker must then find an
 * error. See docs/design/model-checking.md for the Go function of each step.
 */

#ifndef REQUESTS
#define REQUESTS 4
#endif
#define MAX_AHEAD 2
#define PHANTOM REQUESTS /* the run of a request that no caller sent */
#define NONE 9

/* kinds of requests */
#define READ 0         /* repeatable, of a safe method */
#define UNREPEATABLE 1 /* of a safe method, and its profile forbids a second run */
#define WRITE 2        /* of another method, unrepeatable */
#define LAST_READ 3    /* a read that asks for the end of the connection */

/* states of a run */
#define UNBEGUN 0
#define RUNNING 1
#define READY 2
#define ENDED 3 /* answered, refused or dropped */

byte kind[REQUESTS];
byte state[REQUESTS + 1];

byte arrived;          /* requests received */
byte turn;             /* the request that is served, or will be next */
byte answered;         /* whole answers written */
bool serving;
bool open = true;
bool left;             /* the caller has gone */
bool broken;           /* an answer broke off */
bool closing;          /* the answer being made closes the connection */

/* the splitter and the connection */
byte ahead;            /* the request at which the splitter stands */
bool lost;             /* the splitter has given up */
bool waiting;          /* what stands next has to wait for its turn */
byte queue[MAX_AHEAD]; /* runs begun early, in order */
byte queued;
byte current = NONE;   /* the run of the request being served */
byte misread = NONE;   /* where the splitter will see a phantom */
bool seen;             /* it has seen it */

byte j;                /* within one step; 0 between steps */

/* execute begins the run of request i, early or in its turn. */
inline execute(i) {
	assert(state[i] == UNBEGUN || (state[i] == ENDED && (kind[i] == READ || kind[i] == LAST_READ)));
	assert(!closing);
	if
	:: kind[i] == UNREPEATABLE || kind[i] == WRITE -> assert(answered == i)
	:: else -> skip
	fi;
	/* what stands behind a write may depend on it, and behind a request that
	 * closes the connection nothing is read */
	do
	:: j < i ->
		assert(kind[j] != LAST_READ);
		assert(kind[j] != WRITE || j < answered);
		j++
	:: else -> break
	od;
	j = 0;
	state[i] = RUNNING
}

inline enqueue(r) {
	queue[queued] = r;
	queued++
}

/* dropAll ends what was begun and not served. */
inline dropAll() {
#ifdef NO_DROP
	queued = 0;
#else
	do
	:: queued > 0 ->
		queued--;
		/* else the caller is owed its answer */
		assert(left || broken || seen);
		state[queue[queued]] = ENDED;
		queue[queued] = 0
	:: else -> break
	od;
#endif
	lost = true
}

#ifdef NO_REPEATABLE_ONLY
#define REFUSED false
#else
#define REFUSED (kind[ahead] == UNREPEATABLE)
#endif
#ifdef NO_SAFE_METHOD
#define BEGINS (kind[ahead] != LAST_READ)
#else
#ifdef NO_CLOSE_WAITS
#define BEGINS (kind[ahead] != WRITE)
#else
#define BEGINS (kind[ahead] == READ || kind[ahead] == UNREPEATABLE)
#endif
#endif

/* lookAhead begins what may begin. */
inline lookAhead() {
	do
	:: serving && !lost && !waiting && ahead < arrived && queued < MAX_AHEAD ->
		if
		:: ahead == misread && !seen ->
			seen = true;
			state[PHANTOM] = RUNNING;
			enqueue(PHANTOM)
		:: (ahead != misread || seen) && !BEGINS -> break
		:: (ahead != misread || seen) && BEGINS && REFUSED ->
#ifdef NO_WAIT_BEHIND
			ahead++
#else
			waiting = true
#endif
		:: (ahead != misread || seen) && BEGINS && !REFUSED ->
			execute(ahead);
			enqueue(ahead);
			ahead++
		fi
	:: else -> break
	od
}

/* pop takes the run whose turn has come. */
inline pop() {
	current = queue[0];
	queue[0] = queue[1];
	queue[1] = 0;
	queued--;
#ifndef NO_SAME_REQUEST
	if
	:: current != turn ->
		state[current] = ENDED;
		current = NONE;
		dropAll()
	:: else -> skip
	fi;
#endif
#ifdef NO_ORDER
	/* the answer that is ready first */
	if
	:: queued > 0 && state[current] == RUNNING && state[queue[0]] == READY ->
		j = queue[0];
		queue[0] = current;
		current = j;
		j = 0
	:: else -> skip
	fi
#endif
}

/* Server reads requests in order, once the one before is answered. */
proctype Server() {
serve:
	if
	:: atomic { open && turn < arrived ->
		serving = true;
		if
		:: queued == 0 ->
#ifndef NO_WRITE_FIRST
			waiting = (kind[turn] == WRITE);
#else
			waiting = false;
#endif
			/* what the splitter does not stand at, it has lost */
			lost = lost || ahead != turn || kind[turn] == LAST_READ;
			ahead = turn + 1
		:: else -> pop()
		fi;
		if
		:: current == NONE -> execute(turn)
		:: else -> skip
		fi;
		lookAhead() }
	:: atomic { (!open || (turn == arrived && (left || arrived == REQUESTS))) -> goto close }
	fi;
	/* the run of the request, if it was begun early, or the handler's own */
	if
	:: atomic { current != NONE && state[current] == RUNNING -> /* refused in its turn */
#ifndef NO_LET_GO
		state[current] = ENDED;
#endif
		current = NONE }
	:: atomic { current != NONE && state[current] == READY ->
		assert(current == turn);
		state[current] = ENDED;
		current = NONE }
	:: atomic { current == NONE && state[turn] == READY -> state[turn] = ENDED }
	fi;
	/* the head of the answer: the node may be ending */
	if
	:: atomic { kind[turn] == LAST_READ -> closing = true }
	:: kind[turn] != LAST_READ
#ifdef NO_LAST
	:: atomic { kind[turn] != LAST_READ -> closing = true; lost = true }
#else
	:: atomic { kind[turn] != LAST_READ && queued == 0 ->
		closing = true;
#ifndef NO_LAST_STOPS
		lost = true
#endif
		}
#endif
	fi;
	/* its body */
	if
	:: atomic {
		assert(answered == turn && !broken);
		answered++ }
	:: broken = true
	fi;
	atomic {
		serving = false;
		turn++;
#ifdef NO_BREAK
		if
		:: closing -> open = false
		:: else -> skip
		fi
#else
		if
		:: closing || broken -> open = false
		:: else -> skip
		fi
#endif
	};
	goto serve;
close:
	atomic {
		open = false;
		dropAll()
	};
	/* each request has its answer unless the connection ended before, and each
	 * run was answered or let go of */
	atomic {
		assert(answered == REQUESTS || left || broken || closing);
		do
		:: j <= REQUESTS -> assert(state[j] == UNBEGUN || state[j] == ENDED); j++
		:: else -> break
		od;
		j = 0
	}
}

/* Caller sends, and may leave. What it had sent may still be served. */
proctype Caller() {
	do
	:: atomic { arrived < REQUESTS && open && !left -> arrived++; lookAhead() }
	:: atomic { !left -> left = true; dropAll(); break }
	:: !open || arrived == REQUESTS -> break
	od
}

/* Runs end in any order. */
proctype Runs() {
end:
	do
	:: atomic { state[0] == RUNNING -> state[0] = READY }
	:: atomic { state[1] == RUNNING -> state[1] = READY }
	:: atomic { state[2] == RUNNING -> state[2] = READY }
	:: atomic { state[3] == RUNNING -> state[3] = READY }
	:: atomic { state[PHANTOM] == RUNNING -> state[PHANTOM] = READY }
	od
}

init {
	byte i = 0;
	atomic {
		do
		:: i < REQUESTS ->
			if
			:: kind[i] = READ
			:: kind[i] = UNREPEATABLE
			:: kind[i] = WRITE
			:: kind[i] = LAST_READ
			fi;
			i++
		:: else -> break
		od;
		if
		:: misread = NONE
		:: misread = 1
		:: misread = 2
		fi;
		i = 0;
		run Server();
		run Caller();
		run Runs()
	}
}
