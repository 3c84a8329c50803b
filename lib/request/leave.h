/*
 * leave: which requests an entry still accepts and sends while it shuts down.
 *
 * After SIGTERM the process has a grace period and is then killed. A request
 * whose answer cannot be expected to end before that is better rejected at once
 * as not run, so that its client goes to another entry, than sent and cut off.
 *
 * Pure: no I/O, the clock is passed in. Durations in ms.
 */
#ifndef LEAVE_H
#define LEAVE_H

#include <stdbool.h>
#include <stdint.h>

/* New requests are accepted for this long after the signal. */
#define LEAVE_ACCEPT_MS 3000

/*
 * How long answers of one route take beyond the predicted time to their first
 * event. Starts zeroed.
 */
struct leave_times {
	double ms;	/* mean */
	double tokens;	/* mean output tokens of these answers; 0: not given */
	double error;	/* mean relative error of the expectation */
	double samples; /* up to the number that the means are based on */
};

/*
 * An answer of a request with this number of output tokens (0: not given) took
 * `ms` beyond the predicted time.
 */
void leave_learn(struct leave_times *t, double tokens, double ms);

/*
 * Returns that time of such an answer, with its usual error on top; -1: unknown.
 */
double leave_expect(const struct leave_times *t, double tokens);

/* A request that is about to be sent. */
struct leave_query {
	int64_t since_ms;    /* since the signal */
	int64_t left_ms;     /* until the process ends its requests */
	int64_t deadline_ms; /* until the request's own deadline */
	int64_t stall_ms;    /* longest recent stall of the process */
	double expected_ms;  /* to the end of its answer; below 0: unknown */
	bool overdue; /* the endpoint has not answered another one in its time */
	bool repeatable; /* an answer that is cut off can be had elsewhere */
};

/*
 * True if the request may be sent: its deadline ends before the process does,
 * or its answer is expected to, even if the process stalls once more. Nothing is
 * expected of an endpoint that is overdue, or of a route without known times; a
 * request may be sent in spite of that if it is repeatable, the latter as long as
 * new requests are accepted.
 */
bool leave_may_send(const struct leave_query *q);

#endif
