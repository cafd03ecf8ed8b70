/*
 * A reservation's record and its target, for one reservation id.
 *
 * Each Request is one request of the caller, at a host of its own choice; the
 * hosts share nothing but the record, the answers of other hosts on their own
 * attempts (Ask) and the target. A host that pauses at any step and resumes at
 * any later time, or never, is covered by the interleaving. Membership is not
 * trusted: a request that finds another's attempt may always assume that its
 * host is dead. Any write may fail in an outage of the platform of any length.
 *
 * With RESTORE the platform is restored from an older copy of the record once, at
 * any step. The reservation's id is older than the restore.
 *
 * Checked: the target runs the reservation at most once, and no request whose
 * response was "not run" has run or runs later.
 *
 * Each macro named in check.sh disables one mechanism or adds one wrong step;
 * spin must find a violation with each of them.
 */

#ifndef REQUESTS
#define REQUESTS 3
#endif
#ifndef ATTEMPTS
#define ATTEMPTS 4  /* attempt 0 means no attempt */
#endif
#define SLOTS 2 /* delayed writes, which are applied late or never */
#ifndef FAULTS
#define FAULTS   3  /* lost answers and delayed writes in total */
#endif

/* Phases of a record; NONE means that there is no record. */
#define NONE     0
#define SENDING  1
#define RELEASED 2
#define SETTLED  3
#define UNCLEAR  4  /* settled with an unknown outcome */

/* Results of a conditional write. */
#define APPLIED    0
#define CONFLICT   1
#define NOTAPPLIED 2
#define AMBIGUOUS  3

/* The platform. Versions restart from 1 after a removal. */
byte version = 0;
byte phase = NONE;
byte attempt = 0;
bool writtenPast = false; /* the record was written after the horizon */
bool past = false;        /* the platform's clock is past the horizon */
bool wellPast = false;    /* and past the age at which records are removed */
byte faults = FAULTS;

#ifdef RESTORE
byte copyVersion = 0;
byte copyPhase = NONE;
byte copyAttempt = 0;
bool copyPast = false;
#endif
bool restored = false;

typedef Write { bool used; byte ver; byte ph; byte att };
Write late[SLOTS];

/* The target. */
byte runs = 0;
byte sheds = 1;
bool ran[ATTEMPTS];
bool refused[ATTEMPTS];

/* neverRuns: the attempt's host has decided that it won't run. toldNotRun: the caller got the response "not run". */
bool neverRuns[ATTEMPTS];
bool requestRan[REQUESTS];
bool toldNotRun[REQUESTS];
byte attempts = 0;
byte begun = 0;

inline apply(wantVer, newPhase, newAttempt) {
	if
	:: version == wantVer && newPhase == NONE -> version = 0; phase = NONE; attempt = 0; writtenPast = false
	:: version == wantVer && newPhase != NONE ->
		version++; phase = newPhase; attempt = newAttempt; writtenPast = past
	:: else -> skip
	fi
}

/*
 * put writes if the version still matches; cv, cp, ca and cw are set to the record
 * after the write. It is used inside atomic: the code after it there uses local
 * variables only.
 */
inline put(ifVer, toPhase, toAttempt) {
	if
	:: version == ifVer -> apply(ifVer, toPhase, toAttempt); result = APPLIED
	:: version != ifVer -> result = CONFLICT
	:: faults > 0 -> faults--; apply(ifVer, toPhase, toAttempt); result = AMBIGUOUS
	:: faults > 0 && !late[0].used ->
		faults--; late[0].used = true; late[0].ver = ifVer; late[0].ph = toPhase; late[0].att = toAttempt; result = AMBIGUOUS
	:: faults > 0 && late[0].used && !late[1].used ->
		faults--; late[1].used = true; late[1].ver = ifVer; late[1].ph = toPhase; late[1].att = toAttempt; result = AMBIGUOUS
	:: true -> result = NOTAPPLIED
	fi;
	if
	:: result <= CONFLICT -> cv = version; cp = phase; ca = attempt; cw = writtenPast
	:: else -> cv = 0; cp = NONE; ca = 0; cw = false
	fi
}

