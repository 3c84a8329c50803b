/*
 * whole: whether the answer of an endpoint is whole.
 *
 * A length or a last chunk proves that an answer is whole. An answer with neither
 * ends with its connection, and so does one that was cut off. It counts as whole
 * only if nothing made the run stop and the process that made it still runs.
 * An endpoint may refuse a request that it has not read to its end; a success without
 * framing that ends before that does not count as whole.
 * If a stop is only suspected, an answer counts as cut off where it can be resumed:
 * one needless resumption costs less than an end that the caller never gets.
 *
 * Pure functions.
 */
#ifndef WHOLE_H
#define WHOLE_H

#include <stdbool.h>
#include <stdint.h>

/* The process at the endpoint's address, after the end of the answer. */
enum whole_process {
	WHOLE_PROCESS_UNKNOWN, /* not checked yet */
	WHOLE_PROCESS_SAME,    /* it runs, and is the one that answered */
	WHOLE_PROCESS_OTHER,   /* it has exited, or is another one */
};

struct whole_facts {
	bool framed;	    /* by a length or chunks, and complete by these */
	bool partial_event; /* of a stream: its last event is incomplete */
	/* A success, though the endpoint has not received all of the request. */
	bool early_success;
	bool stopped; /* this entry had the run stopped, or may have had it */
	bool stopped_early; /* the endpoint may have stopped it at a copy */
	bool resumable;	    /* the rest can be had from another endpoint */
	enum whole_process process;
};

enum whole_verdict {
	WHOLE_COMPLETE,
	WHOLE_CUT_OFF,
	WHOLE_UNVERIFIED, /* whole_facts.process has to be found out */
};

enum whole_verdict whole_judge(const struct whole_facts *f);

/* After a stall of this process its sockets are read at once: within this time, ms. */
#define WHOLE_STALL_KEPT_MS 300

/* Times of an answer of the store; monotonic, in ms. */
struct whole_reading {
	int64_t asked_ms;
	int64_t read_ms;
	int64_t stall_began_ms, stall_ended_ms; /* of the last stall; 0: none */
};

/*
 * The time as of which an answer has the state of the store, at least. What is read
 * after a stall may have been in the socket all the while.
 */
int64_t whole_as_of(const struct whole_reading *t);

/*
 * True if the store's registrations as of `as_of_ms` have the process that accepted
 * a connection at `connected_ms`. `store_back_ms`: end of the store's last outage,
 * in which a process may have started that could not register; 0: none. Times are
 * monotonic, in ms.
 */
bool whole_is_registered(int64_t connected_ms, int64_t store_back_ms,
			 int64_t as_of_ms);

/*
 * True if a proof has been awaited for the maximum time, since `since_ms`: the request is
 * sent again instead. `stalled_ms`: end of the last time in which this process did not run,
 * which is no wait; 0: none. Monotonic, ms.
 */
bool whole_has_waited(int64_t since_ms, int64_t stalled_ms, int64_t now_ms);

#endif
