/*
 * sto (store): client of the platform's key-value store.
 *
 * The store is linearizable, has leases, and has a revision that rises with
 * each change. Revisions are given here as versions (ver.h), since the store
 * may be restored from an older copy. A write whose answer is lost may have
 * been applied, or may be applied seconds later if its conditions still hold:
 * this is STO_UNKNOWN, and only reading the keys back shows what happened.
 *
 * The codec (a vtable) has the names on the wire. This module chooses the route
 * of a call: directly to the store, or relayed by another entry when the store
 * refuses this machine or cannot be reached from it.
 *
 * Single-threaded: all calls are made from the thread of the event loop.
 */
#ifndef STO_H
#define STO_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/buf.h"
#include "io/htc.h"
#include "store/ver.h"

/* Most rows, and most conditions, of a write. */
#define STO_MAX_ROWS 8

enum sto_kind {
	STO_GET,	 /* read one key */
	STO_LIST,	 /* read a page of the keys with a prefix */
	STO_WATCH,	 /* wait for changes after a version */
	STO_WRITE,	 /* put and delete keys if all conditions hold */
	STO_LEASE_GRANT, /* create a lease */
	STO_LEASE_RENEW, /* renew a lease */
	STO_LEASE_END,	 /* revoke a lease, which deletes its keys */
};
#define STO_KINDS (STO_LEASE_END + 1)

/*
 * A put or a delete of a write. The strings must stay valid until sto_call()
 * returns.
 */
struct sto_row {
	const char *key;
	const char *value; /* NULL: delete the key */
	size_t len;
	int64_t lease; /* that the key is attached to; 0: none */
};

struct sto_condition {
	const char *key;
	int64_t revision; /* version that the key must have; 0: no key */
};

struct sto_call {
	enum sto_kind kind;
	const char *key;   /* GET: the key; LIST, WATCH: the prefix */
	const char *after; /* LIST: start after this key */
	int64_t revision;  /* WATCH: changes after this version */
	int wait_ms;	   /* WATCH: the store answers within this time */
	int64_t lease;	   /* LEASE_RENEW, LEASE_END */
	int ttl_ms;	   /* LEASE_GRANT */
	struct sto_condition conditions[STO_MAX_ROWS];
	unsigned nr_conditions;
	struct sto_row rows[STO_MAX_ROWS];
	unsigned nr_rows;
};

enum sto_outcome {
	STO_OK,
	STO_ABSENT,	  /* no such key, or no such lease */
	STO_CONFLICT,	  /* a condition does not hold: not applied */
	STO_HISTORY_LOST, /* the changes of the watch cannot be read */
	STO_BUSY,	  /* overloaded or down: not applied */
	STO_UNREACHABLE,  /* not sent */
	STO_UNKNOWN,	  /* sent, no answer */
	STO_MALFORMED,	  /* an answer that cannot be decoded */
};

/* Returns the outcome's name for logs (a static string). */
const char *sto_outcome_name(enum sto_outcome o);

struct sto_item {
	char *key;
	/* NULL: the key was deleted (WATCH). Empty if it cannot be decoded. */
	char *value;
	size_t len;
	int64_t revision; /* version of the key */
};

struct sto_answer {
	enum sto_outcome outcome;
	int64_t asked_ms; /* monotonic time before the call was sent */
	int64_t era;	  /* of the answer; -1: no answer */
	int64_t revision; /* version of the store, or of the write */
	int64_t lease;	  /* LEASE_GRANT: id of the new lease */
	int ttl_ms;	  /* LEASE_GRANT: time to live granted */
	bool more;	  /* LIST: further pages follow */
	struct sto_item *items;
	size_t nr_items;
	size_t nr_skipped; /* further items, without a valid key */
	const char *raw;   /* WATCH: the body as received, maybe compressed */
	size_t raw_len;
};

/* Frees the items of an answer, but not `a` itself. */
void sto_answer_free(struct sto_answer *a);

/* The wire format of the store. */
struct sto_codec {
	/* Appends the whole HTTP request. */
	void (*encode)(const struct sto_call *call, const char *host,
		       struct buf *out);
	/* Returns the era in the head of an answer; 0: none. */
	int64_t (*era)(const struct hmsg *m);
	/* Appends the era to the head of an answer that is forwarded. */
	void (*put_era)(int64_t era, struct buf *out);
	/*
	 * Decodes status and body into `out` and sets its outcome. Revisions
	 * are the store's, not versions.
	 */
	void (*decode)(enum sto_kind kind, int status, const char *body,
		       size_t len, struct sto_answer *out);
};

/* Called once when a call ends; `a` is freed when it returns. */
typedef void (*sto_done)(void *arg, struct sto_answer *a);

/* A sto_done for calls whose effect a watch reports, or that nothing needs. */
void sto_ignore_answer(void *arg, struct sto_answer *a);

struct sto;

/*
 * Called when the store becomes unreachable or reachable again: `why` is the
 * name of the outcome that showed it, `direct` is false if that call was
 * relayed, and `took_ms` is its duration.
 */
typedef void (*sto_on_reachability)(void *arg, bool reachable, const char *why,
				    bool direct, int64_t took_ms);

/*
 * Creates a client of the store at `addr` (copied). `loop`, `clk` and `codec`
 * must outlive it. No call may be pending when it is freed.
 */
