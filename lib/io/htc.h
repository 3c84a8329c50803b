/*
 * htc: HTTP/1.1 calls over kept connections.
 *
 * One `htc_peer` stands for one address and holds its idle connections. A
 * call takes an idle connection or opens a new one, sends its bytes and gives
 * the answer back piece by piece. A connection is used again only after an
 * answer that was whole, in order and without a byte too many.
 */
#ifndef HTC_H
#define HTC_H

#include <ev.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <urcu/list.h>

#include "base/clk.h"
#include "io/hmsg.h"
#include "io/ioc.h"

struct htc_call;

/* What a probe found. */
enum htc_probe_result {
	HTC_PROBE_CONNECTED, /* the peer took the connection */
	HTC_PROBE_REFUSED,   /* its machine answered that nobody listens */
	HTC_PROBE_UNKNOWN,   /* no answer: nothing is known */
};

typedef void (*htc_probe_cb)(void *arg, enum htc_probe_result found);

enum htc_failure {
	HTC_NOT_SENT,	     /* no connection: nothing reached the peer */
	HTC_CONNECTION_LOST, /* reset or closed before the answer was whole */
	HTC_MALFORMED,	     /* the bytes are no HTTP answer */
	HTC_TIMEOUT,	     /* the time of the call is over */
};

struct htc_vtable {
	/*
	 * The head of an answer. Return false to pass over this answer and
	 * wait for the next one: it belongs to an earlier call.
	 */
	bool (*head)(struct htc_call *call, const struct hmsg *m);
	void (*body)(struct htc_call *call, const char *data, size_t len);
	/* The answer is whole; the call is freed on return. */
	void (*end)(struct htc_call *call);
	/* No whole answer comes; the call is freed on return. */
	void (*failed)(struct htc_call *call, enum htc_failure why);
};

struct htc_limits {
	int connect_ms;	     /* to establish a connection */
	int user_timeout_ms; /* bytes that the peer's machine does not ack */
	int keepalive_s;     /* before probing a silent connection */
	int idle_ms;	     /* an idle connection is used for so long */
};

struct htc_peer {
	struct ev_loop *loop;
	const struct clk *clk;
	struct sockaddr_in addr;
	struct htc_limits limits;
	struct cds_list_head idle; /* of htc_conn, newest first */
	unsigned nr_idle;
	unsigned nr_open;	   /* with the busy ones */
	unsigned long opened;	   /* connections since the start */
	unsigned long reused;	   /* calls on kept connections */
	unsigned long idle_closed; /* idle connections that the peer ended */
};

void htc_peer_init(struct htc_peer *p, struct ev_loop *loop,
		   const struct clk *clk, const struct sockaddr_in *addr,
		   const struct htc_limits *limits);

/* Closes idle connections. No call may be under way. */
void htc_peer_close(struct htc_peer *p);

/*
 * Opens a connection to see whether the peer is there; it is kept for a later
 * call. `done` follows once, never from within. The peer must not be closed
 * meanwhile. False: no socket to be had, and `done` does not follow.
 */
bool htc_probe(struct htc_peer *p, htc_probe_cb done, void *arg);

/*
 * Starts a call. `wire` is the whole request, taken over (left empty).
 * `fresh_ms`: use kept connections only if idle for less (0: the default).
 * `no_body`: the answer has none, whatever it says (HEAD). `total_ms`: bound
 * on the whole call (0: none). No callback comes from within. NULL: no
 * socket to be had, nothing sent.
 */
struct htc_call *htc_start(struct htc_peer *p, struct buf *wire, int fresh_ms,
			   bool no_body, int total_ms,
			   const struct htc_vtable *vt, void *owner);

/*
 * Gives up: the connection is closed, which tells the peer to stop work. No
 * callback follows.
 */
void htc_cancel(struct htc_call *c);

/*
 * The call is bounded anew: it may last `ms` from now. For calls whose bound
 * is on the peer's silence, not on how long a large answer takes.
 */
void htc_extend(struct htc_call *c, int ms);

void *htc_owner(const struct htc_call *c);

/* True once a byte of the request may have reached the peer. */
bool htc_sent(const struct htc_call *c);

#endif
