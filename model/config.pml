/*
 * How the configuration reaches the hosts: internal/catalog, state.go and
 * serve.go. A platform changes and deletes objects. Hosts receive the changes
 * by watching and listing the platform and by pulling from one another. Answers
 * are generated at one time and arrive at any later one, so they may be
 * reordered. Hosts restart with empty state, and discard records of deletions.
 *
 * Checked at every arrival: neither a host's revision nor that of any object on
 * it decreases; and the host has exactly the objects that existed at the revision
 * up to which it reports itself complete.
 *
 * Broken variants, in which spin must find a violated assertion:
 *   BROKEN_OLDER   an answer is applied though it is not newer than the host's state
 *   BROKEN_GAP     changes are applied though earlier ones are missing
 *   BROKEN_FORGET  a host that has discarded deletions answers as if it still had them
 *   BROKEN_EMPTY   a host that pulls with empty state is assumed to be still empty
 *                  when the answer arrives
 *   BROKEN_FLOOR   a host adopts another's objects, but not the revision up to which
 *                  the other had discarded deletions
 */

#ifndef HOSTS
#define HOSTS 2
#endif
#ifndef WATCHERS
#define WATCHERS HOSTS /* hosts that watch the platform themselves */
#endif
#ifndef REVISIONS
#define REVISIONS 2
#endif
#ifndef OBJECTS
#define OBJECTS 2
#endif
#define AT(revision, o) ((revision) * OBJECTS + (o))

/* The platform's history: at revision r object changed[r] was written, or
 * deleted if deletion[r]. stood[AT(r, o)] is the object's revision as of
 * revision r; 0 if it did not exist. */
byte revision;
byte changed[REVISIONS + 1];
bit deletion[REVISIONS + 1];
byte stood[(REVISIONS + 1) * OBJECTS];

/* An answer in flight. newest[o] is the newest change of o in it; 0 if it has
 * none. named[o]: it says that o exists, without its value. floor: deletions up
 * to this revision may be missing. */
typedef Answer {
	bit present;
	bit whole;
	byte after;
	byte complete;
	byte floor;
	byte newest[OBJECTS];
	bit gone[OBJECTS];
	bit named[OBJECTS];
}

/* newest[o] is the newest change of o that the host has; 0 if none. gone[o]: it is
 * a deletion. floor: deletions up to this revision may have been discarded. */
typedef Host {
	byte complete;
	byte floor;
	byte newest[OBJECTS];
	bit gone[OBJECTS];
	Answer watched;
	Answer pulled;
}
Host host[HOSTS];

/* Scratch variables of the steps; each step sets them before it reads them. */
byte i;
byte o;
byte before;

inline write(object, isDeletion) {
	d_step {
		revision++;
		changed[revision] = object;
		deletion[revision] = isDeletion;
		o = 0;
		do
		:: o < OBJECTS -> stood[AT(revision, o)] = stood[AT(revision - 1, o)]; o++
		:: else -> break
		od;
		stood[AT(revision, object)] = (isDeletion -> 0 : revision);
		o = 0
	}
}

proctype Platform() {
	byte object;
end:	do
	:: atomic {
		revision < REVISIONS ->
		select(object : 0 .. (OBJECTS - 1));
		if
		:: write(object, 0)
		:: stood[AT(revision, object)] > 0 -> write(object, 1)
		fi;
		object = 0
	}
	od
}

inline clear(a) {
	a.present = 0; a.whole = 0; a.after = 0; a.complete = 0; a.floor = 0;
	o = 0;
	do
	:: o < OBJECTS -> a.newest[o] = 0; a.gone[o] = 0; a.named[o] = 0; o++
	:: else -> break
	od
}

/* Answers with every change after the host's revision, as of now. */
inline watch(h) {
	d_step {
		clear(host[h].watched);
		host[h].watched.present = 1;
		host[h].watched.after = host[h].complete;
		host[h].watched.complete = revision;
		i = host[h].complete + 1;
		do
		:: i <= revision ->
			host[h].watched.newest[changed[i]] = i;
			host[h].watched.gone[changed[i]] = deletion[i];
			i++
		:: else -> break
		od;
		i = 0; o = 0
	}
}

/* Answers with all objects that exist now. */
inline list(h) {
	d_step {
		clear(host[h].watched);
		host[h].watched.present = 1;
		host[h].watched.whole = 1;
		host[h].watched.complete = revision;
		host[h].watched.floor = revision;
		o = 0;
		do
		:: o < OBJECTS -> host[h].watched.newest[o] = stood[AT(revision, o)]; o++
		:: else -> break
		od;
		o = 0
	}
}

#ifdef BROKEN_FORGET
#define MUST_BE_FULL(h, from) 0
#elif defined(BROKEN_EMPTY)
#define MUST_BE_FULL(h, from) (host[h].complete > 0 && host[h].complete < host[from].floor)
#else
#define MUST_BE_FULL(h, from) (host[h].complete < host[from].floor)
#endif

