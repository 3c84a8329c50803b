/*
 * engine: encoding and decoding of the messages of a model engine.
 *
 * Independent of the transport. docs/INTERFACES.md specifies the HTTP form:
 * OpenAI completions with server-sent events, and extensions.
 */
#ifndef ENGINE_H
#define ENGINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/buf.h"
#include "base/err.h"

/* Size of a name buffer in bytes, with the terminating NUL. */
#define ENGINE_NAME_MAX 48

/*
 * A run to start: the client's request body and the members that marldock
 * adds to it. All strings are borrowed.
 */
struct engine_run {
	const char *body;      /* the client's JSON object */
	const char *stream_id; /* identifies the run for resume and cancel */
	const char *kept_text; /* text generated so far, to resume after */
	uint32_t kept_tokens;  /* tokens in kept_text; 0: new run */
	const char *kv_from; /* run whose imported KV cache is used, or NULL */
	int priority;	     /* 0 is the highest */
};

/*
 * Appends the JSON body of a run to `out`. Returns 0, or -1 if `body` is not a
 * JSON object.
 */
int engine_print_run(const struct engine_run *r, struct buf *out);

/* One decoded event of a stream. */
struct engine_event {
	bool done;	 /* the end marker "[DONE]" */
	bool is_token;	 /* `text` holds a token */
	uint32_t offset; /* of the token in the stream, in tokens */
	char text[4096];
	char finish[32]; /* finish reason, "" if none */
	char model[ENGINE_NAME_MAX];
	char version[ENGINE_NAME_MAX]; /* member system_fingerprint */
};

/*
 * Decodes one event. `id` is the event's id, a token offset. If it is "" or not
 * a number, `next_offset` is used. Returns 0, or -1 if the event is malformed
 * or its text does not fit.
 */
int engine_read_event(const char *id, const char *data, uint32_t next_offset,
		      struct engine_event *out);

/* Status report of an engine. */
struct engine_state {
	char model[ENGINE_NAME_MAX];
	char version[ENGINE_NAME_MAX];
	char adapters[8][ENGINE_NAME_MAX];
	size_t nr_adapters;
	char role[16];
	int64_t fence;	     /* fencing token of its last order */
	bool ready;	     /* weights are loaded, accepts requests */
	bool leaving;	     /* gets no new requests */
	int64_t running;     /* runs in the batch */
	int64_t waiting;     /* runs queued */
	int64_t slots;	     /* maximum number of concurrent runs */
	int64_t load_age_ms; /* age of `running` and `waiting` */
	int64_t cache_seq;   /* number of the last cache event published */
	int64_t cache_first; /* number of the oldest event in the report */
	int64_t streams;     /* open runs, which share the bandwidth */
	int64_t mb_cached;   /* weights on the instance, in megabytes */
};

/*
 * Decodes a report of `len` bytes. Missing members become "", 0 or false, but
 * `slots` 1. Returns 0, or -1 if the report is not a JSON object.
 */
int engine_read_state(const char *text, size_t len, struct engine_state *out);

/*
 * What an engine should serve. An order states the whole desired state, not a
 * change to it, so sending it again is idempotent.
 */
struct engine_order {
	char model[ENGINE_NAME_MAX];
	char version[ENGINE_NAME_MAX];
	char adapters[8][ENGINE_NAME_MAX];
	size_t nr_adapters;
	char role[16];
	uint64_t fence; /* fencing token */
};

/* Appends the JSON body of an order to `out`. Does not escape the names. */
void engine_print_order(const struct engine_order *o, struct buf *out);

/*
 * Returns true if the engine reports the order's model, version and role and at
 * least its adapters. Does not compare the fencing token.
 */
bool engine_matches_order(const struct engine_state *s,
			  const struct engine_order *o);

#endif
