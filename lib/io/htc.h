/*
 * htc: HTTP client. HTTP/1.1 calls over persistent connections.
 *
 * An `htc_peer` is a pool of the idle connections to one address. A call takes
 * an idle connection or opens a new one, sends its request and passes the
 * response to its owner piece by piece. A connection is reused only after a
 * response that was complete, well-formed and not followed by excess bytes.
 *
 * Connections may be tunnelled: a relay connects to the peer and passes bytes on
 * both ways (HTC_TUNNEL_PATH). A call is sent once the tunnel is established.
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

/*
 * Path of the request for a tunnel, with the peer's address in the query. The
 * relay answers 200, after which the connection is the tunnel; 502 if the peer
 * refuses the connection, 504 if it does not answer; anything else if the relay
 * opens none.
 */
#define HTC_TUNNEL_PATH "/tunnel"

/* Result of htc_probe. */
enum htc_probe_result {
	HTC_PROBE_CONNECTED, /* the connection was established */
	HTC_PROBE_REFUSED,   /* the machine is up, but no process listens */
	HTC_PROBE_UNKNOWN,   /* time-out or other error: state unknown */
};

typedef void (*htc_probe_cb)(void *arg, enum htc_probe_result found);

enum htc_failure {
	HTC_NOT_SENT,	     /* no byte was sent: safe to repeat */
	HTC_CONNECTION_LOST, /* lost before the response was complete */
	HTC_MALFORMED,	     /* the response is not HTTP */
	HTC_TOO_LARGE,	     /* its head or body exceeds a limit */
	HTC_TIMEOUT,	     /* total_ms, or the bound of htc_extend, elapsed */
};

/* What happened when no connection was established. */
enum htc_unreached {
	HTC_UNREACHED_REFUSED,	 /* the machine is up, but no process listens */
	HTC_UNREACHED_TIMED_OUT, /* no answer within connect_ms */
	HTC_UNREACHED_OTHER,
	/* The relay was not reached, or refused: the peer may be well. */
	HTC_UNREACHED_RELAY,
};

/* The owner may cancel the call from within `head` and `body`. */
struct htc_vtable {
	/*
	 * The head of a response. Return false to skip this response and wait
	 * for the next one, if it belongs to an earlier call.
	 */
	bool (*head)(struct htc_call *call, const struct hmsg *m);
	/* The next piece of the body; `data` is valid during the call only. */
	void (*body)(struct htc_call *call, const char *data, size_t len);
	/* The response is complete; the call is freed on return. */
	void (*end)(struct htc_call *call);
	/* The call failed, possibly after head and body; freed on return. */
	void (*failed)(struct htc_call *call, enum htc_failure why);
};

/* As max_body_bytes: of responses that have a few fields, or that are not read. */
#define HTC_SMALL_BODY_BYTES ((size_t)65536)

struct htc_limits {
	int connect_ms;	    /* to establish a connection */
	int ack_timeout_ms; /* see ioc_timeouts */
	int keepalive_s;    /* idle time before TCP keep-alive probes */
	int idle_ms;	    /* maximum idle time before reuse */
	/*
	 * Of a response, and of what is skipped before it; a larger one fails
	 * with HTC_TOO_LARGE. 0: no limit.
	 */
	size_t max_body_bytes;
	int window_bytes; /* see ioc_set_window(); 0: as the system has it */
};

struct htc_peer {
	struct ev_loop *loop;
	const struct clk *clk;
	struct sockaddr_in addr;
	struct htc_limits limits;
	struct cds_list_head idle; /* of htc_conn, most recently used first */
	unsigned nr_idle;
	unsigned nr_open;	   /* idle and in use */
	unsigned closes;	   /* calls of htc_peer_close */
	unsigned long opened;	   /* connections since htc_peer_init */
	unsigned long reused;	   /* calls on idle connections */
	unsigned long idle_closed; /* by the peer, or for unexpected bytes */
	char tunnel_to[32]; /* `addr` is a relay's, the peer's is this; "" */
	/* An idle connection was reset or timed out; NULL: not called. */
	void (*idle_lost)(void *arg);
	void *idle_lost_arg;
};

