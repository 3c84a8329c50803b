#include "place/duty.h"

#include <string.h>

/*
 * The safety margin is a tenth of the lease. It covers clock drift and the
 * network delay of a command.
 */
#define LEASE_MARGIN_DIVISOR 10

/* Renewing after a third of the lease leaves time for two failed attempts. */
#define RENEW_DIVISOR 3

void duty_init(struct duty *d, int64_t lease_ms)
{
	memset(d, 0, sizeof(*d));
	d->lease_ms = lease_ms;
	d->margin_ms = lease_ms / LEASE_MARGIN_DIVISOR;
}

static void go_idle(struct duty *d, int64_t now_ms)
{
	d->state = DUTY_IDLE;
	d->renewing = false;
	d->fence = 0;
	d->next_ms = now_ms + d->lease_ms / RENEW_DIVISOR;
}

static bool is_holder(const struct duty *d)
{
	return d->state == DUTY_WAITING || d->state == DUTY_HELD;
}

enum duty_action duty_tick(struct duty *d, int64_t now_ms)
{
	if (is_holder(d) && now_ms >= d->valid_until_ms)
		go_idle(d, now_ms);
	if (d->state == DUTY_WAITING && now_ms >= d->unfenced_from_ms)
		d->state = DUTY_HELD;
	if (d->state == DUTY_ACQUIRING || d->renewing || now_ms < d->next_ms)
		return DUTY_NOTHING;
	d->request_sent_ms = now_ms;
	if (is_holder(d)) {
		d->renewing = true;
		return DUTY_RENEW;
	}
	d->state = DUTY_ACQUIRING;
	return DUTY_ACQUIRE;
}

static void extend(struct duty *d)
{
	d->valid_until_ms = d->request_sent_ms + d->lease_ms - d->margin_ms;
	d->next_ms = d->request_sent_ms + d->lease_ms / RENEW_DIVISOR;
}

void duty_acquired(struct duty *d, uint64_t fence, bool fresh, int64_t now_ms)
{
	d->fence = fence;
	extend(d);
	/*
	 * The previous holder counts its lease from before its request, so it
	 * stops before the key-value service deletes the key. The wait covers
	 * commands that were in flight at that time.
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
	if (!is_holder(d) || now_ms >= d->valid_until_ms) {
		go_idle(d, now_ms);
		return;
	}
	extend(d);
}

void duty_failed(struct duty *d, int64_t now_ms)
{
	if (!is_holder(d)) {
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
	return is_holder(d) && now_ms < d->valid_until_ms;
}

bool duty_may_act_unfenced(const struct duty *d, int64_t now_ms)
{
	return is_holder(d) && now_ms < d->valid_until_ms &&
	       now_ms >= d->unfenced_from_ms;
}