/* forget resets variables that are not read again, so that states differing only in them are merged. */
inline forget() { cp = NONE; ca = 0; cw = false; result = APPLIED; doubt = false; tries = 0 }

/* tellNotRun responds "not run" to the caller. It is used inside atomic. */
inline tellNotRun() {
	assert(!requestRan[me]);
	toldNotRun[me] = true
}

proctype Request(byte me) {
	byte base, cv, cp, ca, result, tries;
	byte mine = 0;  /* the newest attempt */
	byte held = 0;  /* an earlier, rejected attempt that the record still names */
	bool cw, doubt;
	bool lossy; /* the record was written after a restore, which may have lost an earlier record */

	/* Requests are interchangeable, so they begin in a fixed order. The host
	   reads the clock; the reading may be out of date when it is used. */
	atomic {
		me == begun;
		begun++;
		if
		:: past -> goto end
		:: true -> base = 0
		fi
	};
next:
	atomic {
		if
		:: attempts + 1 < ATTEMPTS -> attempts++; mine = attempts
		:: else -> goto end
		fi;
		cv = 0;
		forget()
	};
take:
	atomic {
		put(base, SENDING, mine);
		lossy = restored;
		if
		:: result == APPLIED -> goto own
		:: result == CONFLICT && ca == mine && cp == SENDING -> goto own
		:: result == CONFLICT && !(ca == mine && cp == SENDING) -> neverRuns[mine] = true; held = 0; goto met
		:: result == NOTAPPLIED && !doubt -> goto giveUp
		:: result == AMBIGUOUS || (result == NOTAPPLIED && doubt) ->
			doubt = true;
			if
			:: tries < 1 -> tries++; result = APPLIED; goto take
			:: true -> goto giveUp
			fi
		fi
	};
giveUp:
	atomic {
#ifdef SEND_UNSETTLED
		if
		:: doubt -> cv = base + 1; goto send
		:: else -> skip
		fi;
#endif
		neverRuns[mine] = true;
		tellNotRun();
		if
		:: !doubt && held == 0 -> goto end
		:: else -> cv = 0; forget(); goto release
		fi
	};
own:
	atomic {
		held = 0;
#ifndef TRUST_COPY
		if
		:: lossy -> neverRuns[mine] = true; base = cv; cv = 0; forget(); goto release /* the response is "unknown" */
		:: else -> skip
		fi;
#endif
#ifndef NO_RECHECK
		if
		:: cw -> neverRuns[mine] = true; base = cv; cv = 0; forget(); goto release /* the response is "expired" */
		:: else -> skip
		fi;
#endif
		base = 0;
		forget();
		if
		:: true -> /* the request's budget has ended */
			neverRuns[mine] = true; base = cv; cv = 0; tellNotRun(); goto release
		:: true -> skip
		fi
	};
send:
	/* The request was sent and arrives at any later time. */
	atomic {
		if
		:: refused[mine] -> goto rejected
		:: !refused[mine] && sheds > 0 -> sheds--; goto rejected
		:: !refused[mine] ->
			runs++;
			assert(runs <= 1);
			assert(!toldNotRun[me]);
			ran[mine] = true;
			requestRan[me] = true
		fi;
		tries = 0;
		if
		:: true -> base = cv; cv = 0; goto outcome
		:: true -> skip /* the target's answer is lost */
		fi
	};
	atomic {
#ifdef RELEASE_AFTER_SEND
		base = cv; goto release;
#endif
#ifdef RESEND_ON_TIMEOUT
		base = cv; goto next;
#endif
		put(cv, UNCLEAR, mine);
		goto end
	};
outcome:
	atomic {
		put(base, SETTLED, mine);
		if
		:: result >= NOTAPPLIED && tries < 1 -> tries++; goto outcome
		:: else -> goto end
		fi
	};
rejected:
	atomic {
		neverRuns[mine] = true;
		held = mine;
		base = cv;
#ifndef SECOND_TARGET_WITHOUT_UPDATE
		cv = 0;
#endif
		if
		:: true -> /* another target */
#ifdef SECOND_TARGET_WITHOUT_UPDATE
			if
			:: attempts + 1 < ATTEMPTS -> attempts++; mine = attempts; goto send
			:: else -> goto end
			fi
#else
			goto next
#endif
		:: true -> tellNotRun(); goto release
		fi
	};
met:
	atomic {
		if
		:: cp == NONE -> goto end /* the response is "expired" */
		:: cp == SETTLED -> assert(ran[ca]); goto end
		:: cp == RELEASED -> base = cv; goto next
		:: (cp == SENDING || cp == UNCLEAR) && neverRuns[ca] -> base = cv; goto next /* the attempt's host reports that it never runs */
		:: (cp == SENDING || cp == UNCLEAR) -> goto end /* the response is "unknown" */
#ifdef TAKEOVER_WITHOUT_SETTLE
		:: (cp == SENDING || cp == UNCLEAR) -> base = cv; goto next
#endif
		:: (cp == SENDING || cp == UNCLEAR) -> /* query the target, which refuses the attempt from now on unless it ran */
			if
			:: ran[ca] -> mine = ca; base = cv; cv = 0; forget(); held = 0; goto outcome
			:: else -> refused[ca] = true; base = cv; goto next
			fi
		fi
	};
release:
	/* The attempts mine and held can no longer run, whichever host finds them in the record. */
	tries = 0;
free:
	atomic {
#ifdef RELEASE_BY_REMOVAL
		if
		:: version > 0 && attempt == mine && phase == SENDING -> base = version
		:: else -> goto end
		fi;
		put(base, NONE, mine);
#else
		put(base, RELEASED, mine);
#endif
		if
		:: result == APPLIED -> goto end
		:: result == CONFLICT && cp == SENDING && (ca == mine || ca == held) && cv != base -> base = cv; cv = 0; forget(); goto free
		:: result == CONFLICT && !(cp == SENDING && (ca == mine || ca == held) && cv != base) -> goto end
		:: result >= NOTAPPLIED ->
			if
			:: tries < 1 -> tries++; result = APPLIED; goto free
			:: true -> goto end /* given up, or the host failed */
			fi
		fi
	};
end:
	atomic { base = 0; cv = 0; cp = 0; ca = 0; result = 0; tries = 0; mine = 0; held = 0; cw = false; doubt = false; lossy = false }
}

