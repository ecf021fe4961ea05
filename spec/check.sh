#!/bin/sh
# Checks each specification exhaustively, and that the checker finds an error
# in each one that lacks a safeguard. Exits 1 on any deviation.
# Needs spin 6.5 and gcc. Writes only under spec/run.
set -u
cd "$(dirname "$0")" || exit 1
mkdir -p run
memory_mb=1000
seconds=${SPEC_SECONDS:-120}
deviations=0

# check WANT SPEC KIND TITLE FLAGS...
#   WANT is holds or error; KIND is safety or liveness.
check() {
	want=$1 spec=$2 kind=$3 title=$4
	shift 4
	dir=run/$spec-$(printf %s "$kind$*" | tr -c 'A-Za-z0-9_\n' -)
	rm -rf "$dir"
	mkdir -p "$dir"
	# A search that finds an error is short beside the compiling of its checker.
	optimize=-O2
	[ "$want" = error ] && optimize=-O0
	compile="$optimize -w -DMEMLIM=$memory_mb -DCOLLAPSE"
	search="-m50000"
	if [ "$kind" = safety ]; then
		compile="$compile -DSAFETY -DNOCLAIM"
	else
		compile="$compile -DNFAIR=4"
		search="$search -a -f"
	fi
	(
		cd "$dir" || exit 1
		spin -a "$@" "../../$spec.pml" >spin.log 2>&1 || exit 1
		# shellcheck disable=SC2086
		gcc $compile -o pan pan.c 2>gcc.log || exit 1
		# Processor time: the verdict must not depend on what else runs on the machine.
		# shellcheck disable=SC2086
		ulimit -t "$seconds" && ./pan $search >pan.log 2>&1
	)
	status=$?
	log=$dir/pan.log
	got=failed
	if [ $status -eq 0 ] && grep -q 'errors: 0$' "$log" && ! grep -q -e 'not completed' -e 'MEMLIM' -e 'too small' "$log"; then
		got=holds
	elif grep -q -e 'assertion violated' -e 'acceptance cycle' "$log" 2>/dev/null; then
		got=error
	fi
	verdict=ok
	if [ $got != "$want" ]; then
		verdict=DEVIATION
		deviations=$((deviations + 1))
	fi
	states=$(sed -n 's/^ *\([0-9]*\) states, stored.*/\1/p' "$log" 2>/dev/null)
	depth=$(sed -n 's/.*depth reached \([0-9]*\),.*/\1/p' "$log" 2>/dev/null)
	mb=$(sed -n 's/^ *\([0-9.]*\).total actual memory usage.*/\1/p' "$log" 2>/dev/null)
	time=$(sed -n 's/^pan: elapsed time \([0-9.e+-]*\) seconds/\1/p' "$log" 2>/dev/null)
	printf '%-9s %-9s %-58s %10s %6s %8s %7s  %s\n' "$spec" "$kind" "$title" "${states:--}" "${depth:--}" "${mb:--}" "${time:--}" "$got, $verdict"
}

printf '%-9s %-9s %-58s %10s %6s %8s %7s  %s\n' spec kind property states depth MB seconds result

check holds athome safety 'at most once, not-run true: crash and cancel' -DCANCEL -DCRASH
check holds athome safety 'at most once, not-run true: two attempts and crash' -DATTEMPTS=2 -DCRASH
check holds athome safety 'at most once, not-run true: two nodes drain' -DSECOND_DRAIN
check holds claim safety 'brought key: at most once, not-run true'
check holds claim safety 'the same, and node 0 drains to node 1' -DDRAIN
check holds config safety 'no reversion; accepted if and only if stored'
check holds config liveness 'in force everywhere in the end' -DLIVENESS
check holds config liveness 'nodes agree in an outage without end' -DLIVENESS -DOUTAGE_FOREVER
check holds pipeline safety 'answers in order, own, none lost; unrepeatable in turn'
check holds restart safety 'no farewell ends a later life, none that left returns' -DLIVES=3
check holds restart liveness 'the life that goes on gets calls in the end' -DLIVENESS
check holds restart liveness 'the same with a clock that is set back' -DLIVENESS -DCLOCK_BACK
check holds rejoin safety 'no process that left returns, none is gone by another'
check holds rejoin liveness 'the process that goes on is in use, and no other' -DLIVENESS
check holds spread safety 'no reversion; no such route is true'
check holds spread safety 'the same, with a version without a readable number' -DUNREADABLE
check holds spread safety 'the same, with news of a version that nobody wrote' -DFAULTY
check holds spread liveness 'who is in touch gets it and hears of it' -DLIVENESS
check holds spread liveness 'nobody waits for a version that nobody wrote' -DLIVENESS -DFAULTY
check holds quarantine liveness 'an innocent request is not held for ever' -DLIVENESS
check holds quarantine liveness 'a cause is held by all in the end' -DLIVENESS -DCAUSE
check holds quarantine liveness 'the same, and one node restarts' -DLIVENESS -DCAUSE -DRESTART
check holds quota safety 'the sum lent stays below the limit: cuts and a restart'
check holds incarnation safety 'no request after an acknowledged departure: restarts, outages'
check holds departure safety 'no request after a stated departure, restarts, next life'
check holds peerlink safety 'agreed close: no call lost, not-run true'
check holds restored safety 'a restored store is followed, no reversion'

