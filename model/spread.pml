/*
 * How cached state and its age propagate: internal/discovery, follower.go,
 * peers.go and update.go. The store changes the configuration. Host 0 watches the
 * store; the other hosts query host 0, and every host queries the store itself
 * once its state is stale. A watch may miss changes made while it waits: it ends
 * as if nothing had changed, and the next watch returns them. Answers of peers
 * are generated at one time and arrive at any later one, or never. Clocks of
 * hosts can't be compared, so peers send ages rather than times.
 *
 * Time is counted in ticks. at[t] is the store's version at the start of
 * tick t.
 *
 * Checked whenever something happens:
 *   - a host's version never decreases;
 *   - an age is never understated: a host whose state counts as current as of t
 *     has at least the store's version of one watch before t;
 *   - a host that answers a caller that a route is unknown has at least the
 *     store's version of FRESH plus one watch ago; a host that can't ensure that
 *     refuses the request;
 *   - while the store answers and hosts run, every host that has a version has
 *     at least the store's version of BOUND ago.
 *
 * Broken variants, in which spin must find a violated assertion:
 *   BROKEN_ARRIVAL  the age sent by a peer is counted from the arrival of the answer
 *   BROKEN_WATCH    the result of a watch counts as current as of its arrival
 *   BROKEN_DEAF     a single watch is trusted for as long as it lasts, without a limit
 *   BROKEN_BACK     a peer's version is applied though it is older
 *   BROKEN_FRESH    a route is answered as unknown from state of any age
 *   BROKEN_PEERS    a host with stale state keeps waiting for its peer
 */

#ifndef HOSTS
#define HOSTS 2
#endif
#ifndef TIME
#define TIME 8
#endif
#ifndef VERSIONS
#define VERSIONS 2
#endif

/* With PAUSES hosts may stop for any time, and calls take any time: ages must
 * still be correct, but the state's age has no bound. */
#ifdef PAUSES
#define PROMPT 0
#else
#define PROMPT 1
#endif

#define WATCH 1                       /* longest duration of a watch, in ticks */
#define STALE 2                       /* age from which a host queries the store itself */
#define CALL 1                        /* longest duration of a call while the store answers */
#define FRESH 2                       /* age up to which state may be used to answer that a route is unknown */
#define BOUND (STALE + CALL + WATCH)  /* longest time until a change is in force on every host */

byte now;
byte version;
byte at[TIME + 1];

/* asOf is valid if known. A host makes one call to the store and one to its
 * peer at a time. */
typedef Host {
	bit known;
	byte held;
	byte asOf;

	bit calling;      /* a list or a watch is in flight */
	bit watching;     /* the call is a watch */
	bit deaf;
	byte called;      /* tick at which the call began */
	bit answered;     /* the answer is in flight */
	byte answer;      /* version; 0: a watch that ended without a change */

	bit asking;       /* a query to the peer is in flight */
	byte asked;
	bit told;         /* the peer's reply is in flight */
	byte toldVersion;
	byte toldAge;
	byte toldHeld;    /* ticks for which the peer held the query before replying */
}
Host host[HOSTS];

#define AGE(h) (now - host[h].asOf)

/* The store's version some ticks before t. */
#define STOOD(t, ticks) (((t) >= (ticks)) -> at[(t) - (ticks)] : 0)

#define TRUTHFUL(h) (!host[h].known || host[h].held >= STOOD(host[h].asOf, WATCH))

/* believe applies a version as of a time. */
inline believe(h, newVersion, newAsOf) {
	d_step {
#ifdef BROKEN_BACK
		if
		:: newVersion > 0 -> assert(newVersion >= host[h].held); host[h].held = newVersion
		:: else
		fi;
#else
		if
		:: newVersion > host[h].held -> host[h].held = newVersion
		:: else
		fi;
#endif
		if
		:: !host[h].known || (newAsOf) > host[h].asOf -> host[h].asOf = newAsOf
		:: else
		fi;
		host[h].known = 1;
		assert(TRUTHFUL(h))
	}
}

/* DUE reports whether a host has to query the store now. */
#ifdef BROKEN_PEERS
#define DUE(h) (h == 0 || !host[h].known)
#else
#define DUE(h) (h == 0 || !host[h].known || AGE(h) >= STALE)
#endif

/* A tick can't pass while a call is overdue, or while a host that has to query the
 * store has not begun to: this models that the store answers and hosts run. */
#define LATE(h) (PROMPT && ((host[h].calling && now >= host[h].called + (host[h].watching -> WATCH : CALL)) || (!host[h].calling && DUE(h))))