/* Delayed writes are applied at any time, or never. */
proctype Network() {
end:
	do
	:: atomic { late[0].used -> apply(late[0].ver, late[0].ph, late[0].att);
		late[0].used = false; late[0].ver = 0; late[0].ph = 0; late[0].att = 0 }
	:: atomic { late[1].used -> apply(late[1].ver, late[1].ph, late[1].att);
		late[1].used = false; late[1].ver = 0; late[1].ph = 0; late[1].att = 0 }
	od
}

/* The horizon passes; later, old records are removed. */
proctype Clock() {
#ifdef REMOVE_EARLY
	atomic { version > 0 -> version = 0; phase = NONE; attempt = 0; writtenPast = false };
#endif
	past = true;
	wellPast = true;
end:
	do
	:: atomic { wellPast && version > 0 -> version = 0; phase = NONE; attempt = 0; writtenPast = false }
	od
}

#ifdef RESTORE
/* A copy of the record is made, and later replaces the record. */
proctype Restore() {
	atomic { copyVersion = version; copyPhase = phase; copyAttempt = attempt; copyPast = writtenPast };
	atomic {
		version = copyVersion; phase = copyPhase; attempt = copyAttempt; writtenPast = copyPast;
		copyVersion = 0; copyPhase = NONE; copyAttempt = 0; copyPast = false;
		restored = true
	}
}
#endif

init {
	byte i = 0;
	atomic {
#ifdef RESTORE
		run Restore();
#endif
		run Network();
		run Clock();
		do
		:: i < REQUESTS -> run Request(i); i++
		:: else -> break
		od
	}
}
