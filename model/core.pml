/*
 * Core protocol of damasktrail: attempts, tickets, answers and leaving
 * endpoints. document.pml has the generations. docs/model.md maps both to the
 * packages.
 *
 * A MUTANT_name macro removes one rule. model/check runs them all.
 *
 * Every message is an event that stays possible once it was sent: it may be
 * delivered late, out of order, again, or never. That covers loss, delay,
 * reordering, duplication and partitions. Processes have no clocks: a paused
 * process takes no step for any length of time, and a timeout can fire at any
 * moment.
 */
/* The name of the property is part of the text that the checker reports. */
bool violated_a, violated_b, violated_c, violated_d, violated_f;
#define CHECK(property, condition) assert((condition) || violated_##property)

#ifndef REQUESTS
#define REQUESTS 2 /* 1 or 2; the second is a resend or another request */
#endif
#ifndef ATTEMPTS
#define ATTEMPTS 2 /* attempts per request at its entry */
#endif
#ifndef TICKETS
#define TICKETS 0 /* bit set of the requests that carry the ticket */
#endif
#ifndef AGENTDEATHS
#define AGENTDEATHS 1 /* of both agents together */
#endif
#ifndef ENTRYDEATHS
#define ENTRYDEATHS 1
#endif
#ifndef CALLERLEAVES
#define CALLERLEAVES 1 /* the first caller may close its connection */
#endif
#ifndef LEAVES
#define LEAVES 1
#endif

#define STREAMS (REQUESTS * ATTEMPTS)
#define Q(a) ((a) / ATTEMPTS)
#define TICKETED(q) ((TICKETS >> (q)) & 1)
#define ISSUER 0 /* the agent whose first incarnation issued the ticket */

/* State of a request at its entry, and what its caller was told. */
#define IDLE 0
#define OPEN 1
#define CLOSED 2
#define ANSWER 1
#define NOTRUN 2
#define UNKNOWN 3
#define BROKEN 4 /* the caller's connection ended without a verdict */
#define STALE 5  /* from agent to entry only */

/* State of an attempt at its agent. */
#define NEW 0
#define WAITING 1
#define RUNNING 2
#define PARTIAL 3 /* running, and the first chunk was sent */
#define JOINED 4  /* waits for the outcome of its ticket */
#define ENDED 5

/* State of the ticket's serial in the ledger. */
#define UNUSED 0
#define QUEUED 1
#define INSIDE 2
#define KEPT 3
#define GONE 4
#define BURNED 5

byte state[REQUESTS], told[REQUESTS], at[REQUESTS]; /* at: index of the entry */
byte sent[REQUESTS];    /* number of attempts sent */
byte current[REQUESTS]; /* open attempt of the request, counted from 1; 0 is none */
byte tried[REQUESTS];   /* bit set of endpoints that may have got the request */
bool unsure[REQUESTS];  /* an attempt ended without a confirmed not run */
byte chunks[REQUESTS];  /* given to the caller; a whole answer has one */
byte body[REQUESTS];
bool whole[REQUESTS];   /* chunk and end were received */

byte agent[STREAMS], bound[STREAMS]; /* the incarnation that holds the connection */
byte step[STREAMS];
byte refusal[STREAMS];
byte reply[STREAMS]; /* 1: chunk sent, 2: chunk and end sent */
byte content[STREAMS]; /* the body that the reply answers */
bool reset[STREAMS], read[STREAMS];

byte incarnation[2];
bool leaving[2];
byte ledger, digest;
bool expired;

byte agentdeaths, entrydeaths, leaves;

/* History that the properties refer to. */
byte dispatched[REQUESTS * 2]; /* by request and endpoint */
bool ran[STREAMS];             /* by attempt */
bool knows[2];                 /* the agent was told to leave */
bool graceover;                /* a few seconds passed since the issuer was told */
byte ticketruns;
bool ticketran[2], ticketnot[2]; /* by body: dispatched; a caller was told not run */

#define STREAM(q) ((q) * ATTEMPTS + current[q] - 1)

/* An answer belongs to the open attempt of the request. */
#ifdef MUTANT_noid
#define OWN(a, q) (state[q] == OPEN && current[q] != 0 && at[q] == at[Q(a)])
#else
#define OWN(a, q) (state[q] == OPEN && Q(a) == (q) && current[q] != 0 && STREAM(q) == (a))
#endif

/* Only one agent process exists for an endpoint, and a connection is known
 * only to the incarnation that accepted it. */
