/*
 * Distribution of the document and orders to endpoints: the platform, two
 * entries and two agents, each with the document in force, and two endpoints.
 * docs/model.md maps it to the packages. Messages and macros are as in core.pml.
 */
/* The name of the property is part of the text that the checker reports. */
bool violated_e;
#define CHECK(property, condition) assert((condition) || violated_##property)

#ifndef GENERATIONS
#define GENERATIONS 3
#endif
#ifndef DEATHS
#define DEATHS 2 /* of all processes together */
#endif

/* A document is twice its generation plus a variant. Variant 1 exists for
 * generation 2 only: a second document that the platform serves by fault. */
#define VALUE(g) (2 * (g))
#define GENERATION(v) ((v) / 2)
#define CONFLICTING 5
#define LAST (2 * GENERATIONS + 1)

byte published = 1;
byte document[4]; /* in force: entries 0 and 1, agents 2 and 3; 0 is none */
short sentdocuments; /* bit set of documents that a process sent to another */
byte orders[2];   /* bit set of fencing numbers written to the endpoint's socket */
byte held[2];     /* fencing number in effect at the endpoint, which outlives its agent */
byte deaths;

#if defined(LIMIT_newentry) || defined(LIMIT_newagent)
#define LIMIT
byte before[4]; /* generation in force when the replaced process died */
/* No stale platform and no old message: a sender gives what it has in force. */
#define SERVED(v) ((v) == VALUE(published))
#define DELIVERABLE(v) (document[0] == (v) || document[1] == (v))
#else
#define SERVED(v) (((v) % 2 == 0 && (v) <= VALUE(published)) || ((v) == CONFLICTING && published >= 2))
#define DELIVERABLE(v) ((sentdocuments >> (v)) & 1)
#endif

#ifdef MUTANT_older
#define ACCEPTED(p, v) ((v) != document[p])
#else
#ifdef MUTANT_conflict
#define ACCEPTED(p, v) (GENERATION(v) >= GENERATION(document[p]) && (v) != document[p])
#else
#define ACCEPTED(p, v) (GENERATION(v) > GENERATION(document[p]))
#endif
#endif

#ifdef MUTANT_nodigest
#define MATCHES(f, p) true
#else
#define MATCHES(f, p) ((f) == document[p])
#endif
/* An agent decides a request only when both have the same generation: it
 * raises its own first, or refuses with `stale`. */
#ifdef MUTANT_admitstale
#define DECIDES(f, p) (GENERATION(f) <= GENERATION(document[p]))
#else
#ifdef MUTANT_admitbehind
#define DECIDES(f, p) (GENERATION(f) >= GENERATION(document[p]))
#else
#define DECIDES(f, p) (GENERATION(f) == GENERATION(document[p]))
#endif
#endif
#ifdef MUTANT_nofence
#define EFFECTIVE(f, p) true
#else
#define EFFECTIVE(f, p) ((f) >= held[p])
#endif

inline hold(p, v) {
	CHECK(e, GENERATION(v) > GENERATION(document[p]));
#ifdef LIMIT_newentry
	/* A new entry reads its peer or the platform, then compares with its peer. */
	if
	:: p < 2 && document[p] == 0 && document[1 - p] != 0 ->
		CHECK(e, GENERATION(v) >= before[p] || GENERATION(document[1 - p]) >= before[p])
	:: else
	fi;
#endif
#ifdef LIMIT_newagent
	if :: p >= 2 -> CHECK(e, GENERATION(v) >= before[p]) :: else fi;
#endif
	document[p] = v;
	sentdocuments = sentdocuments | (1 << v)
}

proctype Platform() {
end:	do
	:: atomic { published < GENERATIONS -> published++ }
	od
}

/* The document in force at one process, and what reaches it. */
proctype Holder(byte p) {
	byte v, f;
end:	do
	/* Read of the platform, which may be stale. */
	:: atomic { p < 2 ->
		v = 2;
		do :: v < LAST -> v++ :: break od;
		if :: SERVED(v) && ACCEPTED(p, v) -> hold(p, v) :: else fi;
		v = 0 }
	/* `whole` from another process, at any time after it was sent. A new entry
	 * reads the platform first. */
#if defined(LIMIT_newentry) && !defined(MUTANT_peerfirst)
	:: atomic { p >= 2 || document[p] != 0 -> v = 2;
#else
	:: atomic { v = 2;
#endif
		do :: v < LAST -> v++ :: break od;
		if :: DELIVERABLE(v) && ACCEPTED(p, v) -> hold(p, v) :: else fi;
		v = 0 }
#ifndef LIMIT
	/* `change` from f to v: base and digest of the result must match. */
	:: atomic { document[p] != 0 -> v = 2;
		do :: v < LAST -> v++ :: break od;
		if :: f = VALUE(GENERATION(document[p])) :: f = VALUE(GENERATION(document[p])) + 1 fi;
		if
		:: DELIVERABLE(v) && DELIVERABLE(f) && GENERATION(f) < GENERATION(v) && MATCHES(f, p) -> CHECK(e, f == document[p]); hold(p, v)
		:: else
		fi;
		v = 0; f = 0 }
#endif
	/* `open` stamped by an entry that had document f; an agent decides. */
	:: atomic { p >= 2 && document[p] != 0 -> f = 2;
		do :: f < LAST -> f++ :: break od;
		if
		:: DELIVERABLE(f) && DECIDES(f, p) ->
			CHECK(e, GENERATION(f) == GENERATION(document[p]))
		:: else
		fi;
		f = 0 }
	/* An order to the endpoint; its bytes may arrive after the agent died. */
	:: atomic { p >= 2 && document[p] != 0 ->
		orders[p - 2] = orders[p - 2] | (1 << GENERATION(document[p])) }
	/* Death and replacement: a new process knows no document. */
	:: atomic { deaths < DEATHS && document[p] != 0 ->
		deaths++;
#ifdef LIMIT
		before[p] = GENERATION(document[p]);
#endif
		document[p] = 0 }
	od
}

proctype Endpoint(byte p) {
	byte f;
end:	do
	:: atomic { f = 1;
		do :: f < GENERATIONS -> f++ :: break od;
		if
		:: ((orders[p] >> f) & 1) && EFFECTIVE(f, p) ->
			CHECK(e, f >= held[p]); held[p] = f
		:: else
		fi;
		f = 0 }
	od
}

init {
	byte i;
	atomic {
		run Platform();
		for (i : 0 .. 3) { run Holder(i) }
		run Endpoint(0); run Endpoint(1);
		i = 0
	}
}
