#!/bin/sh
# Checks the models with spin: each correct model must pass, and spin must find an
# error in each broken variant, which shows that the model's assertions can fail.
# Needs spin and a C compiler. Works in a temporary directory.
set -eu

models=$(cd "$(dirname "$0")" && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

jobs=4 # checks that run at once; the largest takes about 1 GB
count=0

# run OPTIMIZATION MODEL FLAGS...: compiles the verifier and runs the search, in the
# current directory; its report is in out. Compiler optimization pays off only for long
# searches.
run() {
	optimize=$1
	model=$2
	shift 2
	cp "$models/$model.pml" .
	spin -a "$@" "$model.pml" >spin.out 2>&1 || { cat spin.out; exit 2; }
	cc "$optimize" -w -DSAFETY -DMEMLIM=4000 -o pan pan.c
	./pan -m50000 -E >out 2>&1 || true
}

# start CHECK ARGUMENTS...: starts a check in a directory of its own, which gets its report.
start() {
	count=$((count + 1))
	mkdir "$work/$count"
	(cd "$work/$count" && "$@" >report 2>&1 || echo "FAILED   $*" >>report) &
	if [ $((count % jobs)) = 0 ]; then
		wait
	fi
}

# holds MODEL FLAGS...: the search must complete without finding an error.
holds() { start check_holds "$@"; }

check_holds() {
	run -O2 "$@"
	if grep -q 'errors: 0' out && ! grep -qE 'max search depth too small|out of memory|interrupted' out; then
		echo "ok       $* ($(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' out) states)"
	else
		echo "FAILED   $*"
		tail -n 20 out
	fi
}

# refuted MODEL VARIANT FLAGS...: the search must find a violated assertion in the
# broken variant.
refuted() { start check_refuted "$@"; }

check_refuted() {
	model=$1
	twin=$2
	shift 2
	run -O0 "$model" "-D$twin" "$@"
	if grep -q 'assertion violated' out && ! grep -q 'invalid array index' out; then
		echo "refuted  $model $twin"
	else
		echo "FAILED   $model $twin was not refuted"
		tail -n 20 out
	fi
}

# Reservations. Two requests with two faults, three with one.
holds claim -DREQUESTS=2 -DFAULTS=2
holds claim -DREQUESTS=3 -DFAULTS=1
refuted claim NO_RECHECK -DREQUESTS=2 -DFAULTS=2
refuted claim RELEASE_AFTER_SEND -DREQUESTS=2 -DFAULTS=2
refuted claim TAKEOVER_WITHOUT_SETTLE -DREQUESTS=2 -DFAULTS=2
refuted claim RESEND_ON_TIMEOUT -DREQUESTS=2 -DFAULTS=2
refuted claim SEND_UNSETTLED -DREQUESTS=2 -DFAULTS=2
refuted claim SECOND_TARGET_WITHOUT_UPDATE -DREQUESTS=2 -DFAULTS=2 -DATTEMPTS=5
refuted claim REMOVE_EARLY -DREQUESTS=2 -DFAULTS=2
refuted claim RELEASE_BY_REMOVAL -DREQUESTS=3 -DFAULTS=1
holds claim -DRESTORE -DREQUESTS=2 -DFAULTS=1
refuted claim TRUST_COPY -DRESTORE -DREQUESTS=2 -DFAULTS=1

# Configuration. Two hosts that watch and pull, two objects, two changes; a
# host that watches and one that only pulls, one object, three changes.
holds config -DHOSTS=2 -DREVISIONS=2
holds config -DHOSTS=2 -DWATCHERS=1 -DREVISIONS=3 -DOBJECTS=1
for twin in BROKEN_OLDER BROKEN_GAP BROKEN_FORGET BROKEN_EMPTY BROKEN_FLOOR; do
	refuted config "$twin" -DHOSTS=2 -DREVISIONS=2
done

# Propagation of cached state and its age. Two hosts, two changes; fewer ticks with
# pauses of any length.
holds spread -DTIME=6
holds spread -DTIME=4 -DVERSIONS=1 -DPAUSES
for twin in BROKEN_ARRIVAL BROKEN_DEAF BROKEN_BACK BROKEN_FRESH BROKEN_PEERS; do
	refuted spread "$twin" -DTIME=5
done
refuted spread BROKEN_WATCH -DTIME=3 -DPAUSES

# Exchange of the registry between hosts: two targets over three revisions, one over four.
holds registry -DREVISIONS=3
holds registry -DREVISIONS=4 -DTARGETS=1
refuted registry BROKEN_READ
refuted registry BROKEN_QUIET
refuted registry BROKEN_LATE

# A store that is restored from an older copy. Two restores and three revisions.
holds restore
for twin in BROKEN_NUMBER BROKEN_WATCH BROKEN_HOST; do
	refuted restore "$twin"
done

# The rate limit of cold targets, shared among hosts.
holds cold -DHOSTS=2
for twin in BROKEN_COUNT BROKEN_WRITE BROKEN_AGAIN BROKEN_START; do
	refuted cold "$twin" -DHOSTS=2
done

# The same with a restore of the store.
holds cold -DHOSTS=2 -DRESTORES=1 -DBOUND=2 -DSTARTS=0
for twin in BROKEN_ERA BROKEN_WAIT BROKEN_ANSWER; do
	refuted cold "$twin" -DHOSTS=2 -DRESTORES=1 -DBOUND=2 -DSTARTS=0
done

# Rollout orders: two hosts with a kill, a cut and a restore of the store; three hosts without them. The
# LIMIT_ variants are cases in which the code does not ensure what the model assumes.
holds rollout
holds rollout -DHOSTS=3 -DKILLS=0 -DCUTS=0 -DRESTORES=0
for twin in BROKEN_WRITE BROKEN_WAIT BROKEN_PHASE BROKEN_UNKNOWN BROKEN_PLAN; do
	refuted rollout "$twin" -DKILLS=0 -DRESTORES=0
done
refuted rollout BROKEN_VERDICT -DKILLS=0
refuted rollout LIMIT_TAKEOVER -DCUTS=0 -DRESTORES=0
refuted rollout LIMIT_LAG -DKILLS=0
refuted rollout LIMIT_START

wait
failures=0
n=0
while [ "$n" -lt "$count" ]; do
	n=$((n + 1))
	cat "$work/$n/report"
	if [ ! -s "$work/$n/report" ] || grep -q '^FAILED' "$work/$n/report"; then
		failures=$((failures + 1))
	fi
done
exit $((failures > 0))
