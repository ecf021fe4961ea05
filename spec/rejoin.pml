/*
 * A node's process that ends and starts again at its address, as two others see
 * it through gossip. Each process has an identity of its own, and the later one a
 * higher epoch. Claims arrive late, in any order and any number of times; the
 * others suspect whom they don't reach, rightly or not, and a process that lives
 * refutes what it hears of itself.
 *
 * Each safeguard can be left out by -DNO_...; the checker must then find an
 * error. See docs/design/model-checking.md for the Go function of each step.
 */

#define OTHERS 2
#define SEQS 3 /* a process refutes twice at most */

/* states of a member, by precedence at the same sequence; ABSENT has no row */
#define ALIVE 0
#define SUSPECT 1
#define DEAD 2
#define LEFT 3
#define ABSENT 4

#ifdef NO_NEW_ID
#define ID(p) 0
#else
#define ID(p) (p)
#endif

byte running = 9;      /* the process that runs, 9 for none */
byte seq[2];           /* highest sequence that a process has claimed */
bool over;             /* process 0 has ended, process 1 has started */

/* claims that may arrive, by identity and sequence, one bit for each state */
byte claims[6];
#define CLAIMS(i, s) claims[(i) * SEQS + (s)]
#define BIT(state) (1 << (state))

/* rows of the others, by other and identity */
byte state[4];
byte known[4];
#define ROW(o, i) ((o) * 2 + (i))
bool toldLeft[2];      /* the other has taken in that process 0 leaves */

inline setRow(o, i, st, s) {
#ifdef NO_NEW_ID
	/* the later process is not taken for one that left */
	assert(!(over && st == LEFT));
#else
	/* a process that left is not brought back */
	assert(!(toldLeft[o] && i == 0 && st < DEAD));
#endif
	state[ROW(o, i)] = st;
	known[ROW(o, i)] = s;
	toldLeft[o] = toldLeft[o] || (i == 0 && st == LEFT)
}

#ifdef NO_EPOCH
/* who is heard last holds the address */
#define LOSER(i) (1 - (i))
#else
#define LOSER(i) 0
#endif

/* settle decides between two identities at one address. */
inline settle(o, i) {
	if
	:: state[ROW(o, 0)] < DEAD && state[ROW(o, 1)] < DEAD ->
		state[ROW(o, LOSER(i))] = DEAD
	:: else -> skip
	fi
}

#ifdef NO_STATE_ORDER
#define NEWER(o, i, st, s) (s > known[ROW(o, i)] || (s == known[ROW(o, i)] && st != state[ROW(o, i)]))
#else
#define NEWER(o, i, st, s) (s > known[ROW(o, i)] || (s == known[ROW(o, i)] && st > state[ROW(o, i)]))
#endif

#define TAKE(o, i, st, s) \
	:: atomic { (CLAIMS(i, s) & BIT(st)) && state[ROW(o, i)] == ABSENT && st < DEAD -> \
		setRow(o, i, ALIVE, s); settle(o, i) } \
	:: atomic { (CLAIMS(i, s) & BIT(st)) && state[ROW(o, i)] != ABSENT && NEWER(o, i, st, s) \
		&& !(st == DEAD && state[ROW(o, i)] == ALIVE) && !(st == SUSPECT && state[ROW(o, i)] >= DEAD) -> \
		setRow(o, i, st, s); \
		if \
		:: st == ALIVE -> settle(o, i) \
		:: else -> skip \
		fi }

#define TAKES(o, i, s) \
	TAKE(o, i, ALIVE, s) \
	TAKE(o, i, SUSPECT, s) \
	TAKE(o, i, DEAD, s) \
	TAKE(o, i, LEFT, s)

/* Other takes in claims of both identities. */
proctype Other(byte o) {
end:
	do
	TAKES(o, 0, 0)
	TAKES(o, 0, 1)
	TAKES(o, 0, 2)
	TAKES(o, 1, 0)
	TAKES(o, 1, 1)
	TAKES(o, 1, 2)
	od
}

/* Prober suspects who does not answer, and once who does. */
proctype Prober(byte o) {
	bool wrong;
end:
	do
	:: atomic { state[ROW(o, 0)] == ALIVE && running != 0 -> state[ROW(o, 0)] = SUSPECT;
		CLAIMS(0, known[ROW(o, 0)]) = CLAIMS(0, known[ROW(o, 0)]) | BIT(SUSPECT) }
	:: atomic { state[ROW(o, 0)] == SUSPECT -> state[ROW(o, 0)] = DEAD;
		CLAIMS(0, known[ROW(o, 0)]) = CLAIMS(0, known[ROW(o, 0)]) | BIT(DEAD) }
	:: atomic { !wrong && state[ROW(o, 1)] == ALIVE -> wrong = true; state[ROW(o, 1)] = SUSPECT;
		CLAIMS(1, known[ROW(o, 1)]) = CLAIMS(1, known[ROW(o, 1)]) | BIT(SUSPECT) }
	:: atomic { state[ROW(o, 1)] == SUSPECT -> state[ROW(o, 1)] = DEAD;
		CLAIMS(1, known[ROW(o, 1)]) = CLAIMS(1, known[ROW(o, 1)]) | BIT(DEAD) }
	od
}

/* Process runs twice. The first one leaves or crashes. */
proctype Process() {
	atomic { running = 0; CLAIMS(0, 0) = CLAIMS(0, 0) | BIT(ALIVE) };
	if
	:: atomic { CLAIMS(0, seq[0]) = CLAIMS(0, seq[0]) | BIT(LEFT) }
	:: skip
	fi;
	atomic { running = 1; over = true; CLAIMS(ID(1), 0) = CLAIMS(ID(1), 0) | BIT(ALIVE) }
}

#ifdef NO_REFUTE
#define REFUTES false
#else
#define REFUTES true
#endif

#define REFUTE(s) \
	:: atomic { REFUTES && running == 1 && seq[1] == s && (CLAIMS(1, s) & (BIT(SUSPECT) | BIT(DEAD))) -> \
		seq[1] = s + 1; CLAIMS(1, s + 1) = CLAIMS(1, s + 1) | BIT(ALIVE) }

/* Refuter answers for the process that lives. */
proctype Refuter() {
end:
	do
	REFUTE(0)
	REFUTE(1)
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
		state[0] = ABSENT; state[1] = ABSENT; state[2] = ABSENT; state[3] = ABSENT;
		run Process();
		run Refuter();
		run Other(0);
		run Other(1);
		run Prober(0);
		run Prober(1)
#ifdef LIVENESS
		; run Time()
#endif
	}
}

#ifdef LIVENESS
/* the process that goes on is in use in the end, and no other */
ltl inUse { <>[] (state[1] == ALIVE && state[3] == ALIVE && state[0] >= DEAD && state[2] >= DEAD) }
#endif
