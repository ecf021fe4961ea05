/*
 * The agreed close of a shared connection between two nodes (peerlink). The client sends
 * calls in the order of their numbers; a frame is queued before it is handed to a write. The
 * server states in go-away the last call that it accepted, answers the calls up to it, and
 * waits for the client to close. A call may be given up at any time, and the connection may
 * be cut at any time.
 *
 * A call that the client reports as not-run has not run and never will. Without a cut, no
 * call is unknown that its caller has not given up. Each call ends.
 *
 * Each safeguard can be left out by -DNO_...; the checker must then find an error. See
 * docs/design/model-checking.md for the Go function of each step.
 */

#define CALLS 3

mtype = { FREE, QUEUED, SENT, DONE, NOTRUN, UNKNOWN };
mtype = { RESPONSE, AWAY };

chan requests = [CALLS] of { byte };
chan answers = [CALLS + 1] of { mtype, byte };

mtype state[CALLS + 1] = FREE;
bool gaveUp[CALLS + 1];
bool ran[CALLS + 1];		/* its handler was started */
bool answered[CALLS + 1];
byte next, taken;		/* the last call that was queued, handed to a write */
byte last;			/* the last call that the server accepted */
bool clientLeaves, serverLeaves, broken, cut;

inline notRun(i) {
	assert(!ran[i]);
	state[i] = NOTRUN
}

inline unknown(i) {
	assert(cut || gaveUp[i]);
	state[i] = UNKNOWN
}

/* clientConn.ended */
inline failCalls() {
	k = 1;
	do
	:: k <= CALLS ->
		if
#ifdef NO_TAKEN
		:: state[k] == SENT -> notRun(k)
#else
		:: state[k] == SENT -> unknown(k)
#endif
		:: state[k] == QUEUED -> notRun(k)
		:: else
		fi;
		k++
	:: else -> break
	od
}

#define OPEN(i) (state[i] == QUEUED || state[i] == SENT)
#define ANY_OPEN (OPEN(1) || OPEN(2) || OPEN(3))
#define ENDED(i) (state[i] != QUEUED && state[i] != SENT)
#define UNANSWERED(i) (ran[i] && !answered[i])

active proctype Client() {
	byte i, k;
	bool closed;
end:
	do
	/* clientConn.start */
	:: atomic { !closed && !broken && !clientLeaves && next < CALLS -> next++; state[next] = QUEUED }
	/* conn.takePending; a call given up before is void */
	:: atomic { !closed && !broken && taken < next -> taken++;
		if
		:: state[taken] == QUEUED -> state[taken] = SENT; requests!taken
#ifdef NO_VOID
		:: state[taken] == NOTRUN && gaveUp[taken] -> requests!taken
#endif
		:: else
		fi }
	/* stream.giveUp */
	:: atomic { !closed -> i = 1;
		do :: i < CALLS -> i++ :: break od;
		if
		:: state[i] == QUEUED -> gaveUp[i] = true; notRun(i)
		:: state[i] == SENT -> gaveUp[i] = true; unknown(i)
		:: else
		fi }
	:: atomic { answers?RESPONSE,i ->
		if
		:: state[i] == SENT -> state[i] = DONE
		:: else
		fi }
	/* clientConn.goneAway */
	:: atomic { answers?AWAY,i -> clientLeaves = true; k = 1;
		do
		:: k <= CALLS ->
			if
#ifdef NO_LAST
			:: OPEN(k) -> notRun(k)
#else
			:: k > i && OPEN(k) -> notRun(k)
#endif
			:: else
			fi;
			k++
		:: else -> break
		od }
	:: atomic { !closed && !broken && clientLeaves && !ANY_OPEN -> closed = true; broken = true }
	:: atomic { broken && !closed && empty(answers) -> closed = true; failCalls() }
	:: atomic { timeout -> assert(ENDED(1) && ENDED(2) && ENDED(3)); break }
	od
}

active proctype Server() {
	byte i;
end:
	do
	/* serverConn.accept */
	:: atomic { requests?i ->
		if
#ifndef NO_STOP
		:: serverLeaves
		:: else ->
#else
		:: true ->
#endif
			assert(state[i] != NOTRUN);
			last = i;
			ran[i] = true
		fi }
	:: atomic { !broken -> i = 1;
		do :: i < CALLS -> i++ :: break od;
		if
		:: UNANSWERED(i) -> answered[i] = true; answers!RESPONSE,i
		:: else
		fi }
	/* serverConn.goAway */
	:: atomic { !broken && !serverLeaves -> serverLeaves = true; answers!AWAY,last }
#ifdef NO_WAIT
	/* it closes without having answered */
	:: atomic { !broken && serverLeaves -> broken = true }
#endif
#ifdef NO_LINGER
	/* it closes once it has answered; unread requests make the kernel reset */
	:: atomic { !broken && serverLeaves && !UNANSWERED(1) && !UNANSWERED(2) && !UNANSWERED(3) ->
		broken = true;
		if
		:: nempty(requests) ->
			do :: answers?_,_ :: empty(answers) -> break od;
			do :: requests?i :: empty(requests) -> break od
		:: else
		fi }
#endif
	od
}

active proctype Cut() {
	byte i;
	if
	:: atomic { !broken -> cut = true; broken = true;
		do :: requests?i :: empty(requests) -> break od;
		do :: answers?_,_ :: empty(answers) -> break od }
	:: true
	fi
}