#define REACHES(a) (agent[a] != 9 && incarnation[agent[a]] == bound[a])

inline tell(q, what) {
	CHECK(d, told[q] == 0 && (what != ANSWER || whole[q]));
	if
	:: what == NOTRUN && TICKETED(q) -> CHECK(c, !ticketran[body[q]]); ticketnot[body[q]] = true
	:: what == NOTRUN && !TICKETED(q) -> CHECK(c, dispatched[q * 2] + dispatched[q * 2 + 1] == 0)
	:: else
	fi;
	told[q] = what; state[q] = CLOSED; current[q] = 0; tried[q] = 0; unsure[q] = false; chunks[q] = 0
}

inline drop(q) { /* the entry closes the open attempt and counts it as unsure */
	if
	:: current[q] != 0 ->
		reset[STREAM(q)] = true; unsure[q] = true;
		tried[q] = tried[q] | (1 << agent[STREAM(q)]); current[q] = 0
	:: else
	fi
}

inline send(q, g) {
	current[q] = sent[q] + 1; sent[q]++;
	agent[STREAM(q)] = g; bound[STREAM(q)] = incarnation[g];
}

#ifdef MUTANT_sameendpoint
#define EXCLUDED(q, g) false
#else
#define EXCLUDED(q, g) ((tried[q] >> (g)) & 1)
#endif
#ifdef MUTANT_retryoutput
#define MAYSEND(q) (state[q] == OPEN && current[q] == 0 && sent[q] < ATTEMPTS)
#else
#define MAYSEND(q) (state[q] == OPEN && current[q] == 0 && sent[q] < ATTEMPTS \
	&& chunks[q] == 0 && !(TICKETED(q) && unsure[q]))
#endif

/* The caller and its entry: one request, from arrival to verdict. */
proctype Request(byte q) {
	atomic {
		/* A caller sends again while the first request is open or after it. */
		(q == 0 || state[0] != IDLE) -> state[q] = OPEN;
		if :: at[q] = 0 :: at[q] = 1 fi;
		if :: q > 0 -> body[q] = 1 :: body[q] = 0 fi
	}
	do
	:: atomic { MAYSEND(q) && !EXCLUDED(q, 0) -> send(q, 0) }
	:: atomic { MAYSEND(q) && !EXCLUDED(q, 1) && !TICKETED(q) -> send(q, 1) }
	:: atomic { state[q] == OPEN && current[q] != 0 && refusal[STREAM(q)] != 0 ->
		if
		:: refusal[STREAM(q)] == NOTRUN && TICKETED(q) -> tell(q, NOTRUN)
		:: refusal[STREAM(q)] == NOTRUN && !TICKETED(q) -> current[q] = 0
		:: refusal[STREAM(q)] == STALE -> current[q] = 0
		:: refusal[STREAM(q)] == UNKNOWN -> drop(q)
		fi }
	/* Silence on the link, or a lost connection. */
#ifndef MUTANT_nosilence
	:: atomic { state[q] == OPEN && current[q] != 0 ->
		drop(q);
#ifdef MUTANT_noend
		if :: chunks[q] > 0 -> tell(q, ANSWER) :: else fi
#endif
		}
#endif
	/* The verdict of the entry itself. */
	:: atomic { state[q] == OPEN && current[q] == 0 ->
		if
#ifdef MUTANT_lostnotrun
		:: !TICKETED(q) -> tell(q, NOTRUN)
#else
		:: !TICKETED(q) && !unsure[q] -> tell(q, NOTRUN)
		:: !TICKETED(q) && unsure[q] -> tell(q, UNKNOWN)
#endif
#ifdef MUTANT_entryalone
		:: TICKETED(q) && sent[q] == 0 -> tell(q, NOTRUN)
#endif
#ifdef MUTANT_stalenotrun
		:: TICKETED(q) && sent[q] > 0 && !unsure[q] -> tell(q, NOTRUN)
#endif
		:: TICKETED(q) -> tell(q, UNKNOWN)
		fi }
#ifdef MUTANT_shedopen
	/* The entry sheds a request whose attempt no agent has confirmed. */
	:: atomic { state[q] == OPEN && current[q] != 0 && !TICKETED(q) && !unsure[q] && chunks[q] == 0 ->
		reset[STREAM(q)] = true; tell(q, NOTRUN) }
#endif
	/* The caller goes away. */
	:: atomic { CALLERLEAVES && state[q] == OPEN && q == 0 -> drop(q); tell(q, BROKEN) }
	:: atomic { told[q] != 0 -> break }
	od
}

