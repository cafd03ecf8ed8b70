/*
 * How hosts exchange the registry: internal/discovery, state.go and update.go. Targets are registered and removed in the store,
 * each change with the next revision. A host lists the whole registry, watches it from its own revision, or pulls from a peer,
 * which answers with the changes in its history since the requesting host's revision, or with its full state. The last page of
 * a list may be newer than the list's revision; a watch returns the last change of each target. Answers of peers are generated
 * at one time and arrive at any later one. Hosts restart at any time, with empty state.
 *
 * Checked whenever a host's state changes: each target's state on the host is the one in the registry at the host's revision or
 * later, so a target that was removed at or before that revision is not present on the host.
 *
 * Broken variants, in which spin must find a violated assertion:
 *   BROKEN_READ   the changes found by a list enter the history as if they were all changes up to its revision
 *   BROKEN_QUIET  a change that has no effect on a host's state is not kept in its history for peers
 *   BROKEN_LATE   an answer is applied though the host's revision is already newer
 */

#ifndef HOSTS
#define HOSTS 2
#endif
#ifndef TARGETS
#define TARGETS 2
#endif
#ifndef REVISIONS
#define REVISIONS 4
#endif

byte revision = 1;

/* Row of a target at a revision. */
#define SLOT(r, t) ((r) * TARGETS + (t))

bit there[(REVISIONS + 1) * TARGETS];      /* registered at a revision */
byte changed[(REVISIONS + 1) * TARGETS];   /* revision of the last change at or before one; 0: none */

/* revision 0: the host has no state. */
typedef Host {
	byte revision;
	byte from;              /* the history has all changes after this revision */
	bit holds[TARGETS];
	byte kept[TARGETS];     /* revision at which the last change of a target was applied; 0: not in the history */

	bit answered;           /* a peer's answer is in flight */
	byte toldRevision;
	bit whole;
	bit named[TARGETS];     /* the answer has the target */
	bit told[TARGETS];      /* the target is present in the answer */
}
Host host[HOSTS];

/* check asserts that the registry had each target's state on the host at the host's revision or later. */
inline check(h) {
	t = 0;
	do
	:: t < TARGETS ->
		r = host[h].revision;
		do
		:: r <= revision && there[SLOT(r, t)] != host[h].holds[t] -> r++
		:: else -> break
		od;
		assert(r <= revision);
		t++
	:: else -> break
	od;
	t = 0;
	r = 0
}

/* take applies one change of a target as of a revision and adds it to the history. */
inline take(h, target, is, as) {
	if
#ifdef BROKEN_QUIET
	:: host[h].holds[target] != is -> host[h].kept[target] = as
	:: else
#else
	:: host[h].kept[target] = as
#endif
	fi;
	host[h].holds[target] = is
}

proctype Store() {
	byte t;
end:	do
	:: atomic { revision < REVISIONS ->
		revision++;
		t = 0;
		do
		:: t < TARGETS ->
			there[SLOT(revision, t)] = there[SLOT(revision - 1, t)];
			changed[SLOT(revision, t)] = changed[SLOT(revision - 1, t)];
			t++
		:: else -> break
		od;
		select(t : 0 .. TARGETS - 1);
		there[SLOT(revision, t)] = 1 - there[SLOT(revision, t)];
		changed[SLOT(revision, t)] = revision;
		t = 0
	}
	od
}

proctype Follower(byte h) {
	byte t, r, peer, began;
	bit is;
end:	do
	/* It restarts; answers to the previous process are lost. */
	:: atomic { host[h].revision > 0 ->
		host[h].revision = 0; host[h].from = 0; host[h].answered = 0; host[h].toldRevision = 0; host[h].whole = 0;
		t = 0;
		do
		:: t < TARGETS ->
			host[h].holds[t] = 0; host[h].kept[t] = 0; host[h].named[t] = 0; host[h].told[t] = 0;
			t++
		:: else -> break
		od;
		t = 0
	}
	/* It lists the registry page by page, each as of the first page's revision or a later one. */
	:: atomic {
		select(began : 1 .. revision);
		began >= host[h].revision ->
		t = 0;
		do
		:: t < TARGETS ->
			select(r : began .. revision);
			is = there[SLOT(r, t)];
			if
#ifdef BROKEN_READ
			:: host[h].holds[t] != is -> take(h, t, is, began)
			:: else
#else
			:: host[h].holds[t] = is; host[h].kept[t] = 0
#endif
			fi;
			t++
		:: else -> break
		od;
#ifndef BROKEN_READ
		host[h].from = began;
#endif
		host[h].revision = began;
		is = 0; began = 0;
		check(h)
	}
	/* A watch returns the last change of each target after the host's revision. */
	:: atomic { host[h].revision > 0 && revision > host[h].revision ->
		t = 0;
		do
		:: t < TARGETS ->
			if
			:: changed[SLOT(revision, t)] > host[h].revision -> take(h, t, there[SLOT(revision, t)], revision)
			:: else
			fi;
			t++
		:: else -> break
		od;
		host[h].revision = revision;
		check(h)
	}
	/* A peer generates an answer. */
	:: atomic { !host[h].answered ->
		select(peer : 0 .. HOSTS - 1);
		peer != h && host[peer].revision > host[h].revision ->
		host[h].answered = 1;
		host[h].toldRevision = host[peer].revision;
		host[h].whole = (host[h].revision == 0 || host[h].revision < host[peer].from);
		t = 0;
		do
		:: t < TARGETS ->
			host[h].named[t] = (host[h].whole || host[peer].kept[t] > host[h].revision);
			host[h].told[t] = (host[h].named[t] && host[peer].holds[t]);
			t++
		:: else -> break
		od;
		t = 0; peer = 0
	}
	/* The answer arrives. */
	:: atomic { host[h].answered ->
		if
#ifdef BROKEN_LATE
		:: true ->
#else
		:: host[h].toldRevision >= host[h].revision ->
#endif
			t = 0;
			do
			:: t < TARGETS ->
				if
#ifndef BROKEN_READ
				:: host[h].whole -> host[h].holds[t] = host[h].told[t]; host[h].kept[t] = 0
				:: !host[h].whole && host[h].named[t] -> take(h, t, host[h].told[t], host[h].toldRevision)
#else
				:: host[h].named[t] && host[h].holds[t] != host[h].told[t] -> take(h, t, host[h].told[t], host[h].toldRevision)
#endif
				:: else
				fi;
				t++
			:: else -> break
			od;
			if
#ifndef BROKEN_READ
			:: host[h].whole -> host[h].from = host[h].toldRevision
#endif
			:: else
			fi;
			host[h].revision = (host[h].toldRevision > host[h].revision -> host[h].toldRevision : host[h].revision);
			check(h)
		:: else
		fi;
		host[h].answered = 0; host[h].toldRevision = 0; host[h].whole = 0;
		t = 0;
		do
		:: t < TARGETS -> host[h].named[t] = 0; host[h].told[t] = 0; t++
		:: else -> break
		od;
		t = 0
	}
	od
}

init {
	byte h;
	atomic {
		h = 0;
		do
		:: h < HOSTS -> run Follower(h); h++
		:: else -> break
		od;
		run Store();
		h = 0
	}
}
