/*
 * hsc: the server's side of HTTP/1.1 connections: one request at a time,
 * read whole, then answered by the owner.
 *
 * Bytes that come while a request is being answered wait; the end of the
 * connection is noticed at once, so that work for a caller who left can be
 * stopped.
 */
#ifndef HSC_H
#define HSC_H

#include <ev.h>
#include <stdbool.h>
#include <stdint.h>
#include <urcu/list.h>

#include "io/hmsg.h"
#include "io/ioc.h"

struct hsc_limits {
	size_t header_bytes;
	size_t body_bytes;
	int header_ms; /* to send a head, from its first byte */
	int body_ms;   /* to send a body, from the end of the head */
	int idle_ms;   /* between requests */
};

enum hsc_read_error {
	HSC_MALFORMED, /* not HTTP, or framing with two meanings */
	HSC_HEAD_TOO_LARGE,
	HSC_BODY_TOO_LARGE,
	HSC_TIMEOUT, /* the head or body took too long */
};

struct hsc;
struct hsc_server;

struct hsc_vtable {
	/* A whole request: c->parse.msg and c->body. Answer it by hsc_write
	 * and hsc_done, now or later. */
	void (*request)(struct hsc *c);
	/* The caller left while its request was being answered. The
	 * connection is freed on return. */
	void (*disconnected)(struct hsc *c);
	/* Writes the answer to a request that cannot be read. */
	void (*read_error)(struct hsc *c, enum hsc_read_error f,
			   struct buf *out);
	/* The limits in force now. */
	void (*limits)(struct hsc_server *s, struct hsc_limits *out);
};

enum hsc_state {
	HSC_IDLE,
	HSC_READING,
	HSC_RESPONDING,
	HSC_LINGERING, /* answered; waits for the peer to close */
};

struct hsc_server {
	const struct hsc_vtable *vt;
	void *owner;
	struct ev_loop *loop;
	ev_io acceptor;
	int fd;
	struct cds_list_head conns;
	unsigned nr_conns;
	unsigned nr_responding;
	unsigned max_conns; /* 0: no bound */
	bool draining;	    /* connections close after their answer */
};

struct hsc {
	struct cds_list_head node; /* in hsc_server.conns */
	struct hsc_server *server;
	struct ioc *io;
	struct hparse parse;
	struct hsc_limits limits;
	enum hsc_state state;
	struct buf body;
	struct buf pipelined; /* bytes after the present request */
	ev_timer timer;
	ev_timer resume; /* reads what is waiting, in the loop's next turn */
	bool close_after;
	bool body_too_large;
	bool in_feed;
	bool free_pending;
	void *request; /* the owner's, while answering */
};

/* Listens; -1 with an error. */
int hsc_server_open(struct hsc_server *s, struct ev_loop *loop,
		    const struct sockaddr_in *at, const struct hsc_vtable *vt,
		    void *owner, struct err *e);

/* Writes the address that it listens on as IP:PORT. */
void hsc_server_address(const struct hsc_server *s, char *out, size_t size);

/* Stops to listen and closes what is left. */
void hsc_server_close(struct hsc_server *s);

/* Callers are asked to leave: connections close after their next answer. */
void hsc_server_drain(struct hsc_server *s);

/*
 * Takes no further connections, and closes those on which nothing was read
 * since their last answer: a request that crosses that close was not read.
 */
void hsc_server_close_idle(struct hsc_server *s);

void hsc_write(struct hsc *c, const void *data, size_t len);

/* The answer is written. `close`: the connection ends in order after it. */
void hsc_done(struct hsc *c, bool close);

/* Breaks the answer off: the connection ends without its end. */
void hsc_disconnect(struct hsc *c);

/* True if the answer must say that the connection closes. */
bool hsc_must_close(const struct hsc *c);

#endif
