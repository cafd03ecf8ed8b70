/*
 * How hosts share the request rate that a cold target can serve: internal/warmup, discovery/permit.go and gateway/cold.go. A
 * host that observes a cold target without a permit writes one to the store, for the hosts in its membership view, unless the
 * store has one; every host that reads it there or receives it from a peer uses the same. Each host listed in the permit counts
 * its requests and sends no more than its share in any second; a host that has just started sends nothing for a second. A
 * host's membership view may have any subset of the others; hosts restart at any time and may be partitioned for any time; a
 * write may be applied late. The target restarts under its id at any time.
 *
 * With RESTORES the store is restored from an older copy, without the permit that was written last. A host uses permits of the
 * era in which it has read the registry, for a limited time after reading it. It writes a permit, or adopts the one in the
 * store, once it has been in an era for so long that no host uses permits of earlier eras, and only if the store is still in
 * that era.
 *
 * A second is two ticks. Checked whenever a request is sent: in no second does the target receive more than its limit from all
 * hosts together.
 *
 * Broken variants, in which spin must find a violated assertion:
 *   BROKEN_COUNT  each host computes its share from its own membership view, without a permit
 *   BROKEN_WRITE  writing a permit overwrites an existing one
 *   BROKEN_AGAIN  the permit is deleted each time the target starts
 *   BROKEN_START  a host that has just started sends without delay
 *   BROKEN_ERA    permits are valid in every era (with RESTORES)
 *   BROKEN_WAIT   a host writes a permit as soon as it has read the registry (with RESTORES)
 *   BROKEN_ANSWER a host uses a permit of a later era than the one in which it wrote (with RESTORES)
 */

#ifndef HOSTS
#define HOSTS 3
#endif
#ifndef STARTS
#define STARTS 2 /* most restarts: of all hosts together, and of the target */
#endif

#ifndef BOUND
#define BOUND 6 /* requests that the target can serve in a second */
#endif
#define ME(h) (1 << (h))

#ifdef RESTORES
#define COUNTS 1          /* ticks for which permits are valid after reading the registry */
#ifndef BROKEN_WAIT
#define WAIT (COUNTS + 2) /* ticks until no host uses permits of earlier eras, and requests sent under them no longer count */
#else
#define WAIT 0
#endif
#ifndef BROKEN_ERA
#define GOES_BY(h) (host[h].holdsEra == host[h].era && host[h].counts > 0)
#else
#define GOES_BY(h) (host[h].counts > 0)
#endif
#define MAY_WRITE(h) (host[h].era > 0 && host[h].wait == 0)
#else
#define GOES_BY(h) true
#define MAY_WRITE(h) true
#endif
#define WANTS(h) (host[h].holds == 0 || host[h].holdsEra < host[h].era)

byte permit;  /* set of the hosts listed in the permit in the store; 0: no permit */
byte got[2];  /* requests that the target received in this tick and in the previous one */
byte hostStarts, targetStarts;
byte era = 1;

typedef Host {
	byte known;     /* set of the hosts in its membership view, itself included */
	byte holds;     /* set of the hosts listed in its local copy of the permit; 0: no copy */
	byte late;      /* set of the hosts listed in its write that is still pending; 0: no write */
	byte sent[2];   /* requests sent in this tick and in the previous one */
	byte age;       /* ticks since its start, at most 2 */
	byte era;       /* era in which it last read the registry; 0: not read */
	byte wait;      /* ticks until it may write permits */
	byte counts;    /* ticks for which permits are still valid */
	byte holdsEra;  /* era of its copy of the permit */
}
Host host[HOSTS];

/* parts sets n to the number of hosts in a set. */
inline parts(set, n) {
	n = 0;
	k = 0;
	do
	:: k < HOSTS ->
		if
		:: set & ME(k) -> n++
		:: else
		fi;
		k++
	:: else -> break
	od;
	k = 0
}

/* put writes a permit for a set of hosts if the store has none. */
inline put(set) {
	if
#ifndef BROKEN_WRITE
	:: permit == 0 -> permit = set
	:: else
#else
	:: permit = set
#endif
	fi
}

