/*
 * sto: calls to the platform's key-value store, as the product sees them.
 *
 * The store is linearizable, keeps leases, and holds a revision that rises
 * with each change; it is given here as a version (ver.h), since the store may
 * come back from an older copy. A write whose answer is lost may have been done, or may
 * be done seconds later if its condition still holds: that is STO_UNKNOWN,
 * and reading back is the only way to know.
 *
 * The names on the wire are the codec's (a vtable); the way there is chosen
 * here: straight, or through another entry when the store turns this machine
 * away or cannot be reached from it.
 */
#ifndef STO_H
#define STO_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/buf.h"
#include "io/htc.h"
#include "store/ver.h"

#define STO_MAX_ROWS 8

enum sto_kind {
	STO_GET,	 /* one key */
	STO_LIST,	 /* a page of keys with a prefix */
	STO_WATCH,	 /* changes after a revision */
	STO_WRITE,	 /* writes and deletes under conditions */
	STO_LEASE_GRANT, /* a new lease */
	STO_LEASE_RENEW, /* renew it */
	STO_LEASE_END,	 /* end it; its keys go */
};
#define STO_KINDS (STO_LEASE_END + 1)

/* A row of a write. Strings belong to the caller until the call is sent. */
struct sto_row {
	const char *key;
	const char *value; /* NULL: delete it */
	size_t len;
	int64_t lease; /* 0: none */
};

struct sto_condition {
	const char *key;
	int64_t revision; /* its version; 0: the key must not exist */
};

struct sto_call {
	enum sto_kind kind;
	const char *key;   /* GET; LIST, WATCH: the prefix */
	const char *after; /* LIST: begin after this key */
	int64_t revision;  /* WATCH: changes after this version */
	int wait_ms;	   /* WATCH */
	int64_t lease;	   /* KEEP, END */
	int ttl_ms;	   /* LEASE */
	struct sto_condition conditions[STO_MAX_ROWS];
	unsigned nr_conditions;
	struct sto_row rows[STO_MAX_ROWS];
	unsigned nr_rows;
};

enum sto_outcome {
	STO_OK,
	STO_ABSENT,	  /* no such key, or no such lease */
	STO_CONFLICT,	  /* a condition does not hold: nothing was done */
	STO_HISTORY_LOST, /* the watch's revision is too old */
	STO_BUSY,	  /* refused for load or down: nothing was done */
	STO_UNREACHABLE,  /* not sent */
	STO_UNKNOWN,	  /* sent, no answer */
	STO_MALFORMED,	  /* an answer that makes no sense */
};

/* The word for logs. */
const char *sto_outcome_name(enum sto_outcome o);

struct sto_item {
	char *key;
	char *value; /* NULL: the key was deleted */
	size_t len;
	int64_t revision;
};

struct sto_answer {
	enum sto_outcome outcome;
	int64_t asked_ms; /* our clock, before the call was sent */
	int64_t era;	  /* of the store that answered; -1: no answer */
	int64_t revision; /* version of the store, or that of the write */
	int64_t lease;
	int ttl_ms;
	bool more; /* LIST: there are further pages */
	struct sto_item *items;
	size_t nr_items;
	const char *raw; /* WATCH: the body as it came, packed or not */
	size_t raw_len;
};

void sto_answer_free(struct sto_answer *a);

struct sto_codec {
	/* Writes the whole HTTP request. */
	void (*encode)(const struct sto_call *call, const char *host,
		       struct buf *out);
	/* The era that the head of an answer names; 0: it names none. */
	int64_t (*era)(const struct hmsg *m);
	/* Adds it to the head of an answer that is handed on. */
	void (*put_era)(int64_t era, struct buf *out);
	/* Reads status and body into `out`, with its outcome. Revisions are
	 * as the store has them. */
	void (*decode)(enum sto_kind kind, int status, const char *body,
		       size_t len, struct sto_answer *out);
};

typedef void (*sto_done)(void *arg, struct sto_answer *a);

