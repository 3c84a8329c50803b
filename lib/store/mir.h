/*
 * mir (mirror): keeps up with the store's keys under a prefix. It lists them
 * once, page by page, then watches for changes from the revision of the first
 * page, and lists them again when the store no longer has the history that the
 * watch needs. A pure state machine: the store's answers go in, the next call
 * comes out, and each change of a key is reported once.
 *
 * The pages are not a snapshot: the watch may return a change between two of
 * them again. Reports are therefore idempotent by the revision of each key. A
 * watch without an answer does not prove that nothing has changed, so watches
 * are short.
 */
#ifndef MIR_H
#define MIR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * ms to wait after a watch has returned changes, unless mir.pace_ms is set:
 * changes come in bursts, and each answer of a watch is a billed call.
 */
#define MIR_PACE_MS 400

/* ms to wait after a failed call, doubled with each failure up to the bound. */
#define MIR_RETRY_MS 100
#define MIR_RETRY_MAX_MS 300

/*
 * An answer with this many changes may not have all that there are: the next
 * watch follows without a pause.
 */
#define MIR_MANY_CHANGES 64

enum mir_call {
	MIR_NONE,  /* no call now */
	MIR_LIST,  /* list a page after the key `after` ("": the first page) */
	MIR_WATCH, /* watch for changes after `revision` */
};

struct mir_item;

struct mir_vtable {
	/* A key was written. `value` is valid during the call. */
	void (*put)(void *arg, const char *key, const char *value, size_t len,
		    int64_t revision);
	/* A key was deleted, at `revision` or before. */
	void (*deleted)(void *arg, const char *key, int64_t revision);
};

struct mir {
	const struct mir_vtable *vt;
	void *arg;
	struct mir_item *items; /* uthash by key */
	enum mir_call state;	/* the next call, or the pending one */
	bool call_pending;
	char after[256];	/* last key of the page before; "": none */
	int64_t first_page_rev; /* 0: no page of this listing yet */
	uint64_t listing;	/* number of the current listing */
	int64_t revision;	/* changes up to here were reported */
	int64_t due_ms;		/* no call before */
	int pace_ms;
	int retries;
	bool complete; /* at least one listing was completed */
};

/* Initializes `m`; `vt` must outlive it, and its functions get `arg`. */
void mir_init(struct mir *m, const struct mir_vtable *vt, void *arg);

/* Frees the keys, but not `m` itself, and reports nothing. */
void mir_free(struct mir *m);

/*
 * Returns the call to make now; it is then pending. MIR_NONE if one is pending
 * already, or if none is due before `m->due_ms`.
 */
enum mir_call mir_next(struct mir *m, int64_t now_ms);

/* One key of the answer to MIR_LIST. `key` is copied, `value` passed on. */
void mir_item(struct mir *m, const char *key, const char *value, size_t len,
	      int64_t revision);

/*
 * End of the answer to MIR_LIST. `last_key` is the last one of the page (NULL:
 * it was empty), `more`: further pages follow, `revision`: that of the store.
 */
void mir_page_end(struct mir *m, const char *last_key, bool more,
		  int64_t revision, int64_t now_ms);

/* One event of the answer to MIR_WATCH. `value` NULL: the key was deleted. */
void mir_event(struct mir *m, const char *key, const char *value, size_t len,
	       int64_t revision);

/*
 * End of the answer to MIR_WATCH. `nr_changes`: that it had; after a few, the
 * next watch waits for mir.pace_ms. `revision`: changes up to there were
 * returned.
 */
void mir_watch_end(struct mir *m, size_t nr_changes, int64_t revision,
		   int64_t now_ms);

/*
 * The store no longer has the changes after `revision`: a new listing begins at
 * once.
 */
void mir_history_lost(struct mir *m, int64_t now_ms);

/* The pending call ended without a result: it is due again at once. */
void mir_cancel(struct mir *m, int64_t now_ms);

/* The pending call failed: it is repeated after a backoff. */
void mir_failed(struct mir *m, int64_t now_ms);

#endif
