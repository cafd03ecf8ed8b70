/*
 * How beliefs and their ages spread: internal/discovery, follower.go, peers.go
 * and update.go. The store changes the configuration. Host 0 watches the store;
 * the other hosts ask host 0, and every host asks the store itself once its
 * belief is old. A watch may be deaf to what changes while it waits: it ends as if
 * nothing had changed. What changed before, the next one tells. Answers
 * of peers are made at one time and arrive at any later one, or never. Clocks of
 * hosts can't be compared, so peers tell ages.
 *
 * Time is counted in ticks. at[t] is the version that stood at the start of
 * tick t.
 *
 * Checked whenever something happens:
 *   - a host never goes back;
 *   - an age is never understated: a host that believes to be current as of t
 *     holds at least what stood one watch before t;
 *   - a host that tells a caller that a route is unknown holds at least what
 *     stood FRESH and one watch ago; one that can't prove that refuses;
 *   - while the store answers and hosts run, every host that knows a version
 *     holds at least what stood BOUND ago.
 *
 * Broken twins, which spin must refute:
 *   BROKEN_ARRIVAL  the age that a peer tells is counted from the arrival
 *   BROKEN_WATCH    the end of a watch is believed as of its arrival
 *   BROKEN_DEAF     one watch is believed for as long as it lasts
 *   BROKEN_BACK     what a peer tells is taken though it is older
 *   BROKEN_FRESH    a route is told as unknown by a belief of any age
 *   BROKEN_PEERS    a host whose belief is old goes on waiting for its peer
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
 * still be true, but no bound holds. */
#ifdef PAUSES
#define PROMPT 0
#else
#define PROMPT 1
#endif

#define WATCH 1                       /* ticks that one watch lasts at most */
#define STALE 2                       /* age from which a host asks the store itself */
#define CALL 1                        /* ticks that a call takes while the store answers */
#define FRESH 2                       /* age up to which an unknown route is told as such */
#define BOUND (STALE + CALL + WATCH)  /* a change is in force */

byte now;
byte version;
byte at[TIME + 1];

/* asOf is meaningful if known. A host makes one call to the store and one to its
 * peer at a time. */
typedef Host {
	bit known;
	byte held;
	byte asOf;

	bit calling;      /* a list or a watch is under way */
	bit watching;     /* it is a watch */
	bit deaf;
	byte called;      /* when it began */
	bit answered;     /* the answer is under way */
	byte answer;      /* version; 0: a watch that ended without a change */

	bit asking;       /* a question to the peer is under way */
	byte asked;
	bit told;         /* the reply is under way */
	byte toldVersion;
	byte toldAge;
	byte toldHeld;    /* ticks that the peer held the question */
}
Host host[HOSTS];

#define AGE(h) (now - host[h].asOf)

/* The version that stood some ticks before t. */
#define STOOD(t, ticks) (((t) >= (ticks)) -> at[(t) - (ticks)] : 0)

#define TRUTHFUL(h) (!host[h].known || host[h].held >= STOOD(host[h].asOf, WATCH))

/* believe takes a version as of a time. */
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

/* due reports whether a host has to ask the store now. */
#ifdef BROKEN_PEERS
#define DUE(h) (h == 0 || !host[h].known)
#else
#define DUE(h) (h == 0 || !host[h].known || AGE(h) >= STALE)
#endif

/* A tick can't pass while a call that should have ended is under way, or while a
 * host that has to ask has not begun to: the store answers and hosts run. */
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

/* What a host does with the store. */
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
	/* The answer arrives. A list tells what stood when it was asked for at the
	 * earliest; so does a watch with a change. One without tells what stood at its
	 * end. */
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
	/* The host answers a caller whose route it does not know. */
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

/* What another host asks host 0. */
proctype Peer(byte h) {
	byte arrived;
end:	do
	:: atomic { !host[h].asking -> host[h].asking = 1; host[h].asked = now; host[h].told = 0 }
	/* The question arrives at any time from then on, and is held for a while. */
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
	/* The question or the reply is lost. */
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
