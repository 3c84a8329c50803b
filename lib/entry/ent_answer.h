/*
 * ent: answers to clients (see entry_internal.h). A feed reads the answer of a
 * request in batches, from this entry or from the one that has it. A writer
 * sends them to the client as an event stream or as a whole reply. Both live
 * for one connection and are used by its worker only.
 */
#ifndef ENT_ANSWER_H
#define ENT_ANSWER_H

#include "entry/entry_internal.h"

/* A part of an answer. Free with ent_free_batch(). */
struct ent_batch {
	bool restart;  /* the tokens that the client has are void */
	bool lost;     /* the source cannot be reached, or was handed over */
	uint32_t gen;  /* generation of the tokens */
	uint32_t from; /* index of the first one in the answer */
	char **tokens; /* owned */
	uint32_t nr;
	enum flow_outcome outcome; /* FLOW_OPEN: more will follow */
	int status;		   /* as in struct ent_req, likewise below */
	char finish[32];
	char model[DOC_NAME_MAX];
	char version[DOC_NAME_MAX];
	char *result; /* owned */
	size_t result_len;
	char result_type[64];
	bool plain;
	bool stripped; /* it ended, and its answer has expired */
};

/* Frees the contents of `b` and zeroes it. */
void ent_free_batch(struct ent_batch *b);

struct ent_feed;

struct ent_feed_vtable {
	/*
	 * Fills `out` with the tokens after the first `offset` ones of
	 * generation `gen`. If there are none yet, waits for a bounded time and
	 * may then return an empty batch. The caller frees the batch.
	 */
	void (*next)(struct ent_feed *f, uint32_t gen, uint32_t offset,
		     struct ent_batch *out);
};

struct ent_feed {
	const struct ent_feed_vtable *vt;
	struct entry *en;
};

/* Reads a request of this entry; `rq` is borrowed. */
struct ent_local_feed {
	struct ent_feed feed;
	struct ent_req *rq;
};

/* Reads a request that another entry owns. */
struct ent_remote_feed {
	struct ent_feed feed;
	char key[GRANT_KEY_MAX];
	char account[DOC_NAME_MAX];
	uint64_t view;		    /* number of the view with its judges */
	unsigned slot;		    /* slot of its judges in that view */
	uint64_t winner;	    /* entry that won the claim; 0: unknown */
	char address[SET_ADDR_MAX]; /* peer address of the owner; "": unknown */
	int64_t lost_since;	    /* ms, monotonic; 0: reachable */
	bool seen;		    /* the owner was found at least once */
	struct ent_req *local;	    /* after a takeover by this entry; owned */
};

extern const struct ent_feed_vtable ent_local_feed_vtable;
extern const struct ent_feed_vtable ent_remote_feed_vtable;

/* Writes an answer to a client; all pointers are borrowed. */
struct ent_writer {
	struct entry *en;
	struct hsv_request *rq;
	const char *key;
	bool stream;	  /* event stream, not a whole reply */
	bool chat;	  /* chat completion, not text completion */
	bool begun;	  /* the head of the event stream was sent */
	bool restart_due; /* the next event must be the restart event */
	uint32_t gen;	  /* generation of the client's tokens */
	uint32_t offset;  /* number of tokens that the client has */
	struct buf text;  /* of a whole reply; freed by ent_serve() */
};

/*
 * Replies with a problem document instead of a result. `run`: "not-run", "ran"
 * or "unknown", whether the request was executed; `retry_ms`: for Retry-After,
 * rounded up to seconds, 0: none.
 */
void ent_refuse(struct entry *en, struct hsv_request *rq, int status,
		const char *run, int64_t retry_ms, const char *title,
		const char *detail);
/* The same with "not-run" and without Retry-After. */
void ent_refuse_not_run(struct entry *en, struct hsv_request *rq, int status,
			const char *title, const char *detail);

/*
 * Sets w->gen and w->offset from the client's Last-Event-ID header; leaves them
 * if it is missing or malformed.
 */
void ent_parse_last_event(const struct hsv_request *rq, struct ent_writer *w);

/*
 * Writes the feed's answer until it ends, the client disconnects, or the source
 * is lost. In the last case the client receives a reconnect event or, if the
 * stream has not begun, status 503 with Retry-After. Frees w->text.
 */
void ent_serve(struct ent_writer *w, struct ent_feed *f);

/* ent_serve() for a request of this entry. */
void ent_serve_local(struct ent_writer *w, struct ent_req *rq);

/*
 * True if a judge of the key or their reserve owns the request, has its outcome
 * or takes it over from a lost owner. Calls these peers and waits for the
 * replies.
 */
bool ent_find_remote(struct entry *en, const struct ent_req *rq);

/*
 * ent_serve() for a request of another entry: `winner` of the claim (0:
 * unknown), or the entry that took it over. If neither can be reached and this
 * entry holds the copy, this entry takes the request over.
 */
void ent_serve_remote(struct ent_writer *w, const struct ent_req *rq,
		      uint64_t winner);

#endif
