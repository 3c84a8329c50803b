/*
 * ioc: I/O connection. A non-blocking TCP connection on the event loop.
 *
 * Bytes that the socket does not accept at once are queued in the connection.
 * The owner gets events through a vtable and may close the connection from
 * within any of its callbacks.
 */
#ifndef IOC_H
#define IOC_H

#include <ev.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <urcu/list.h>

#include "base/buf.h"
#include "base/shb.h"
#include "base/err.h"
#include "io/ack.h"

struct ioc;

enum ioc_end {
	IOC_END_CLOSED,	     /* the peer closed it (FIN) */
	IOC_END_RESET,	     /* by the peer, or the kernel gave up */
	IOC_END_SILENT,	     /* ack_timeout_ms without an acknowledgement */
	IOC_END_REFUSED,     /* never established: no process listens there */
	IOC_END_UNREACHABLE, /* never established for another reason */
};

struct ioc_vtable {
	/* A connection from ioc_connect is established. May be NULL. */
	void (*connected)(struct ioc *c);
	/* Bytes were received; `data` is valid during the call only. */
	void (*data)(struct ioc *c, const char *data, size_t len);
	/* All queued bytes are written to the socket. May be NULL. */
	void (*drained)(struct ioc *c);
	/* The connection ended. It is closed and freed on return. */
	void (*ended)(struct ioc *c, enum ioc_end how);
};

struct ioc {
	const struct ioc_vtable *vt;
	void *owner;
	struct ev_loop *loop;
	ev_io reader;
	ev_io writer;
	ev_timer
		ack_timer; /* of the next check, while bytes are unacknowledged */
	struct ack_watch ack;
	int ack_timeout_ms; /* 0: none */
	int keepalive_s;
	int fd;
	bool connecting;
	bool closed;	  /* by ioc_close */
	bool in_callback; /* ioc_close frees when the callback returns */
	bool paused;	  /* not reading */
	/*
	 * The kernel reports the error of a reset once: if a write receives it,
	 * reads return 0 as after an orderly close.
	 */
	bool write_failed;
	uint64_t sent;		    /* bytes that the kernel has accepted */
	struct cds_list_head queue; /* of ioc_piece: bytes to write */
	struct ioc_piece
		*tail; /* the last one, if bytes may be appended to it */
	size_t queued; /* bytes of the pieces, without the written ones */
};

/* When a connection ends whose peer is silent. */
struct ioc_timeouts {
	/*
	 * For which the peer's machine answers nothing, neither bytes sent nor
	 * probes; 0: the system's default. A peer that answers but does not
	 * read is not silent: the owner limits what it queues, and how long.
	 */
	int ack_timeout_ms;
	int keepalive_s; /* idle time before keep-alive probes; 0: none */
};

/* Parses "IP:PORT" (IPv4). Returns 0, or -1 with ERR_INVALID. */
int ioc_address(const char *text, struct sockaddr_in *out, struct err *e);

/*
 * The same for an address to connect to, which another program has written: in
 * the usual form, with a port, and of a single machine other than 0.0.0.0/8.
 */
int ioc_remote_address(const char *text, struct sockaddr_in *out,
		       struct err *e);

/*
 * Starts to connect. `connected` or `ended` is called later, never from within
 * this call. `t` may be NULL. Returns NULL with ERR_REFUSED if no socket can be
 * opened or connect fails at once.
 */
struct ioc *ioc_connect(struct ev_loop *loop, const struct sockaddr_in *to,
			const struct ioc_timeouts *t,
			const struct ioc_vtable *vt, void *owner,
			struct err *e);

/*
 * Creates a connection from an accepted, non-blocking socket, which it then
 * owns. `t` may be NULL.
 */
struct ioc *ioc_adopt(struct ev_loop *loop, int fd,
		      const struct ioc_timeouts *t, const struct ioc_vtable *vt,
		      void *owner);

/*
 * Sends or queues bytes; `data` is copied. No effect on a closed connection. An
 * error is reported later, by `ended`, when the connection is read.
 */
void ioc_write(struct ioc *c, const void *data, size_t len);

/* The same without a copy: takes a reference until the last byte is sent. */
void ioc_write_shared(struct ioc *c, struct shb *bytes);

/*
 * Bounds the bytes that the kernel receives for the connection and the owner has not
 * read. The kernel takes up to twice as much memory.
 */
void ioc_set_window(struct ioc *c, int bytes);

/* Replaces the ack_timeout_ms of the connection. */
void ioc_set_ack_timeout(struct ioc *c, int ms);

/* Name of the end for logs. */
const char *ioc_end_name(enum ioc_end how);

/* Number of queued bytes. */
size_t ioc_pending(const struct ioc *c);

/* Number of bytes that the peer has not acknowledged, with the queued ones. */
size_t ioc_unacked(const struct ioc *c);

/* True if bytes, or the end of the connection, were received and not read. */
bool ioc_has_input(const struct ioc *c);

/* Number of bytes that were received and not read. */
size_t ioc_unread(const struct ioc *c);

/*
 * Stops or resumes reading. While paused, the receive window fills, which stops
 * the peer from sending. No effect until the connection is established.
 */
void ioc_pause(struct ioc *c, bool paused);

/*
 * Closes and frees the connection. No callback follows; queued bytes are lost.
 */
void ioc_close(struct ioc *c);

/*
 * Like ioc_close, but sends a reset, so that the peer detects it at once and
 * can stop its work.
 */
void ioc_abort(struct ioc *c);

/* Opens a listening, non-blocking socket. Returns -1 with ERR_IO on failure. */
int ioc_listen(const struct sockaddr_in *at, struct err *e);

#endif
