/*
 * engine: what is said to and heard from a model engine, apart from the
 * transport; docs/INTERFACES.md gives the HTTP form (OpenAI completions with
 * server-sent events, and extensions).
 */
#ifndef ENGINE_H
#define ENGINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/buf.h"
#include "base/err.h"

#define ENGINE_NAME_MAX 48

/* A run to be started: the caller's body plus what marldock adds. */
struct engine_run {
	const char *body;      /* the caller's JSON object */
	const char *stream_id; /* names the run for resume and cancel */
	const char *kept_text; /* tokens so far, to continue after */
	uint32_t kept_tokens;
	const char *kv_from; /* run whose imported KV cache to use; or NULL */
	int priority;	     /* 0 is highest */
};

/* Appends the JSON body of a run. -1 if `body` is not an object. */
int engine_print_run(const struct engine_run *r, struct buf *out);

/* What one event of a stream says. */
struct engine_event {
	bool done; /* "[DONE]" */
	bool is_token;
	uint32_t offset;
	char text[4096];
	char finish[32]; /* finish reason, "" if none */
	char model[ENGINE_NAME_MAX];
	char version[ENGINE_NAME_MAX]; /* system_fingerprint */
};

/*
 * Reads one event. `id` is the event's id (a token offset) or "", then
 * `next_offset` counts. -1: it cannot be understood.
 */
int engine_read_event(const char *id, const char *data, uint32_t next_offset,
		      struct engine_event *out);

/* An engine's own report. */
struct engine_state {
	char model[ENGINE_NAME_MAX];
	char version[ENGINE_NAME_MAX];
	char adapters[8][ENGINE_NAME_MAX];
	size_t nr_adapters;
	char role[16];
	int64_t fence;
	bool ready; /* weights are loaded, work is taken */
	bool leaving;
	int64_t running;
	int64_t waiting;
	int64_t slots;
	int64_t load_age_ms;
	int64_t cache_seq;   /* of the last cache event published */
	int64_t cache_first; /* first event still in the report */
	int64_t streams;     /* open runs, for sharing bandwidth */
	int64_t mb_cached;   /* weights on the instance */
};

int engine_read_state(const char *text, size_t len, struct engine_state *out);

/* An order: a level, not an edge; idempotent. */
struct engine_order {
	char model[ENGINE_NAME_MAX];
	char version[ENGINE_NAME_MAX];
	char adapters[8][ENGINE_NAME_MAX];
	size_t nr_adapters;
	char role[16];
	uint64_t fence;
};

void engine_print_order(const struct engine_order *o, struct buf *out);

/* True if the engine reports what the order asks for. */
bool engine_matches_order(const struct engine_state *s,
			  const struct engine_order *o);

#endif
