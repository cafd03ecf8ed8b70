/*
 * The state that hosts cache of a store that is restored from an older copy: internal/revision, discovery/state.go and
 * update.go. The store reuses revision numbers after a restore; its era distinguishes them. Hosts list the store, watch it from
 * their cached revision, and exchange their state; an answer may be in flight for any time. A host reads the era from every
 * answer, also from one that it doesn't apply.
 *
 * Checked whenever a host receives a state: its cached value is the store's at the cached revision of that era, and its era is
 * not earlier than the one received.
 *
 * Broken variants, in which spin must find a violated assertion:
 *   BROKEN_NUMBER  revisions are ordered by their numbers alone
 *   BROKEN_WATCH   a watch resumes from a revision number of an earlier era
 *   BROKEN_HOST    a host sends the newest era that it has seen in place of the era of its cached state
 */

#ifndef HOSTS
#define HOSTS 2
#endif
#ifndef ERAS
#define ERAS 3
#endif
#ifndef NUMBERS
#define NUMBERS 3
#endif

#define AT(e, n) held[(e) * (NUMBERS + 1) + (n)]

byte held[ERAS * (NUMBERS + 1)]; /* the store's value by era and number */
byte era, number, values;        /* current era and number of the store; values is the number of writes */

typedef Belief {
	byte era, number, value;
	bool known;
}
typedef Host {
	Belief now, late; /* now: cached state; late: an answer in flight */
	byte seen;        /* newest era seen in any answer */
}
Host host[HOSTS];

#ifdef BROKEN_NUMBER
#define BEFORE(e1, n1, e2, n2) ((n1) < (n2))
#else
#define BEFORE(e1, n1, e2, n2) ((e1) < (e2) || (e1) == (e2) && (n1) < (n2))
#endif

/* take caches a received state unless it is older than the cached one. */
inline take(h, te, tn, tv) {
	if
	:: !host[h].now.known || BEFORE(host[h].now.era, host[h].now.number, te, tn) ->
		host[h].now.era = te;
		host[h].now.number = tn;
		host[h].now.value = tv;
		host[h].now.known = true;
		assert(host[h].now.value == AT(host[h].now.era, host[h].now.number))
	:: else
	fi;
	assert(host[h].now.era >= te)
}

/* answer generates an answer of the store, which arrives later. */
inline answer(h, av) {
	host[h].late.era = era;
	host[h].late.number = number;
	host[h].late.value = av;
	host[h].late.known = true;
	host[h].seen = era
}

proctype Store() {
	byte k, n;
end:	do
	:: atomic { number < NUMBERS && values < 4 -> number++; values++; AT(era, number) = values }
	:: atomic { era < ERAS - 1 ->
		select(n : 0 .. NUMBERS);
		if
		:: n <= number ->
			k = 0;
			do
			:: k <= n -> AT(era + 1, k) = AT(era, k); k++
			:: else -> break
			od;
			era++;
			number = n
		:: else
		fi;
		k = 0;
		n = 0
	}
	od
}

proctype Work(byte h) {
	byte p, e, n, v; /* p: another host; e, n, v: era, number and value received */
end:	do
	/* It lists the store. */
	:: atomic { !host[h].late.known -> v = AT(era, number); answer(h, v); v = 0 }
	/* It watches from its cached revision: a value that has not changed since stays as cached. */
	:: atomic { !host[h].late.known && host[h].now.known ->
		if
#ifdef BROKEN_WATCH
		:: host[h].now.number <= number ->
#else
		:: host[h].now.era == era && host[h].now.number <= number ->
#endif
			if
			:: host[h].now.number == number -> v = host[h].now.value
			:: else -> v = AT(era, number)
			fi;
			answer(h, v);
			v = 0
		:: else -> host[h].seen = era /* refused */
		fi
	}
	/* An answer arrives. */
	:: atomic { host[h].late.known ->
		e = host[h].late.era;
		n = host[h].late.number;
		v = host[h].late.value;
		take(h, e, n, v);
		e = 0;
		n = 0;
		v = 0;
		host[h].late.known = false;
		host[h].late.era = 0;
		host[h].late.number = 0;
		host[h].late.value = 0
	}
	/* Another host sends its cached state. */
	:: atomic {
		select(p : 0 .. HOSTS - 1);
		if
		:: p != h && host[p].now.known ->
#ifdef BROKEN_HOST
			e = host[p].seen;
#else
			e = host[p].now.era;
#endif
			n = host[p].now.number;
			v = host[p].now.value;
			take(h, e, n, v)
		:: else
		fi;
		p = 0;
		e = 0;
		n = 0;
		v = 0
	}
	/* It restarts with empty state. */
	:: atomic { host[h].now.known ->
		host[h].now.known = false;
		host[h].now.era = 0;
		host[h].now.number = 0;
		host[h].now.value = 0;
		host[h].late.known = false;
		host[h].seen = 0
	}
	od
}

init {
	byte h;
	atomic {
		run Store();
		h = 0;
		do
		:: h < HOSTS -> run Work(h); h++
		:: else -> break
		od
	}
}
