/*
 * What hosts believe of a store that comes back from an older copy: internal/revision, discovery/state.go and update.go. The
 * store gives revisions out again after a restore; its era tells the two apart. Hosts read all, watch from what they believe,
 * and tell each other; an answer may be under way for any time. A host sees the era in any answer, also one that it does not
 * take.
 *
 * Checked whenever a host is told something: it believes what the store held at that revision of that era, and nothing of an
 * earlier era than it was told of.
 *
 * Broken twins, which spin must refute:
 *   BROKEN_NUMBER  revisions are ordered by their numbers alone
 *   BROKEN_WATCH   a watch goes on from a number of an earlier era
 *   BROKEN_HOST    the era of the host is told in place of that of the belief
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

byte held[ERAS * (NUMBERS + 1)]; /* what the store held, by era and number */
byte era, number, values;        /* of the store now; values counts what was written */

typedef Belief {
	byte era, number, value;
	bool known;
}
typedef Host {
	Belief now, late; /* late: an answer under way */
	byte seen;        /* newest era seen in any answer */
}
Host host[HOSTS];

#ifdef BROKEN_NUMBER
#define BEFORE(e1, n1, e2, n2) ((n1) < (n2))
#else
#define BEFORE(e1, n1, e2, n2) ((e1) < (e2) || (e1) == (e2) && (n1) < (n2))
#endif

/* take believes something unless it is older than what is believed. */
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

/* answer puts an answer of the store under way. */
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
	byte p, e, n, v; /* p: another host; e, n, v: what is taken */
end:	do
	/* It reads all. */
	:: atomic { !host[h].late.known -> v = AT(era, number); answer(h, v); v = 0 }
	/* It watches from what it believes: what has not changed since stays as it is believed. */
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
	/* An answer comes. */
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
	/* Another one tells. */
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
	/* It starts anew. */
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
