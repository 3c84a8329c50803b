/*
 * ioc: a TCP connection on the event loop, without blocking.
 *
 * Bytes that cannot be written at once wait in a buffer of the connection.
 * The owner learns of bytes and of the end through a vtable; it may close the
 * connection from within any of these calls.
 */
#ifndef IOC_H
#define IOC_H

#include <ev.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/buf.h"
#include "base/err.h"

struct ioc;

enum ioc_end {
	IOC_END_CLOSED,	     /* the peer closed in order */
	IOC_END_RESET,	     /* reset, or a time-out of the network */
	IOC_END_REFUSED,     /* nobody listens there: never established */
	IOC_END_UNREACHABLE, /* never established for another reason */
};

struct ioc_vtable {
	void (*connected)(struct ioc *c);
	void (*data)(struct ioc *c, const char *data, size_t len);
	void (*drained)(struct ioc *c); /* all that was queued is written */
	void (*ended)(struct ioc *c, enum ioc_end how);
};

struct ioc {
	const struct ioc_vtable *vt;
	void *owner;
	struct ev_loop *loop;
	ev_io reader;
	ev_io writer;
	int fd;
	bool connecting;
	bool closed;
	bool in_callback; /* inside a callback: freed when that returns */
	bool paused;
	uint64_t sent; /* bytes that the kernel has taken */
	struct buf out;
	size_t out_written;
};

/* The limits of the kernel's patience with a silent peer. */
struct ioc_timeouts {
	int user_timeout_ms; /* unacknowledged bytes; 0: the default */
	int keepalive_s;     /* idle time before a probe; 0: none */
};

/* Parses "IP:PORT". Returns 0, or -1 with ERR_INVALID. */
int ioc_address(const char *text, struct sockaddr_in *out, struct err *e);

/*
 * Starts to connect; `connected` or `ended` follows, never from within this
 * call. Returns NULL with ERR_REFUSED if no socket is to be had.
 */
struct ioc *ioc_connect(struct ev_loop *loop, const struct sockaddr_in *to,
			const struct ioc_timeouts *p,
			const struct ioc_vtable *vt, void *owner,
			struct err *e);

/* Takes over an accepted, non-blocking socket. */
struct ioc *ioc_adopt(struct ev_loop *loop, int fd,
		      const struct ioc_timeouts *p, const struct ioc_vtable *vt,
		      void *owner);

/* Queues bytes; they are copied. No effect on a closed connection. */
void ioc_write(struct ioc *c, const void *data, size_t len);

/* Bytes that wait to be written. */
size_t ioc_pending(const struct ioc *c);

/* Stops or restarts reading; the peer's window then fills. */
void ioc_pause(struct ioc *c, bool paused);

/* Closes and frees; no callback follows. Bytes that wait are dropped. */
void ioc_close(struct ioc *c);

/* As ioc_close, but the peer sees a reset: used to stop its work at once. */
void ioc_abort(struct ioc *c);

/* A listening, non-blocking socket, or -1 with an error. */
int ioc_listen(const struct sockaddr_in *at, struct err *e);

#endif
