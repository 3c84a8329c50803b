/*
 * mir: follows the store's keys: reads them once, page by page, then watches
 * from the revision of the first page, and reads anew when the history is
 * lost. A pure state machine: answers go in, the next call comes out, and
 * each change of a key is told once.
 *
 * Pages are no snapshot, so a change between two of them is seen again by
 * the watch: what is told is idempotent by the revision of each key. A watch
 * that says nothing proves nothing, so watches are short.
 */
#ifndef MIR_H
#define MIR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * After a watch brought something, so long passes before the next: changes
 * come in flocks, and each return of a watch is a priced call.
 */
#define MIR_PACE_MS 400

/* After a failed call; doubled each time up to the bound. */
#define MIR_RETRY_MS 100
#define MIR_RETRY_MAX_MS 300

enum mir_call {
	MIR_NONE,  /* nothing yet: ask again at `due_ms` */
	MIR_LIST,  /* read a page after the key `after` ("": the first) */
	MIR_WATCH, /* watch from `revision` */
};

struct mir_item;

struct mir_vtable {
	/* A key was written. */
	void (*put)(void *arg, const char *key, const char *value, size_t len,
		    int64_t revision);
	/* A key is gone, at `revision` or before. */
	void (*deleted)(void *arg, const char *key, int64_t revision);
};

struct mir {
	const struct mir_vtable *vt;
	void *arg;
	struct mir_item *items; /* uthash by key */
	enum mir_call state;	/* the call to make next, or under way */
	bool call_pending;
	char after[256];
	int64_t first_page_rev; /* 0: no page of this reading yet */
	uint64_t listing;	/* number of this reading */
	int64_t revision;	/* watched up to here */
	int64_t due_ms;
	int retries;
	bool complete; /* at least one reading was completed */
};

void mir_init(struct mir *m, const struct mir_vtable *vt, void *arg);
void mir_free(struct mir *m);

/* The call to make now; it is then under way. */
enum mir_call mir_next(struct mir *m, int64_t now_ms);

/* One key of a page, then the end of the page. */
void mir_item(struct mir *m, const char *key, const char *value, size_t len,
	      int64_t revision);
void mir_page_end(struct mir *m, const char *last_key, bool more,
		  int64_t revision, int64_t now_ms);

/* One event of a watch (value NULL: the key is gone), then its end. */
void mir_event(struct mir *m, const char *key, const char *value, size_t len,
	       int64_t revision);
void mir_watch_end(struct mir *m, bool any, int64_t revision, int64_t now_ms);

/* The history is gone: all is read anew, at once. */
void mir_history_lost(struct mir *m, int64_t now_ms);

/* The call failed. */
void mir_failed(struct mir *m, int64_t now_ms);

#endif
