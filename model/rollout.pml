/*
 * How a rollout order ends: internal/rollouts, internal/rollout/coordinator.go and discovery/orderstate.go. Every host follows
 * the order in the store and has a phase, which its gateway applies a little later. Two hosts may both coordinate at any time:
 * each takes over the furthest phase that it hears of, and writes a final status on the condition of the revision that it
 * knows. A write may be applied at any later time, also after its host was killed; the answer may be lost. Reports and replies
 * may be lost, and one host may be cut off from the others. One host is killed and starts again without memory. The store is
 * restored once from an older copy without the status. Times and evidence are not modeled: a coordinator may decide either way
 * at any step, but waits for the replies of all hosts that are not cut off before the order succeeds.
 *
 * Checked:
 *   - a final status never changes to the other one, in the store or as a host sees it, also over a restore, as long as a host
 *     that knew it lives;
 *   - from when the store holds "succeeded" until it is restored, no host sends to an old target or has a request in flight
 *     there, except a host that was cut off before, was told of a rollback, or was killed and started again;
 *   - a host never goes back from moving or rolled back to canary;
 *   - a host that does not know the order sends nothing to the new version.
 *
 * Broken variants, in which spin must find a violated assertion:
 *   BROKEN_WRITE   a status is written without the condition
 *   BROKEN_WAIT    an order succeeds without waiting for the replies of the hosts
 *   BROKEN_PHASE   a host takes its phase from the store, which holds no final state
 *   BROKEN_VERDICT a host forgets the verdict when the store comes back without it
 *   BROKEN_UNKNOWN a host applies what it is told of an order that it does not know
 *   BROKEN_PLAN    a host reports a phase before its gateway applies it
 *
 * Limits of the code. Each of these variants drops an assumption of the model that the code does not ensure, and spin must find
 * a violated assertion:
 *   LIMIT_TAKEOVER a host that was told of a rollback counts: one coordinator may roll back while another one's write of
 *                  "succeeded" is under way
 *   LIMIT_LAG      the store is restored before all hosts have seen the verdict, and one that has not decides otherwise
 *   LIMIT_START    a host that starts after a restore reads the order without hearing a host that knows the verdict
 * Also not modeled: writes under way during a restore, which end with it here; the last 0.5 s of an order, in which requests at
 * old targets are no longer waited for.
 */

#ifndef HOSTS
#define HOSTS 2
#endif
#ifndef KILLS
#define KILLS 1
#endif
#ifndef RESTORES
#define RESTORES 1
#endif
#ifndef CUTS
#define CUTS 1 /* hosts that are cut off */
#endif
#define COORDINATORS 2
#define KILLED COORDINATORS /* index of the write of the host that was killed */
#define ME(h) (1 << (h))
#define ALL ((1 << HOSTS) - 1)

/* Phases, of which the last two are also the final states of the store; 0 stands for no final state there. */
#define WAITING 0
#define CANARY 1
#define MOVING 2
#define BACK 3
#define DONE 4

/* The store, whose revision changes with the state and the era only. */
byte state, era = 1;

byte cut;        /* set of the hosts that are cut off from the others, at most one */
bool killed;

/* Not part of the system: */
byte verdict;    /* first final state, as long as a host knows it or the store holds it */
byte excused;    /* set of hosts to which the second property does not apply */
bool succeeded;  /* the store holds DONE as its first final state, and was not restored */

typedef Host {
	byte era;          /* of the order as it has last seen it; 0: it does not know the order */
	byte phase, plan;  /* plan: the phase that its gateway applies */
	byte seen;         /* final state, as seen in this era or remembered from the former one */
	bool missing;      /* the final state is remembered, and not known to be in the restored store */
	bool old;          /* a request is in flight at an old target */
	byte clear;        /* as coordinator: hosts whose last report was "moving", with nothing at old targets */
	bool decided;      /* as coordinator: decided that the order succeeds */
}
Host host[HOSTS];

byte write[COORDINATORS + 1]; /* final state in a write that is under way; 0: no write */

#if HOSTS > 2
#define EACH(x) (x(0) && x(1) && x(2))
#else
#define EACH(x) (x(0) && x(1))
#endif
#define IGNORANT(h) (host[h].seen == 0)
#define SEEN(h) (host[h].seen == state)
#define FORGOT(h) (host[h].seen != verdict && host[h].phase != verdict)

