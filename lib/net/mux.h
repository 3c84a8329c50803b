/*
 * mux: many HTTP streams on one thread, over libcurl's multi interface.
 *
 * The thread that reads the engines: opening and cancelling come through a
 * bounded ring, bytes go out through callbacks on the mux's thread. Callbacks
 * must be short and must not block.
 */
#ifndef MUX_H
#define MUX_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/err.h"

struct mux;

/* What the owner of a stream gets told. `arg` is the owner's. */
struct mux_sink {
	/* The status line came. Return false to stop. */
	bool (*on_status)(int status, void *arg);
	bool (*on_data)(const char *data, size_t len, void *arg);
	/*
	 * The stream is over, always called once, last. ERR_NONE: ended as it
	 * should; ERR_REFUSED: nothing was sent; else broken or cancelled.
	 */
	void (*on_end)(enum err_code why, int status, void *arg);
};

struct mux_request {
	const char *method;
	const char *address;
	const char *path;
	const char *body; /* copied; NULL: none */
	int64_t total_ms; /* 0: unbounded */
	int64_t idle_ms;  /* ends as broken if no byte comes for so long */
};

/* `max` bounds the streams open at once. */
struct mux *mux_create(size_t max);

/* Ends all streams (their on_end runs) and the thread. */
void mux_free(struct mux *m);

/* Opens a stream; its id, or 0 if the mux is full (on_end does not run). */
uint64_t mux_open(struct mux *m, const struct mux_request *rq,
		  const struct mux_sink *sink, void *arg);

/* Asks for a stream's end; on_end tells when. Unknown ids are ignored. */
void mux_cancel(struct mux *m, uint64_t id);

#endif
