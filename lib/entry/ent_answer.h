/*
 * Answers to callers, shared by the files that read and write them: a feed
 * gives what there is of a request's answer, from here or from the entry that
 * has it; a writer turns that into a reply. Both live for a connection.
 */
#ifndef ENT_ANSWER_H
#define ENT_ANSWER_H

#include "entry/entry_internal.h"

/* What a feed gives at a time. */
struct ent_batch {
	bool restart;
	bool lost; /* the source cannot be reached */
	uint32_t gen;
	uint32_t from;
	char **tokens; /* owned */
	uint32_t nr;
	enum flow_outcome outcome;
	int status;
	char finish[32];
	char model[DOC_NAME_MAX];
	char version[DOC_NAME_MAX];
	char *result; /* owned */
	size_t result_len;
	char result_type[64];
	bool plain;
	bool stripped; /* it ended, but its answer is no longer kept */
};

void ent_free_batch(struct ent_batch *b);

struct ent_feed;

struct ent_feed_vtable {
	/* What there is after (gen, offset); waits a little for it. */
	void (*next)(struct ent_feed *f, uint32_t gen, uint32_t offset,
		     struct ent_batch *out);
};

struct ent_feed {
	const struct ent_feed_vtable *vt;
	struct entry *en;
};

struct ent_local_feed {
	struct ent_feed feed;
	struct ent_req *rq;
};

struct ent_remote_feed {
	struct ent_feed feed;
	char key[GRANT_KEY_MAX];
	char account[DOC_NAME_MAX];
	uint64_t view;
	unsigned slot;
	uint64_t winner;
	char address[SET_ADDR_MAX]; /* the entry that owns it, or "" */
	int64_t lost_since;
	bool seen;
	struct ent_req *local; /* the copy here, after taking it over */
};

extern const struct ent_feed_vtable ent_local_feed_vtable;
extern const struct ent_feed_vtable ent_remote_feed_vtable;

struct ent_writer {
	struct entry *en;
	struct hsv_request *rq;
	const char *key;
	bool stream;
	bool chat;
	bool begun;
	bool restart_due; /* the caller holds tokens that are void, untold */
	uint32_t gen;
	uint32_t offset;
	struct buf text; /* of a whole reply */
};

/* A reply that is not the whole result; `run`: not-run, ran or unknown. */
void ent_refuse(struct entry *en, struct hsv_request *rq, int status,
		const char *run, int64_t retry_ms, const char *title,
		const char *detail);
void ent_refuse_not_run(struct entry *en, struct hsv_request *rq, int status,
			const char *title, const char *detail);

/* Where the caller's Last-Event-ID says that it is. */
void ent_parse_last_event(const struct hsv_request *rq, struct ent_writer *w);

/* Writes what the feed gives, to the end of the answer. */
void ent_serve(struct ent_writer *w, struct ent_feed *f);

/* Serves to the end a request that this entry has. */
void ent_serve_local(struct ent_writer *w, struct ent_req *rq);

/* True if one of the key's judges runs the request or knows how it ended. */
bool ent_find_remote(struct entry *en, const struct ent_req *rq);

/* Serves one that another entry has: `winner`, or who took it over. */
void ent_serve_remote(struct ent_writer *w, const struct ent_req *rq,
		      uint64_t winner);

#endif