struct sto *sto_create(struct ev_loop *loop, const struct clk *clk,
		       const struct sto_codec *codec,
		       const struct sockaddr_in *addr,
		       sto_on_reachability on_reachability, void *arg);
void sto_free(struct sto *s);

/*
 * Starts a call. `done` is called exactly once, never before sto_call()
 * returns. `call` is not kept.
 */
void sto_call(struct sto *s, const struct sto_call *call, sto_done done,
	      void *arg);

/* Number of independently followed sets of keys. */
#define STO_LANES 3

/*
 * As `after`: all keys, not changes. The answer is a listing (snap.h): one that
 * changes can follow, or any that there is.
 */
#define STO_ALL_KEYS (-1)
#define STO_ANY_LISTING (-2)

/*
 * Requests from the entry at `to` the changes after `after` that its watch
 * returned. It answers within `wait_ms`; after `extra_ms` more the call fails.
 * Each separately watched set of keys has its own lane, 0 to STO_LANES - 1. The
 * meaning of `after` is up to the two entries: a version of the store, a version
 * of the configuration, or STO_ALL_KEYS or STO_ANY_LISTING, for which the answer
 * has the form of STO_LIST without further pages. `done` is called as for sto_call().
 */
void sto_follow(struct sto *s, unsigned lane, const struct sockaddr_in *to,
		int64_t after, int wait_ms, int extra_ms, sto_done done,
		void *arg);

/*
 * Parses the URL of such a request. False if it is another one or is invalid;
 * the outputs may then be partly set.
 */
bool sto_parse_follow(const char *url, unsigned *lane, int64_t *after,
		      int *wait_ms);

/* Monotonic time of the last successful direct call in ms; 0: none. */
int64_t sto_direct_success_ms(const struct sto *s);

/*
 * Sets the function that returns the address of an entry that relays calls
 * while direct ones fail, or NULL if none is known. It is called for each such
 * call; the address is copied.
 */
typedef const struct sockaddr_in *(*sto_choose_relay)(void *arg);
void sto_set_relay(struct sto *s, sto_choose_relay choose_relay, void *arg);

/* True if the last call that ended succeeded, direct or relayed. */
bool sto_reachable(const struct sto *s);

/* True if the last direct call succeeded, or none has ended yet. */
bool sto_direct_ok(const struct sto *s);

/*
 * Monotonic time in ms at which the last outage of the store ended; 0: there
 * was none. In an outage no call, direct or relayed, succeeds for long enough
 * that the endpoints' keys in the store may expire. A store that refuses only
 * this machine is no outage: relayed calls succeed.
 */
int64_t sto_recovered_ms(const struct sto *s);

/*
 * True if a call that succeeds now, after `failed`: others failed since the last
 * success at `success_ms` (0: none), ends such an outage. Time without calls is
 * none.
 */
bool sto_ends_outage(bool failed, int64_t success_ms, int64_t now_ms);

/* Describes a call that ended, for logs and metrics. */
struct sto_trace {
	enum sto_kind kind;
	enum sto_outcome outcome;
	bool direct;	/* sent to the store itself */
	bool following; /* sto_follow() */
	int64_t took_ms;
	int64_t late_ms; /* took_ms without the wait of a watch */
	size_t bytes;	 /* of the body, as far as it was received */
	size_t skipped;	 /* items without a valid key */
};

typedef void (*sto_on_trace)(void *arg, const struct sto_trace *t);

/*
 * Called when the store was restored from an older copy: its era was `from` and
 * is `to`. It is called before the `done` of the call that showed it. Later
 * answers of an earlier era become STO_UNKNOWN, and conditions on a version of
 * an earlier era do not hold (STO_CONFLICT).
 */
typedef void (*sto_on_restore)(void *arg, int64_t from, int64_t to);
void sto_set_on_restore(struct sto *s, sto_on_restore on_restore, void *arg);

/* Returns the latest known era of the store; 0: no answer had one. */
int64_t sto_era(const struct sto *s);

/* Reports an era that another entry knows; ignored if it is not higher. */
void sto_learn_era(struct sto *s, int64_t era);

/* Sets the function that is called for each call that ends, before `done`. */
void sto_set_trace(struct sto *s, sto_on_trace on_trace, void *arg);

/* Returns the kind's name for logs (a static string). */
const char *sto_kind_name(enum sto_kind k);

/*
 * Result of a relayed request: HTTP status, era and body (valid during the
 * call) of the answer. `status` 0: no answer; `sent` tells whether the request
 * may have been sent.
 */
typedef void (*sto_relayed)(void *arg, int status, int64_t era,
			    const char *body, size_t len, bool sent);

/*
 * `bytes` of the answer to a relayed request are held. The request may be cancelled from
 * within.
 */
typedef void (*sto_relay_held)(void *arg, size_t bytes);

struct sto_relay;

/*
 * Sends a request of another entry, which cannot reach the store, unchanged to
 * the store. Takes the contents of `wire`. `done` is called once, after which the
 * request is freed. Returns NULL, and has called `done`, if it cannot be started.
 */
struct sto_relay *sto_relay(struct sto *s, struct buf *wire,
			    sto_relay_held held, sto_relayed done, void *arg);

/* Cancels and frees the request; no callback follows. It may have been executed. */
void sto_relay_cancel(struct sto_relay *r);

#endif
