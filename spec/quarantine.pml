/*
 * The counts of ended upstreams for one request, as the members tell each other
 * of them. The request is the cause (-DCAUSE: each upstream that runs it ends) or
 * innocent (upstreams end beside it for other causes, a few times).
 *
 * Three nodes. Each tells its own latest record, and any node may hear it at any
 * time and any number of times. Node 0 tries the request once its hold is over;
 * time is left out, so that may be at any point. One node is restarted (-DRESTART).
 *
 * Each safeguard can be left out by -DNO_...; the checker must then find an
 * error, but for NO_CONTRADICTION, without which the innocent wait for their trial. See docs/design/model-checking.md for the Go function of each step.
 */

#define NODES 3
#define HOLD 2
#define MOST_ENDS 4
/* ends that may happen beside an innocent request, and trials of a cause */
#define OTHER_ENDS 3
/* how often a cause may run before it is held, and be tried. Where a node restarts it is
 * no more than it takes to find it once: the node must learn it from the others. */
#ifdef RESTART
#define MOST_RUNS 2
#define TRIALS 0
#else
#define MOST_RUNS 5
#define TRIALS 2
#endif

byte ends[NODES], stamp[NODES];
byte toldEnds[NODES], toldStamp[NODES];
bool tells[NODES];
bool completed[NODES];           /* the request completed here since its entry was made */

byte otherEnds, trials, runs;

#define HELD(n) (ends[n] >= HOLD)
#define MAX(a, b) (a > b -> a : b)

inline tell(n) {
	tells[n] = true; toldEnds[n] = ends[n]; toldStamp[n] = stamp[n]
}

/* quarantine.Ledger.Blame: one more than the node or the sender knew */
inline blame(n, sender) {
	ends[n] = MAX(ends[n], ends[sender]) + 1;
	if
	:: ends[n] > MOST_ENDS -> ends[n] = MOST_ENDS
	:: else
	fi;
	completed[n] = false;
	if
	:: ends[n] >= HOLD -> stamp[n]++; tell(n)
	:: else
	fi
}

/* quarantine.Ledger.Completed */
inline complete(n) {
	if
	:: HELD(n) -> ends[n] = 0; stamp[n]++; completed[n] = true; tell(n)
	:: else -> ends[n] = 0; completed[n] = true
	fi
}

/* what m tells is a later word than n's */
#ifdef NO_STAMP
#define NEWS(n, m) (n != m && tells[m] && toldEnds[m] > ends[n])
#else
#define NEWS(n, m) (n != m && tells[m] && (toldStamp[m] > stamp[n] || (toldStamp[m] == stamp[n] && toldEnds[m] > ends[n])))
#endif

/* quarantine.Ledger.Merge */
inline merge(n, m) {
	ends[n] = toldEnds[m]; stamp[n] = toldStamp[m];
	/* Announcements.Withdraw: the other member has the later word */
	tells[n] = false;
	if
#ifndef NO_CONTRADICTION
	:: ends[n] == HOLD && completed[n] ->
		/* it has completed here meanwhile */
		ends[n] = 0; stamp[n]++; tell(n)
#endif
	:: else
	fi
}

/* how a request that comes to n, sent by s, changes what is known */
#define FREE(n, s) (!HELD(n) && !HELD(s))
#ifdef CAUSE
#define RUNS(n, s) (FREE(n, s) && runs < MOST_RUNS)
#define TRIED(n, s) (n == 0 && HELD(n) && HELD(s) && trials < TRIALS)
#else
#define RUNS(n, s) (FREE(n, s) && ends[n] > 0)
#define TRIED(n, s) (n == 0 && HELD(n) && HELD(s))
#endif
#define ENDS(n, s) (FREE(n, s) && otherEnds < OTHER_ENDS)

inline ran(n, s) {
#ifdef CAUSE
	runs++; blame(n, s)
#else
	complete(n)
#endif
}

inline tried(n, s) {
#ifdef CAUSE
	trials++; blame(n, s)
#else
	complete(n)
#endif
}

proctype Upstream(byte n) {
end:
	do
	:: atomic { RUNS(n, 0) -> ran(n, 0) }
	:: atomic { RUNS(n, 1) -> ran(n, 1) }
	:: atomic { RUNS(n, 2) -> ran(n, 2) }
	:: atomic { TRIED(n, 0) -> tried(n, 0) }
	:: atomic { TRIED(n, 1) -> tried(n, 1) }
	:: atomic { TRIED(n, 2) -> tried(n, 2) }
#ifndef CAUSE
	:: atomic { ENDS(n, 0) -> otherEnds++; blame(n, 0) }
	:: atomic { ENDS(n, 1) -> otherEnds++; blame(n, 1) }
	:: atomic { ENDS(n, 2) -> otherEnds++; blame(n, 2) }
#endif
	od
}

/* the gossip: who is in touch hears what the others tell */
proctype Member(byte n) {
end:
	do
	:: atomic { NEWS(n, 0) -> merge(n, 0) }
	:: atomic { NEWS(n, 1) -> merge(n, 1) }
	:: atomic { NEWS(n, 2) -> merge(n, 2) }
#ifndef NO_ADOPT
	/* node.adoptUntold: one member tells of what nobody tells of any more */
	:: atomic { HELD(n) && !tells[0] && !tells[1] && !tells[2] -> tell(n) }
#endif
	od
}

/* all hold the same, and nobody tells what another does not know */
#define same (ends[0] == ends[1] && ends[1] == ends[2])
#define allHeld (HELD(0) && HELD(1) && HELD(2))
#define noneHeld (!HELD(0) && !HELD(1) && !HELD(2))

/* a node that had told the others is started anew */
proctype Restart() {
	byte n;
	atomic {
		allHeld;
		select (n : 0 .. NODES - 1);
		ends[n] = 0; stamp[n] = 0; tells[n] = false; completed[n] = false
	}
}

/* time goes on, so that a state in which nothing is left to do is looked at too */
bool tick;
proctype Time() {
	do
	:: tick = !tick
	od
}

init {
	atomic {
		run Upstream(0); run Upstream(1); run Upstream(2);
		run Member(0); run Member(1); run Member(2);
		run Time();
#ifdef RESTART
		run Restart()
#endif
	}
}

#ifdef CAUSE
/* once any node holds it, all do in the end, and go on doing so */
ltl cause { (<> (HELD(0) || HELD(1) || HELD(2))) -> <>[] (allHeld && same) }
#else
/* an innocent request is not held for ever */
ltl innocent { <>[] noneHeld }
#endif