inline refuse(a, what) {
	if :: what == NOTRUN && !TICKETED(Q(a)) -> CHECK(c, !ran[a]) :: else fi;
	refusal[a] = what; step[a] = ENDED
}

inline settle(what) { /* the outcome of a ticket reaches every attempt that waits for it */
	for (i : 0 .. STREAMS - 1) {
		if
		:: step[i] == JOINED && what == ANSWER -> reply[i] = 2; content[i] = digest; step[i] = ENDED
		:: step[i] == JOINED && what != ANSWER -> refuse(i, what)
		:: else
		fi
	}
	i = 0
}

#ifdef MUTANT_replay
#define FRESH(a) (step[a] == NEW || step[a] == ENDED)
#else
#define FRESH(a) (step[a] == NEW)
#endif
#ifdef MUTANT_incarnation
#define VALID (true)
#else
#define VALID (incarnation[ISSUER] == 0)
#endif
#ifdef MUTANT_leaveignored
#define LEAVING(a) false
#else
#define LEAVING(a) leaving[agent[a]]
#endif
#ifdef MUTANT_leavequeue
#define MAYDISPATCH(a) true
#else
#define MAYDISPATCH(a) (!leaving[agent[a]])
#endif

/* A ticket is burned before `not run` is said for it. */
#ifdef MUTANT_noburn
#define SPENT UNUSED
#else
#define SPENT BURNED
#endif

inline admit(a) {
	CHECK(f, !knows[agent[a]]);
	if
	:: TICKETED(Q(a)) -> ledger = QUEUED; digest = body[Q(a)]; step[a] = JOINED
	:: else -> step[a] = WAITING
	fi
}

inline relay(a, q) { read[a] = true; chunks[q]++; CHECK(d, chunks[q] == 1 && content[a] == body[q]) }
inline finish(a, q) { CHECK(d, chunks[q] == 1 && content[a] == body[q]); whole[q] = true; tell(q, ANSWER) }

/* One attempt at its agent, and the relay of its answer at the entry. */
proctype Attempt(byte a) {
	byte i;
end:	do
	:: atomic { REACHES(a) && FRESH(a) -> /* `open` arrives */
		if
		:: refuse(a, STALE) /* before the ledger, burns nothing */
		:: !TICKETED(Q(a)) -> refuse(a, NOTRUN) /* full, floor, deadline, leaving, poisoned */
		:: !TICKETED(Q(a)) && !LEAVING(a) -> admit(a)
		:: TICKETED(Q(a)) && !VALID -> refuse(a, UNKNOWN)
#ifdef MUTANT_expirednotrun
		:: TICKETED(Q(a)) && VALID && expired -> refuse(a, NOTRUN)
#else
		:: TICKETED(Q(a)) && VALID && expired -> refuse(a, UNKNOWN)
#endif
#ifdef MUTANT_checkfirst
		:: TICKETED(Q(a)) && VALID && !expired -> refuse(a, NOTRUN)
#endif
		:: TICKETED(Q(a)) && VALID && !expired && ledger == UNUSED -> ledger = SPENT; digest = body[Q(a)]; refuse(a, NOTRUN)
		:: TICKETED(Q(a)) && VALID && !expired && ledger == UNUSED && !LEAVING(a) -> admit(a)
		:: TICKETED(Q(a)) && VALID && !expired && ledger != UNUSED ->
			if
#ifndef MUTANT_mismatch
			:: digest != body[Q(a)] -> refuse(a, NOTRUN)
			:: digest == body[Q(a)] ->
#else
			:: true ->
#endif
				if
				:: ledger == QUEUED || ledger == INSIDE -> step[a] = JOINED
				:: ledger == KEPT -> reply[a] = 2; content[a] = digest; step[a] = ENDED
				:: ledger == GONE -> refuse(a, UNKNOWN)
				:: ledger == BURNED -> refuse(a, NOTRUN)
				fi
			fi
		fi }
	/* The queue: dispatch, or removal before dispatch. */
	:: atomic { step[a] == WAITING && MAYDISPATCH(a) ->
		CHECK(f, !knows[agent[a]]);
		CHECK(c, refusal[a] != NOTRUN && told[Q(a)] != NOTRUN);
		dispatched[Q(a) * 2 + agent[a]]++; ran[a] = true;
		CHECK(a, dispatched[Q(a) * 2 + agent[a]] == 1);
		step[a] = RUNNING }
	:: atomic { step[a] == WAITING -> refuse(a, NOTRUN) }
	/* The endpoint answers or crashes. */
	:: atomic { step[a] == RUNNING -> reply[a] = 1; content[a] = body[Q(a)]; step[a] = PARTIAL }
	:: atomic { step[a] == PARTIAL -> reply[a] = 2; step[a] = ENDED }
	:: atomic { step[a] == RUNNING || step[a] == PARTIAL -> refuse(a, UNKNOWN) }
	/* The reset of the stream arrives; a joined attempt leaves its ticket as it is. */
	:: atomic { reset[a] && (step[a] == WAITING || step[a] == RUNNING || step[a] == PARTIAL) -> step[a] = ENDED }
	/* The entry receives `chunk` and `end`. */
	:: atomic { reply[a] > 0 && OWN(a, 0) && !read[a] -> relay(a, 0) }
	:: atomic { reply[a] == 2 && OWN(a, 0) && read[a] -> finish(a, 0) }
#if REQUESTS > 1
	:: atomic { reply[a] > 0 && OWN(a, 1) && !read[a] -> relay(a, 1) }
	:: atomic { reply[a] == 2 && OWN(a, 1) && read[a] -> finish(a, 1) }
#endif
	od
}

