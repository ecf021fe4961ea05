/*
 * The tokens that homes lend for one customer (module quota, node/quota.go), while the
 * fleet is cut and healed and nodes restart. Time goes in ticks; in each, the limit is
 * one token for each place of the fleet, and as many may be gathered. Nodes look at the
 * membership at any point of a tick, so views are late by up to one.
 *
 * The sum lent in any two ticks stays below the limit, its burst, and what one late view
 * can add. Deputies, which lend from the tolerance, are left out.
 *
 * Each safeguard can be left out by -DNO_...; the checker must then find an error, but
 * for NO_KEEP, whose harm is below what the bound leaves for a late view. See
 * docs/design/model-checking.md for the Go function of each step.
 */

#define PLACES 3
#define CUTS 2
#define RESTARTS 1
#define TICKS 3
#define BOUND (2 * PLACES + PLACES + PLACES)

bit side[PLACES];               /* who reaches whom */
bool sees[PLACES * PLACES];     /* the members in a node's view */
byte seen[PLACES];              /* how many those are */
byte known[PLACES];             /* the size of the fleet that a node reckons with */
bool joined[PLACES];
bool looked[PLACES];            /* in this tick */
byte level[PLACES];             /* the bucket, where the node counts */
bool counts[PLACES];            /* it has a bucket */

byte cuts, restarts, ticks;
byte lent, lentBefore;
byte i, h;

#define SEES(n, m) sees[(n) * PLACES + (m)]
#define MIN(a, b) (a < b -> a : b)
#define MAX(a, b) (a > b -> a : b)

/* quota.Owners.Of: the order of the members stands for the draws */
inline home(n) {
	h = 0;
	do
	:: h < PLACES && !SEES(n, h) -> h++
	:: else -> break
	od
}

/* quota.Fleet.Update and RecordReportedSize, quota.Ledger.RetainOwned */
inline look(n) {
	seen[n] = 0; i = 0;
	do
	:: i < PLACES ->
		SEES(n, i) = (side[i] == side[n]);
		if
		:: SEES(n, i) -> seen[n]++
		:: else
		fi;
#ifndef NO_HEARD
		if
		:: SEES(n, i) -> known[n] = MAX(known[n], known[i])
		:: else
		fi;
#endif
		i++
	:: else -> break
	od;
	known[n] = MAX(known[n], seen[n]);
	joined[n] = true; looked[n] = true;
	home(n);
	if
	:: h != n ->
#ifndef NO_KEEP
		counts[n] = false; level[n] = 0
#else
		skip
#endif
	:: else
	fi
}

/* quota.Ledger.Lease at the home that a node asks, if that is one by its own view: all that
   is there, as of a customer that asks for more than its limit */
inline ask(n) {
	home(n);
	if
	:: h < PLACES && side[h] == side[n] && joined[h] ->
		i = h;
		home(i);
		if
		:: h == i ->
			if
			:: !counts[h] ->
				counts[h] = true;
#ifdef NO_EMPTY
				level[h] = PLACES
#else
				level[h] = 0
#endif
			:: else
			fi;
			if
			:: level[h] > 0 -> lent = lent + level[h]; level[h] = 0
			:: else
			fi
		:: else
		fi
	:: else
	fi
}

#ifdef NO_SHARE
#define SHARE(n) PLACES
#else
#define SHARE(n) (seen[n] * PLACES / known[n])
#endif

active proctype Nodes() {
	byte n;
	atomic {
		i = 0;
		do
		:: i < PLACES -> known[i] = PLACES; i++
		:: else -> break
		od;
		n = 0;
		do
		:: n < PLACES -> look(n); n++
		:: else -> break
		od
	}
end:
	do
	:: atomic { n = 0;
		do :: n < PLACES - 1 -> n++ :: break od;
		if
		:: !looked[n] -> look(n)
		:: joined[n] && lent <= BOUND -> ask(n)
		:: restarts < RESTARTS ->
			restarts++;
			joined[n] = false; looked[n] = false; counts[n] = false; level[n] = 0; seen[n] = 0;
			/* a process that starts reads what is stored */
#ifdef NO_STORED
			known[n] = 0
#else
			known[n] = PLACES
#endif
		:: else
		fi }
	:: atomic { cuts < CUTS -> cuts++;
		i = 0;
		do
		:: i < PLACES ->
			if
			:: side[i] = 0
			:: side[i] = 1
			fi;
			i++
		:: else -> break
		od }
	/* the tick ends once every node has looked */
	:: atomic { ticks < TICKS && looked[0] && looked[1] && looked[2] ->
		ticks++;
		lentBefore = lent; lent = 0;
		n = 0;
		do
		:: n < PLACES ->
			looked[n] = false;
			if
			:: counts[n] -> level[n] = MIN(level[n] + SHARE(n), SHARE(n))
			:: else
			fi;
			n++
		:: else -> break
		od }
	:: assert(lent + lentBefore <= BOUND)
	od
}