/* After a restore a host that starts hears a host that knows the verdict first, if there is one. */
#ifndef LIMIT_START
#define MAY_READ(h) (host[h].era > 0 || era == 1 || EACH(IGNORANT))
#else
#define MAY_READ(h) true
#endif

#ifndef LIMIT_LAG
#define MAY_RESTORE (state == 0 || EACH(SEEN))
#else
#define MAY_RESTORE true
#endif

#ifndef BROKEN_PLAN
#define REPORTED(h) host[h].plan
#else
#define REPORTED(h) host[h].phase
#endif

#ifndef BROKEN_UNKNOWN
#define TAKES(h) (host[h].era > 0 && host[h].seen == 0)
#else
#define TAKES(h) (host[h].seen == 0)
#endif

#ifndef BROKEN_WAIT
#define AWAITED(h) (ALL & ~host[h].clear & ~cut)
#else
#define AWAITED(h) 0
#endif

/* The store would accept a write on the condition of the revision that the host knows. Others fail, so they are not begun. */
#ifndef BROKEN_WRITE
#define CURRENT(h) (host[h].era == era && (host[h].seen == 0 && state == 0 || host[h].seen != 0 && (state == 0) == host[h].missing))
#else
#define CURRENT(h) (host[h].era > 0)
#endif

#define CHECK(h) assert(!(succeeded && host[h].old && !(excused & ME(h))))

/* forget drops the verdict once neither the store nor a host has it. */
inline forget() {
	if
	:: state == 0 && EACH(FORGOT) -> verdict = 0
	:: else
	fi
}

/* setPhase sets the phase of a host. */
inline setPhase(h, to) {
	assert(!(host[h].phase >= MOVING && to < MOVING));
	host[h].phase = to;
	if
#ifndef LIMIT_TAKEOVER
	:: to == BACK && era == 1 -> excused = excused | ME(h)
#endif
	:: else
	fi
}

/* see gives a host the order in era te, with the final state ts. */
inline see(h, te, ts) {
	if
	:: te > host[h].era ->
#ifdef BROKEN_VERDICT
		if
		:: host[h].era > 0 && host[h].seen != 0 -> host[h].seen = 0; host[h].phase = CANARY
		:: else
		fi;
#endif
		host[h].missing = host[h].seen != 0;
		host[h].era = te;
		host[h].phase = (host[h].phase == WAITING -> CANARY : host[h].phase)
	:: else
	fi;
	if
	:: te == host[h].era && ts != 0 ->
		assert(host[h].seen == 0 || host[h].seen == ts);
		host[h].missing = false;
		host[h].seen = ts;
		host[h].decided = false;
		host[h].clear = 0;
		setPhase(h, ts)
#ifdef BROKEN_PHASE
	:: te == host[h].era && ts == 0 && host[h].phase == MOVING -> setPhase(h, CANARY)
#endif
	:: else
	fi
}

/* put applies a write. Others that are under way then fail on the condition. */
inline put(w) {
	if
	:: write[w] != state ->
		state = write[w];
		assert(verdict == 0 || verdict == state);
		succeeded = succeeded || verdict == 0 && state == DONE && era == 1;
		verdict = state;
		k = 0;
		do
		:: k < HOSTS -> CHECK(k); k++
		:: else -> break
		od;
		k = 0;
#ifndef BROKEN_WRITE
		write[0] = 0;
		write[1] = 0;
		write[KILLED] = 0
#endif
	:: else
	fi;
	write[w] = 0
}

