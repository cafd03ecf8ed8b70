/*
 * How hosts tell each other of the registry: internal/discovery, state.go and update.go. Targets are registered and removed
 * in the store, each change with the next revision. A host reads the whole registry, watches it from the revision that it
 * holds, or asks a peer, which answers with the changes that it keeps since the asking host's revision, or with all it holds. The last
 * page of a reading may be newer than its revision; a watch tells the last change of each target. Answers of peers are made at
 * one time and arrive at any later one. Hosts start anew at any time, and know nothing then.
 *
 * Checked whenever a host's belief changes: of each target it believes what the registry held at the revision of the host or
 * later, so a target that was removed at or before it is not believed to be there.
 *
 * Broken twins, which spin must refute:
 *   BROKEN_READ   what a reading brought is kept as if it were all that changed before it
 *   BROKEN_QUIET  a change that changes nothing at a host is not kept for its peers
 *   BROKEN_LATE   an answer is taken though the host has moved on beyond it
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

/* revision 0: the host knows nothing. */
typedef Host {
	byte revision;
	byte from;              /* changes after it are kept */
	bit holds[TARGETS];
	byte kept[TARGETS];     /* revision as of which the last change of a target was taken; 0: none is kept */

	bit answered;           /* a peer's answer is under way */
	byte toldRevision;
	bit whole;
	bit named[TARGETS];     /* the answer tells of the target */
	bit told[TARGETS];      /* that it is there */
}
Host host[HOSTS];

/* believed(h, t) reports whether the registry held what a host believes, at its revision or later. */
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

/* take notes one change of a target as of a revision. */
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
	/* It starts anew; answers to the process before are lost. */
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
	/* It reads everything: page by page, each as of the first revision or a later one. */
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
	/* A watch tells the last change of each target after the revision that the host holds. */
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
	/* A peer answers. */
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