/* The ticket at the incarnation that issued it. */
proctype Ledger() {
	byte i;
end:	do
#ifdef MUTANT_leaveticket
	:: atomic { ledger == QUEUED ->
#else
	:: atomic { ledger == QUEUED && !graceover ->
#endif
		CHECK(f, !graceover);
		ticketruns++; CHECK(b, ticketruns == 1);
		CHECK(c, !ticketnot[digest]);
		ticketran[digest] = true; ledger = INSIDE }
	:: atomic { ledger == QUEUED -> ledger = SPENT; settle(NOTRUN) }
	:: atomic { ledger == QUEUED && knows[ISSUER] && !graceover -> graceover = true }
	:: atomic { ledger == INSIDE -> ledger = KEPT; settle(ANSWER) }
	:: atomic { ledger == INSIDE -> ledger = GONE; settle(UNKNOWN) } /* crash */
#ifdef MUTANT_forget
	:: atomic { ledger == KEPT -> ledger = UNUSED }
#else
	:: atomic { ledger == KEPT -> ledger = GONE } /* the answer is no longer kept */
#endif
	:: atomic { !expired && incarnation[ISSUER] == 0 -> expired = true }
	/* After expiry the serial itself may be forgotten. */
	:: atomic { expired && (ledger == GONE || ledger == BURNED) -> ledger = UNUSED }
	od
}

/* An agent process: death and replacement beside a living endpoint, and leave. */
proctype Agent(byte g) {
	byte i;
end:	do
	:: atomic { agentdeaths < AGENTDEATHS ->
		agentdeaths++; incarnation[g]++; leaving[g] = false; knows[g] = false;
		for (i : 0 .. STREAMS - 1) {
			if :: agent[i] == g && step[i] != NEW -> step[i] = ENDED :: else fi
		}
#ifdef MUTANT_byincarnation
		for (i : 0 .. REQUESTS - 1) { tried[i] = tried[i] & ~(1 << g) }
#endif
		i = 0;
		if :: g == ISSUER -> ledger = UNUSED; digest = 0; expired = false :: else fi }
	:: atomic { leaves < LEAVES && !leaving[g] -> leaves++; leaving[g] = true; knows[g] = true }
#ifdef MUTANT_leaveforgotten
	:: atomic { leaving[g] -> leaving[g] = false } /* an older VM list says live */
#endif
	od
}

/* An entry process: its callers' connections break, and its links close. */
proctype Entry(byte e) {
	byte i;
end:	do
	:: atomic { entrydeaths < ENTRYDEATHS ->
		entrydeaths++;
		for (i : 0 .. REQUESTS - 1) {
			if
			:: state[i] == OPEN && at[i] == e -> drop(i); tell(i, BROKEN)
			:: else
			fi
		}
		i = 0 }
	od
}

init {
	byte i;
	atomic {
		for (i : 0 .. STREAMS - 1) { agent[i] = 9; run Attempt(i) }
		run Ledger();
		run Agent(0); run Agent(1);
		run Entry(0); run Entry(1);
		for (i : 0 .. REQUESTS - 1) { run Request(i) }
		i = 0
	}
}