proctype Work(byte h) {
	byte k, c, e, s;
end:	do
	/* It reads the order in the store, also as the answer to a write. */
	:: atomic { MAY_READ(h) -> e = era; s = state; see(h, e, s); e = 0; s = 0 }
	/* It hears from another host what that knows of the order, also from before a restore. */
	:: atomic {
		select(c : 0 .. HOSTS - 1);
		if
		:: c != h && host[c].era >= host[h].era && host[c].era > 0 ->
			e = host[c].era;
			s = (host[c].missing -> 0 : host[c].seen);
			see(h, e, s);
			e = 0;
			s = 0;
			if
			:: host[c].missing && host[h].seen == 0 ->
				host[h].seen = host[c].seen; host[h].missing = true; host[h].decided = false; host[h].clear = 0;
				setPhase(h, host[c].seen)
			:: else
			fi
		:: else
		fi;
		c = 0
	}
	/* Its gateway applies the phase. */
	:: atomic { host[h].plan != host[h].phase -> host[h].plan = host[h].phase }
	/* It sends a request to an old target, which ends later. */
	:: atomic { era == 1 && !host[h].old && (host[h].plan <= CANARY || host[h].plan == BACK) -> host[h].old = true; CHECK(h) }
	:: atomic { host[h].old -> host[h].old = false }
	/* It sends a request to a new target. */
	:: atomic { (host[h].plan == CANARY || host[h].plan == MOVING || host[h].plan == DONE) && host[h].era == 0 -> assert(false) }
	/* It is cut off from the others. */
	:: atomic { CUTS && cut == 0 && !succeeded && era == 1 -> cut = ME(h); excused = excused | ME(h) }
	/* It reports to a coordinator, which may be itself, and gets a reply or none. */
	:: atomic { TAKES(h) ->
		select(c : 0 .. COORDINATORS - 1);
		if
		:: host[c].era > 0 && (c == h || !(cut & (ME(c) | ME(h)))) ->
			if
			:: host[h].era > 0 && host[c].seen == 0 ->
				if
				:: REPORTED(h) == MOVING && !host[h].old -> host[c].clear = host[c].clear | ME(h)
				:: else -> host[c].clear = host[c].clear & ~ME(h)
				fi;
				if
				:: host[h].phase >= MOVING && host[h].phase > host[c].phase -> setPhase(c, host[h].phase)
				:: else
				fi
			:: else
			fi;
			if
			:: host[c].phase > host[h].phase && host[c].phase >= MOVING -> setPhase(h, host[c].phase)
			:: true /* the reply is lost */
			fi
		:: else
		fi;
		c = 0
	}
	/* As a coordinator, it decides. */
	:: atomic { h < COORDINATORS && host[h].seen == 0 && !host[h].decided && (host[h].phase == CANARY || host[h].phase == MOVING) ->
		if
		:: host[h].phase == CANARY -> setPhase(h, MOVING)
		:: true -> setPhase(h, BACK)
		:: host[h].phase == MOVING && AWAITED(h) == 0 -> host[h].decided = true
		fi
	}
	/* It writes a verdict, its own or another host's, or once more after a restore. */
	:: atomic { h < COORDINATORS && write[h] == 0 && CURRENT(h) &&
			(host[h].seen == 0 || host[h].missing) && (host[h].phase >= BACK || host[h].decided) ->
		write[h] = (host[h].phase >= BACK -> host[h].phase : DONE)
	}
	:: atomic { h < COORDINATORS && write[h] != 0 -> put(h) }
	/* It is killed, and starts again without memory. Its write may still be applied. */
	:: atomic { KILLS && !killed ->
		killed = true;
		if
		:: era == 1 -> excused = excused | ME(h)
		:: else
		fi;
		if
		:: h < COORDINATORS -> write[KILLED] = write[h]; write[h] = 0
		:: else
		fi;
		host[h].era = 0; host[h].phase = WAITING; host[h].plan = WAITING; host[h].seen = 0; host[h].missing = false;
		host[h].old = false; host[h].clear = 0; host[h].decided = false;
		forget()
	}
	od
}

/* The write of the host that was killed is applied, and the store is restored. */
proctype World() {
	byte k;
end:	do
	:: atomic { write[KILLED] != 0 -> put(KILLED) }
	:: atomic { RESTORES && era == 1 && MAY_RESTORE ->
		era = 2;
		state = 0;
		succeeded = false;
		excused = 0;
		write[0] = 0;
		write[1] = 0;
		write[KILLED] = 0;
		k = 0;
		do
		:: k < HOSTS -> host[k].old = false; k++
		:: else -> break
		od;
		k = 0;
		forget()
	}
	od
}

init {
	byte h;
	atomic {
		h = 0;
		do
		:: h < HOSTS -> run Work(h); h++
		:: else -> break
		od;
		run World();
		h = 0
	}
}