/* Answers with the changes that another host has after this host's revision. */
inline pull(h, from) {
	d_step {
		clear(host[h].pulled);
		host[h].pulled.present = 1;
		host[h].pulled.whole = MUST_BE_FULL(h, from);
		host[h].pulled.after = host[h].complete;
		host[h].pulled.complete = host[from].complete;
		host[h].pulled.floor = host[from].floor;
		o = 0;
		do
		:: o < OBJECTS && host[from].newest[o] > host[h].complete ->
			host[h].pulled.newest[o] = host[from].newest[o];
			host[h].pulled.gone[o] = host[from].gone[o];
			o++
		:: o < OBJECTS && host[from].newest[o] <= host[h].complete ->
			host[h].pulled.named[o] = host[from].newest[o] > 0 && !host[from].gone[o];
			o++
		:: else -> break
		od;
		o = 0
	}
}

#ifdef BROKEN_OLDER
#define IS_NEWER(h, a) (a.complete > 0)
#define IS_NEWS(h, a) (a.newest[o] > 0)
#else
#define IS_NEWER(h, a) (a.complete > host[h].complete)
#define IS_NEWS(h, a) (a.newest[o] > host[h].complete && a.newest[o] > host[h].newest[o])
#endif
#ifdef BROKEN_GAP
#define FITS(h, a) 1
#else
#define FITS(h, a) (a.after <= host[h].complete)
#endif
#ifdef BROKEN_FLOOR
#define TAKES_FLOOR(h, a) 0
#else
#define TAKES_FLOOR(h, a) (a.whole)
#endif

inline takeObject(h, a) {
	before = host[h].newest[o];
	if
	:: IS_NEWS(h, a) ->
		host[h].newest[o] = a.newest[o];
		host[h].gone[o] = a.gone[o]
	:: else
	fi;
	if
	:: a.whole && a.newest[o] == 0 && !a.named[o] && host[h].newest[o] > 0 && !host[h].gone[o] ->
		host[h].newest[o] = a.complete;
		host[h].gone[o] = 1
	:: else
	fi;
	assert(host[h].newest[o] >= before)
}

inline arrive(h, a) {
	d_step {
		if
		:: IS_NEWER(h, a) && FITS(h, a) ->
			o = 0;
			do
			:: o < OBJECTS -> takeObject(h, a); o++
			:: else -> break
			od;
			if
			:: TAKES_FLOOR(h, a) && a.floor > host[h].floor -> host[h].floor = a.floor
			:: else
			fi;
			assert(a.complete >= host[h].complete);
			host[h].complete = a.complete;
			holdsWhatStood(h)
		:: else
		fi;
		clear(a);
		o = 0; before = 0
	}
}

inline holdsWhatStood(h) {
	o = 0;
	do
	:: o < OBJECTS ->
		assert((host[h].gone[o] -> 0 : host[h].newest[o]) == stood[AT(host[h].complete, o)]);
		o++
	:: else -> break
	od
}

/* A host discards its records of deletions. */
inline forget(h) {
	d_step {
		o = 0;
		do
		:: o < OBJECTS && host[h].gone[o] ->
			if
			:: host[h].newest[o] > host[h].floor -> host[h].floor = host[h].newest[o]
			:: else
			fi;
			host[h].newest[o] = 0;
			host[h].gone[o] = 0;
			o++
		:: o < OBJECTS && !host[h].gone[o] -> o++
		:: else -> break
		od;
		o = 0
	}
}

/* A new process with empty state. Answers to the old process may still arrive,
 * which the real system excludes: the model checks more than can happen. */
inline restart(h) {
	d_step {
		host[h].complete = 0;
		host[h].floor = 0;
		o = 0;
		do
		:: o < OBJECTS -> host[h].newest[o] = 0; host[h].gone[o] = 0; o++
		:: else -> break
		od;
		o = 0
	}
}

proctype Node(byte h) {
	byte from;
end:	do
	:: atomic { h < WATCHERS && !host[h].watched.present -> watch(h) }
	:: atomic { h < WATCHERS && !host[h].watched.present -> list(h) }
	:: atomic {
		!host[h].pulled.present ->
		select(from : 0 .. (HOSTS - 1));
		if
		:: from != h -> pull(h, from)
		:: else
		fi;
		from = 0
	}
	:: atomic { host[h].watched.present -> arrive(h, host[h].watched) }
	:: atomic { host[h].pulled.present -> arrive(h, host[h].pulled) }
	:: forget(h)
	:: atomic { host[h].complete > 0 -> restart(h) }
	od
}

init {
	byte n;
	atomic {
		run Platform();
		for (n : 0 .. (HOSTS - 1)) { run Node(n) }
	}
}
