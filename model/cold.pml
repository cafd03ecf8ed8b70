/*
 * How hosts divide what a cold target bears: internal/warmup, discovery/permit.go and gateway/cold.go. A host that sees a cold
 * target without a permit writes one to the store, for the hosts that it knows, unless one stands; whoever finds it there or
 * hears of it holds the same. Each host named in it sends no more than its part in any second, of which it keeps count; one
 * that has just started sends nothing for a second. Hosts know any of the others, start anew at any time, and are cut off for any
 * time; a write may land late. The target starts again under its id at any time.
 *
 * With RESTORES the store comes back from an older copy, without the permit that was written last. A host goes by permits of the
 * era in which it has read the registry, for some time after that. It writes one, or takes the one that it finds, once it has
 * known an era for so long that no host goes by those of earlier ones, and only if the store is still in that era.
 *
 * A second is two ticks. Checked whenever a request is sent: in no second the target gets more than it bears, whoever sends.
 *
 * Broken twins, which spin must refute:
 *   BROKEN_COUNT  each host goes by its part among the hosts that it knows, and needs no permit
 *   BROKEN_WRITE  a permit replaces the one that stands
 *   BROKEN_AGAIN  the target gets a new permit each time it starts
 *   BROKEN_START  a host that has just started sends at once
 *   BROKEN_ERA    permits count in every era (with RESTORES)
 *   BROKEN_WAIT   a host writes a permit as soon as it has read the registry (with RESTORES)
 *   BROKEN_ANSWER a host goes by a permit of a later era than the one that it knew as it wrote (with RESTORES)
 */

#ifndef HOSTS
#define HOSTS 3
#endif
#ifndef STARTS
#define STARTS 2 /* of hosts and of the target, each */
#endif

#ifndef BOUND
#define BOUND 6
#endif
#define ME(h) (1 << (h))

#ifdef RESTORES
#define COUNTS 1          /* ticks for which permits count after a reading */
#ifndef BROKEN_WAIT
#define WAIT (COUNTS + 2) /* ticks until permits of earlier eras count nowhere, nor what was sent by them */
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

byte permit;  /* hosts named by the one in the store; 0: there is none */
byte got[2];  /* requests in this tick and the one before */
byte hostStarts, targetStarts;
byte era = 1;

typedef Host {
	byte known;     /* hosts that it knows, itself included */
	byte holds;     /* hosts named by the permit that it holds; 0: none */
	byte late;      /* hosts named by a permit of its that lands later; 0: none */
	byte sent[2];   /* in this tick and the one before */
	byte age;       /* ticks since its start, two at most */
	byte era;       /* in which it has read the registry; 0: in none */
	byte wait;      /* ticks until it may write permits */
	byte counts;    /* ticks for which permits count */
	byte holdsEra;  /* of the permit that it holds */
}
Host host[HOSTS];

/* parts sets n to how many hosts a set names. */
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

/* put writes a permit for some hosts, as far as the store lets it. */
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
	/* It learns of others, or takes them for lost. */
	:: atomic {
		select(set : 1 .. (1 << HOSTS) - 1);
		set & ME(h) ->
		host[h].known = set;
		set = 0
	}
	/* It writes a permit, or finds the one that stands. */
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
		:: else /* it has not waited in that era */
		fi
	}
	/* Its write lands later, and it hears nothing of it. */
	:: atomic { WANTS(h) && MAY_WRITE(h) && host[h].late == 0 -> host[h].late = host[h].known }
	:: atomic { host[h].late > 0 -> put(host[h].late); host[h].late = 0 }
	/* Another host tells it of a permit. */
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
	/* Another host tells it for how long it has known the era. */
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
	/* It is killed, and starts anew. */
	:: atomic { hostStarts < STARTS ->
		hostStarts++;
		host[h].known = ME(h); host[h].holds = 0; host[h].holdsEra = 0; host[h].era = 0; host[h].wait = 0; host[h].counts = 0; host[h].sent[0] = 0; host[h].sent[1] = 0; host[h].age = 0
	}
	od
}

/* Time passes, and the target starts again. */
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
	/* The store comes back from a copy, with the permit or without. */
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