# A bound of what is promised: this is known not to hold.
check error restart safety 'clock set back: an earlier life may return for a while' -DCLOCK_BACK

lacks() {
	spec=$1 kind=$2 safeguard=$3
	shift 3
	check error "$spec" "$kind" "without $safeguard" "-DNO_$safeguard" "$@"
}

for safeguard in HOME NEW_INCARNATION ATOMIC_DISPATCH UNKNOWN_WAITER REVOKED_UNKNOWN \
	SEAL_REVOKE UNKNOWN_EXPORT STAGE_CHECK COMMITTING SAME_SUCCESSOR ABORT_FENCE RENEW_MOVE; do
	lacks athome safety $safeguard -DCANCEL -DCRASH
done
lacks athome safety ATTEMPT -DATTEMPTS=2
for safeguard in READBACK FENCE_UPDATE FORGET CREATE_IF_ABSENT CONDITIONAL_DELETE; do
	lacks claim safety $safeguard
done
for safeguard in FATE_OVER_INQUIRY FATE_OVER_RELEASE FATES_FIRST INQUIRY_ENDS SETTLE; do
	lacks claim safety $safeguard -DDRAIN
done
for safeguard in HIGHER_ONLY CONDITIONAL READBACK; do
	lacks config safety $safeguard
done
for safeguard in GOSSIP RELIST RESEND; do
	lacks config liveness $safeguard -DLIVENESS
done
for safeguard in REPEATABLE_ONLY SAFE_METHOD CLOSE_WAITS WAIT_BEHIND WRITE_FIRST ORDER \
	SAME_REQUEST LET_GO LAST LAST_STOPS BREAK DROP; do
	lacks pipeline safety $safeguard
done
for safeguard in BORN SEQUENCE LEFT_SEQUENCE FAREWELL_BORN FAREWELL_KEPT FAREWELL_HEARD LOCK GOSSIP_ORDER; do
	lacks restart safety $safeguard
done
lacks restart liveness NEW_SEQUENCE -DLIVENESS
for safeguard in SILENCE REPEAT; do
	lacks restart liveness $safeguard -DLIVENESS -DCLOCK_BACK
done
for safeguard in NEW_ID STATE_ORDER; do
	lacks rejoin safety $safeguard
done
for safeguard in EPOCH REFUTE; do
	lacks rejoin liveness $safeguard -DLIVENESS
done
for safeguard in HIGHER_ONLY BEHIND LOOKED_UP HEAR_READ HEAR_PEER; do
	lacks spread safety $safeguard
done
lacks spread safety EXPIRED -DFAULTY
for safeguard in RELAY REFUSED_PER_VERSION RETRY REREAD; do
	lacks spread liveness $safeguard -DLIVENESS
done
for safeguard in AGE TELL_STORED; do
	lacks spread liveness $safeguard -DLIVENESS -DFAULTY
done
lacks quarantine liveness STAMP -DLIVENESS
lacks quarantine liveness ADOPT -DLIVENESS -DCAUSE -DRESTART
for safeguard in SHARE EMPTY STORED; do
	lacks quota safety $safeguard
done
for safeguard in RESTORE WAIT FINAL STORE ACK_WAIT ANNOUNCED; do
	lacks incarnation safety $safeguard
done
for safeguard in STATE INSTANCE DRAIN; do
	lacks departure safety $safeguard
done
for safeguard in LAST STOP VOID TAKEN WAIT LINGER; do
	lacks peerlink safety $safeguard
done
for safeguard in FORGET ERA; do
	lacks restored safety $safeguard
done

if [ $deviations -ne 0 ]; then
	echo "$deviations deviations"
	exit 1
fi
echo 'all as expected'
