/*
 * ring: ring buffer. A bounded FIFO queue of pointers between threads, one
 * queue per purpose.
 *
 * If the ring is full, ring_push returns false; it neither blocks nor drops an
 * element silently. All functions but ring_free can be called by any thread.
 */
#ifndef RING_H
#define RING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct ring;

/* Creates a ring for `cap` (positive) elements; free with ring_free. */
struct ring *ring_create(size_t cap);

/* Frees the ring, not its elements. No thread may use it any more. */
void ring_free(struct ring *r);

/* Appends `item` (not NULL), whose ownership passes. False: full or closed. */
bool ring_push(struct ring *r, void *item);

/*
 * Removes the oldest element; ownership passes. Waits up to `wait_ms`
 * milliseconds for one; 0: does not wait. NULL: time-out, or the ring is closed
 * and empty.
 */
void *ring_pop(struct ring *r, int64_t wait_ms);

/* Closes the ring and wakes all waiters. Elements in it can still be popped. */
void ring_close(struct ring *r);
bool ring_closed(struct ring *r);

#endif
