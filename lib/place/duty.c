#include "place/duty.h"

#include <string.h>

/* A tenth of the lease covers clock drift and the way of an order. */
#define MARGIN_PART 10

/* Renewals come at a third, so that two may fail. */
#define RENEW_PART 3

void duty_init(struct duty *d, int64_t lease_ms)
{
	memset(d, 0, sizeof(*d));
	d->lease_ms = lease_ms;
	d->margin_ms = lease_ms / MARGIN_PART;
}

static void go_idle(struct duty *d, int64_t now_ms)
{
	d->state = DUTY_IDLE;
	d->renewing = false;
	d->fence = 0;
	d->next_ms = now_ms + d->lease_ms / RENEW_PART;
}

static bool holds(const struct duty *d)
{
	return d->state == DUTY_WAITING || d->state == DUTY_HELD;
}

enum duty_action duty_tick(struct duty *d, int64_t now_ms)
{
	if (holds(d) && now_ms >= d->valid_until_ms)
		go_idle(d, now_ms);
	if (d->state == DUTY_WAITING && now_ms >= d->unfenced_from_ms)
		d->state = DUTY_HELD;
	if (d->state == DUTY_ACQUIRING || d->renewing || now_ms < d->next_ms)
		return DUTY_NOTHING;
	d->request_sent_ms = now_ms;
	if (holds(d)) {
		d->renewing = true;
		return DUTY_RENEW;
	}
	d->state = DUTY_ACQUIRING;
	return DUTY_ACQUIRE;
}

static void extend(struct duty *d)
{
	d->valid_until_ms = d->request_sent_ms + d->lease_ms - d->margin_ms;
	d->next_ms = d->request_sent_ms + d->lease_ms / RENEW_PART;
}

void duty_acquired(struct duty *d, uint64_t fence, bool fresh, int64_t now_ms)
{
	d->fence = fence;
	extend(d);
	/*
	 * The former holder counts its lease from before its request, so it
	 * stops before the service lets the key go; the wait covers orders
	 * that it had on the way then.
	 */
	d->unfenced_from_ms = fresh ? now_ms
				    : now_ms + d->lease_ms + d->margin_ms;
	d->state = DUTY_WAITING;
}

void duty_refused(struct duty *d, int64_t now_ms)
{
	go_idle(d, now_ms);
}

void duty_renewed(struct duty *d, int64_t now_ms)
{
	d->renewing = false;
	if (!holds(d) || now_ms >= d->valid_until_ms) {
		go_idle(d, now_ms);
		return;
	}
	extend(d);
}

void duty_failed(struct duty *d, int64_t now_ms)
{
	if (!holds(d)) {
		go_idle(d, now_ms);
		return;
	}
	d->renewing = false;
	d->next_ms = now_ms + d->margin_ms;
}

void duty_lost(struct duty *d, int64_t now_ms)
{
	go_idle(d, now_ms);
}

bool duty_may_act(const struct duty *d, int64_t now_ms)
{
	return holds(d) && now_ms < d->valid_until_ms;
}

bool duty_may_act_unfenced(const struct duty *d, int64_t now_ms)
{
	return holds(d) && now_ms < d->valid_until_ms &&
	       now_ms >= d->unfenced_from_ms;
}
