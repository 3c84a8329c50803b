#include "base/ring.h"

#include <assert.h>
#include <pthread.h>
#include <stdlib.h>

#include "base/buf.h"
#include "base/clk.h"

struct ring {
	pthread_mutex_t lock;
	pthread_cond_t not_empty;
	size_t cap;
	size_t head;
	size_t count;
	bool closed;
	void *slots[];
};

struct ring *ring_create(size_t cap)
{
	struct ring *r = mem_new(sizeof(*r) + cap * sizeof(void *));
	pthread_condattr_t attr;

	assert(cap > 0);
	r->cap = cap;
	pthread_mutex_init(&r->lock, NULL);
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&r->not_empty, &attr);
	pthread_condattr_destroy(&attr);
	return r;
}

void ring_free(struct ring *r)
{
	if (!r)
		return;
	pthread_cond_destroy(&r->not_empty);
	pthread_mutex_destroy(&r->lock);
	free(r);
}

bool ring_push(struct ring *r, void *item)
{
	bool ok;

	assert(item);
	pthread_mutex_lock(&r->lock);
	ok = !r->closed && r->count < r->cap;
	if (ok) {
		r->slots[(r->head + r->count) % r->cap] = item;
		r->count++;
		pthread_cond_signal(&r->not_empty);
	}
	pthread_mutex_unlock(&r->lock);
	return ok;
}

void *ring_pop(struct ring *r, int64_t wait_ms)
{
	const struct timespec deadline = clk_deadline(wait_ms);
	void *item = NULL;

	pthread_mutex_lock(&r->lock);
	while (!r->count && !r->closed && wait_ms > 0) {
		if (pthread_cond_timedwait(&r->not_empty, &r->lock, &deadline))
			break;
	}
	if (r->count) {
		item = r->slots[r->head];
		r->head = (r->head + 1) % r->cap;
		r->count--;
	}
	pthread_mutex_unlock(&r->lock);
	return item;
}

void ring_close(struct ring *r)
{
	pthread_mutex_lock(&r->lock);
	r->closed = true;
	pthread_cond_broadcast(&r->not_empty);
	pthread_mutex_unlock(&r->lock);
}

bool ring_closed(struct ring *r)
{
	bool closed;

	pthread_mutex_lock(&r->lock);
	closed = r->closed;
	pthread_mutex_unlock(&r->lock);
	return closed;
}