/* For calls whose outcome a watch shows, or nothing depends on. */
void sto_ignore_answer(void *arg, struct sto_answer *a);

struct sto;

/*
 * The store was lost or is back, for the log: the outcome that showed it, and
 * whether the call went straight or through another entry.
 */
typedef void (*sto_on_reachability)(void *arg, bool reachable, const char *why,
				    bool direct, int64_t took_ms);

struct sto *sto_create(struct ev_loop *loop, const struct clk *clk,
		       const struct sto_codec *codec,
		       const struct sockaddr_in *addr, sto_on_reachability told,
		       void *arg);
void sto_free(struct sto *s);

/* Calls; `done` is called once, never from within. The answer is freed
 * after it returns. */
void sto_call(struct sto *s, const struct sto_call *call, sto_done done,
	      void *arg);

/*
 * Asks another entry for what its watch brought after a revision; it answers
 * within `wait_ms`, or counts as lost after `extra_ms` more. Keys that are
 * watched apart are followed on lanes of their own: 0 to STO_LANES - 1. What
 * `after` counts is between the entries: revisions, or versions.
 */
#define STO_LANES 3
void sto_follow(struct sto *s, unsigned lane, const struct sockaddr_in *to,
		int64_t after, int wait_ms, int extra_ms, sto_done done,
		void *arg);

/* The path of that call, and reading what it asks. */
bool sto_parse_follow(const char *url, unsigned *lane, int64_t *after,
		      int *wait_ms);

/* When the direct way last worked; 0: never. */
int64_t sto_direct_success_ms(const struct sto *s);

/*
 * The entry through which to call while the direct way is bad; NULL: none
 * is known. Asked at each call.
 */
typedef const struct sockaddr_in *(*sto_choose_relay)(void *arg);
void sto_set_relay(struct sto *s, sto_choose_relay detour, void *arg);

/* True if the last call succeeded, by whatever way. */
bool sto_reachable(const struct sto *s);

/* True if the direct way worked last. */
bool sto_direct_ok(const struct sto *s);

/*
 * When the store last came back after no call had succeeded, by whatever way,
 * for longer than endpoints' entries need to lapse; 0: never. A store that
 * turns only this machine away is not away: calls through others succeed.
 */
int64_t sto_recovered_ms(const struct sto *s);

/* How a call ended, for the log. */
struct sto_trace {
	enum sto_kind kind;
	enum sto_outcome outcome;
	bool direct;	/* straight to the store, not through another entry */
	bool following; /* asked of the entry whose watch is followed */
	int64_t took_ms;
	int64_t late_ms; /* beyond the time that it was asked to wait */
	size_t bytes;	 /* of the body, as far as it came */
};

typedef void (*sto_on_trace)(void *arg, const struct sto_trace *t);

/*
 * The store came back from an older copy: `to` is its era now. Told before the
 * `done` of the call that showed it. Answers of an earlier era that come later
 * are STO_UNKNOWN, and conditions on a version of one do not hold.
 */
typedef void (*sto_on_restore)(void *arg, int64_t from, int64_t to);
void sto_set_on_restore(struct sto *s, sto_on_restore returned, void *arg);

/* The era as it is known; 0: no answer named one. */
int64_t sto_era(const struct sto *s);

/* Another entry knows of this era. */
void sto_learn_era(struct sto *s, int64_t era);

/* Each call that ends is told, before its `done`. */
void sto_set_trace(struct sto *s, sto_on_trace traced, void *arg);

/* The word for logs. */
const char *sto_kind_name(enum sto_kind k);

/*
 * Hands on a request that another entry could not send itself, as it is.
 * `done` gets status and body; status 0: no answer, and whether it was sent.
 */
typedef void (*sto_relayed)(void *arg, int status, int64_t era,
			    const char *body, size_t len, bool sent);
void sto_relay(struct sto *s, struct buf *wire, sto_relayed done, void *arg);

#endif