proctype Clock() {
	byte h;
end:	do
	:: atomic {
		now < TIME ->
		h = 0;
		do
		:: h < HOSTS ->
#ifdef BROKEN_DEAF
			if
			:: LATE(h) && !host[h].watching -> break
			:: else -> h++
			fi
#else
			if
			:: LATE(h) -> break
			:: else -> h++
			fi
#endif
		:: else -> break
		od;
		if
		:: h == HOSTS ->
			now++;
			at[now] = version;
			h = 0;
			do
			:: h < HOSTS -> assert(!PROMPT || !host[h].known || host[h].held >= STOOD(now, BOUND)); h++
			:: else -> break
			od
		:: else
		fi;
		h = 0
	}
	od
}

proctype Operator() {
end:	do
	:: atomic { version < VERSIONS -> version++ }
	od
}

/* A host's calls to the store. */
proctype Follower(byte h) {
end:	do
	:: atomic { !host[h].calling && DUE(h) ->
		host[h].calling = 1;
		host[h].called = now;
		host[h].watching = host[h].known;
		host[h].answered = 0;
		if
		:: host[h].watching && version <= host[h].held -> host[h].deaf = 1
		:: host[h].deaf = 0
		fi
	}
	/* The store answers: a list at any time, a watch with a change at once, or
	 * with nothing at its end. */
	:: atomic { host[h].calling && !host[h].answered && !host[h].watching ->
		host[h].answered = 1; host[h].answer = version
	}
	:: atomic { host[h].calling && !host[h].answered && host[h].watching && !host[h].deaf && version > host[h].held ->
		host[h].answered = 1; host[h].answer = version
	}
	:: atomic { host[h].calling && !host[h].answered && host[h].watching && now >= host[h].called + WATCH && (host[h].deaf || version <= host[h].held) ->
		host[h].answered = 1; host[h].answer = 0
	}
	/* The answer arrives. A list is at least as new as the start of the call; so
	 * is a watch with a change. A watch without a change is as new as its end. */
	:: atomic { host[h].calling && host[h].answered ->
		if
#ifdef BROKEN_WATCH
		:: host[h].watching -> believe(h, host[h].answer, now)
#else
		:: host[h].watching && host[h].answer == 0 && host[h].called + WATCH <= now -> believe(h, 0, host[h].called + WATCH)
		:: host[h].watching && host[h].answer == 0 && host[h].called + WATCH > now -> believe(h, 0, now)
		:: host[h].watching && host[h].answer > 0 -> believe(h, host[h].answer, host[h].called)
#endif
		:: !host[h].watching -> believe(h, host[h].answer, host[h].called)
		fi;
		host[h].calling = 0; host[h].watching = 0; host[h].deaf = 0;
		host[h].answered = 0; host[h].called = 0; host[h].answer = 0
	}
	/* The host answers a caller that a route is unknown. */
	:: atomic { host[h].known &&
#ifndef BROKEN_FRESH
		AGE(h) <= FRESH &&
#endif
		host[h].held < VERSIONS -> assert(host[h].held >= STOOD(now, FRESH + WATCH))
	}
	od
}

inline forget(h) {
	d_step {
		host[h].asking = 0; host[h].asked = 0; host[h].told = 0;
		host[h].toldVersion = 0; host[h].toldAge = 0; host[h].toldHeld = 0
	}
}

/* The queries of another host to host 0. */
proctype Peer(byte h) {
	byte arrived;
end:	do
	:: atomic { !host[h].asking -> host[h].asking = 1; host[h].asked = now; host[h].told = 0 }
	/* The query arrives at any later time, and is held for some ticks. */
	:: atomic { host[h].asking && !host[h].told && host[0].known ->
		select(arrived : 0 .. TIME);
		if
		:: arrived >= host[h].asked && arrived <= now ->
			host[h].told = 1;
			host[h].toldVersion = host[0].held;
			host[h].toldAge = AGE(0);
			host[h].toldHeld = now - arrived
		:: else
		fi;
		arrived = 0
	}
	:: atomic { host[h].asking && host[h].told ->
		if
#ifdef BROKEN_ARRIVAL
		:: now >= host[h].toldAge -> believe(h, host[h].toldVersion, now - host[h].toldAge)
#else
		:: host[h].asked + host[h].toldHeld >= host[h].toldAge -> believe(h, host[h].toldVersion, host[h].asked + host[h].toldHeld - host[h].toldAge)
#endif
		:: else
		fi;
		forget(h)
	}
	/* The query or the reply is lost. */
	:: atomic { host[h].asking -> forget(h) }
	od
}

init {
	byte h;
	atomic {
		run Clock();
		run Operator();
		h = 0;
		do
		:: h < HOSTS ->
			run Follower(h);
			if
			:: h > 0 -> run Peer(h)
			:: else
			fi;
			h++
		:: else -> break
		od
	}
}