proctype Work(byte h) {
	byte k, n, set;
end:	do
	/* Its membership view changes to any set with itself. */
	:: atomic {
		select(set : 1 .. (1 << HOSTS) - 1);
		set & ME(h) ->
		host[h].known = set;
		set = 0
	}
	/* It writes a permit, or reads the existing one. */
	:: atomic { WANTS(h) && MAY_WRITE(h) ->
		put(host[h].known);
		if
#ifndef BROKEN_ANSWER
		:: host[h].era == era || host[h].era == 0 ->
#else
		:: true ->
#endif
			host[h].holds = permit;
			host[h].holdsEra = era
		:: else /* the store is in a later era, in which it has not waited */
		fi
	}
	/* Its write is applied later, and it receives no result. */
	:: atomic { WANTS(h) && MAY_WRITE(h) && host[h].late == 0 -> host[h].late = host[h].known }
	:: atomic { host[h].late > 0 -> put(host[h].late); host[h].late = 0 }
	/* It receives another host's copy of the permit. */
	:: atomic { WANTS(h) ->
		select(set : 0 .. HOSTS - 1);
		if
		:: host[set].holdsEra >= host[h].holdsEra -> host[h].holds = host[set].holds; host[h].holdsEra = host[set].holdsEra
		:: else
		fi;
		set = 0
	}
#ifdef RESTORES
	/* It reads the registry. */
	:: atomic { host[h].era < era || host[h].counts < COUNTS ->
		if
		:: host[h].era < era -> host[h].era = era; host[h].wait = WAIT
		:: else
		fi;
		host[h].counts = COUNTS
	}
	/* It receives from another host in the same era the wait that remains there. */
	:: atomic { host[h].wait > 0 ->
		select(set : 0 .. HOSTS - 1);
		if
		:: host[set].era == host[h].era && host[set].wait < host[h].wait -> host[h].wait = host[set].wait
		:: else
		fi;
		set = 0
	}
#endif
	/* It sends a request. */
	:: atomic {
#ifdef BROKEN_COUNT
		parts(host[h].known, n);
#else
		(host[h].holds & ME(h)) && GOES_BY(h) ->
		parts(host[h].holds, n);
#endif
		if
#ifndef BROKEN_START
		:: host[h].age == 2 && host[h].sent[0] + host[h].sent[1] < BOUND / n ->
#else
		:: host[h].sent[0] + host[h].sent[1] < BOUND / n ->
#endif
			host[h].sent[0]++;
			got[0]++;
			assert(got[0] + got[1] <= BOUND)
		:: else
		fi;
		n = 0
	}
	/* It is killed and restarts with empty state. */
	:: atomic { hostStarts < STARTS ->
		hostStarts++;
		host[h].known = ME(h); host[h].holds = 0; host[h].holdsEra = 0; host[h].era = 0; host[h].wait = 0; host[h].counts = 0; host[h].sent[0] = 0; host[h].sent[1] = 0; host[h].age = 0
	}
	od
}

/* Time passes, the store is restored and the target restarts. */
proctype World() {
	byte k;
end:	do
	:: atomic {
		k = 0;
		do
		:: k < HOSTS ->
			host[k].sent[1] = host[k].sent[0];
			host[k].sent[0] = 0;
			host[k].age = (host[k].age < 2 -> host[k].age + 1 : 2);
			host[k].wait = (host[k].wait > 0 -> host[k].wait - 1 : 0);
			host[k].counts = (host[k].counts > 0 -> host[k].counts - 1 : 0);
			k++
		:: else -> break
		od;
		got[1] = got[0];
		got[0] = 0;
		k = 0
	}
#ifdef RESTORES
	/* The store is restored from a copy, with or without the permit. */
	:: atomic { era <= RESTORES ->
		era++;
		if
		:: true -> permit = 0
		:: true
		fi
	}
#endif
	:: atomic { targetStarts < STARTS ->
		targetStarts++;
#ifdef BROKEN_AGAIN
		permit = 0
#endif
	}
	od
}

init {
	byte h;
	atomic {
		h = 0;
		do
		:: h < HOSTS -> host[h].known = ME(h); run Work(h); h++
		:: else -> break
		od;
		run World();
		h = 0
	}
}