/* `clk` and `loop` must outlive the peer; `addr` and `limits` are copied. */
void htc_peer_init(struct htc_peer *p, struct ev_loop *loop,
		   const struct clk *clk, const struct sockaddr_in *addr,
		   const struct htc_limits *limits);

/*
 * Closes the idle connections. Those in use go on, and are closed at the end of their
 * call; they must have ended before the peer is freed.
 */
void htc_peer_close(struct htc_peer *p);

/*
 * New connections are tunnelled through the relay at `relay` to the peer at
 * `to` (IP:PORT, copied). Idle connections are closed.
 */
void htc_peer_tunnel(struct htc_peer *p, const struct sockaddr_in *relay,
		     const char *to);

/*
 * Opens a connection to test whether the peer accepts it; if so, it becomes an
 * idle connection. `done` is called once, never from within this call. The peer
 * must not be closed before that. Returns false, and does not call `done`, if
 * no socket can be opened.
 */
bool htc_probe(struct htc_peer *p, htc_probe_cb done, void *arg);

/*
 * Starts a call. No callback is called from within.
 * `wire`: the whole request as sent; ownership passes and it is left empty.
 * `max_idle_ms`: reuse only a connection that was idle for less (0: the limit
 * of the peer).
 * `no_body`: the response has no body whatever its headers say (HEAD).
 * `total_ms`: time-out of the whole call (0: none).
 * Returns NULL if no socket can be opened; nothing was sent then.
 */
struct htc_call *htc_start(struct htc_peer *p, struct buf *wire,
			   int max_idle_ms, bool no_body, int total_ms,
			   const struct htc_vtable *vt, void *owner);

/* The same; `body` follows on `wire` without a copy: takes a reference. NULL: none. */
struct htc_call *htc_start_with(struct htc_peer *p, struct buf *wire,
				struct shb *body, int max_idle_ms, bool no_body,
				int total_ms, const struct htc_vtable *vt,
				void *owner);

/*
 * Cancels and frees the call. Its connection is reset, so that the peer can
 * stop its work. No callback follows.
 */
void htc_cancel(struct htc_call *c);

/*
 * Replaces the time-out of the call: `ms` from now. For calls that should time
 * out when the peer is silent, not when a large response takes long. While the
 * connection is being established, it replaces connect_ms too.
 */
void htc_extend(struct htc_call *c, int ms);

/* Replaces limits.max_body_bytes for this call; 0: no limit. */
void htc_set_max_body(struct htc_call *c, size_t bytes);

/*
 * Stops or resumes reading the response, so that the peer stops sending. To be
 * used while the body arrives.
 */
void htc_pause(struct htc_call *c, bool paused);

/* The time-out of acknowledgements during this call, instead of the peer's ack_timeout_ms. */
void htc_set_ack_timeout(struct htc_call *c, int ms);

/* Why the call was not sent; valid in `failed` with HTC_NOT_SENT. */
enum htc_unreached htc_unreached(const struct htc_call *c);

/*
 * True if the response has neither a length nor chunks, and ended with its
 * connection: it may have been cut short. Valid in `end`.
 */
bool htc_ended_by_close(const struct htc_call *c);

/*
 * Number of bytes of the request that the peer, or a relay, had not acknowledged when the
 * connection ended; 0 if it did not. Valid in `end` and `failed`.
 */
size_t htc_unacked(const struct htc_call *c);

/* How the connection ended, for logs; "" if it did not. Valid in `end` and `failed`. */
const char *htc_end_name(const struct htc_call *c);

/* Number of bytes of the response that were received and not read. */
size_t htc_unread(const struct htc_call *c);

/* The `owner` given to htc_start. */
void *htc_owner(const struct htc_call *c);

/* True once a byte of the request was sent: the peer may have received it. */
bool htc_sent(const struct htc_call *c);

#endif
