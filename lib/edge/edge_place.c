/*
 * Places for streams that are bound to a version (bnd.h): the version may have few
 * endpoints, and a request waits until one of them is free.
 */
#include "edge/edge_internal.h"

/*
 * Maximum wait for a place; clients give up after a pause of two seconds. Delay
 * before endpoints that refused the request are tried again, doubled each time,
 * since the retry budget covers few refusals.
 */
#define MAX_PLACE_WAIT_MS 1200
#define PLACE_RETRY_MS 300
#define MIN_PLACE_WAIT_MS 50

/* ---- Endpoints of the stream's version ---- */

static bool is_of_stream(const struct edge_req *r, const struct flt_endpoint *e)
{
	return flt_continues(e, r->service->name, r->version) && !e->removed &&
	       !e->draining_since_ms && !e->exited;
}

static bool was_tried(const struct edge_req *r, const struct flt_endpoint *e)
{
	unsigned i;

	for (i = 0; i < r->nr_tried; i++) {
		if (r->tried[i] == e)
			return true;
	}
	return false;
}

/* When an endpoint of the stream's version may be tried; INT64_MAX: never. */
static int64_t next_place_ms(const struct edge_req *r, int64_t now)
{
	const int64_t retry_at = now + r->place.retry_ms;
	int64_t at, first = INT64_MAX;
	const struct flt_endpoint *e;

	cds_list_for_each_entry(e, &r->en->fleet.endpoints, node) {
		if (!is_of_stream(r, e))
			continue;
		at = flt_open_ms(e, now);
		if (at < e->backoff_until_ms)
			at = e->backoff_until_ms;
		if (was_tried(r, e) && at < retry_at)
			at = retry_at;
		if (at < first)
			first = at;
	}
	return first;
}

/* ---- Waiting ---- */

static void end_wait(struct edge_req *r)
{
	ev_timer_stop(r->en->loop, &r->place.timer);
	r->place.waiting = false;
	r->en->nr_place_waits--;
}

void edge_place_cancel(struct edge_req *r)
{
	if (r->place.waiting)
		end_wait(r);
}

static void on_place_timer(struct ev_loop *loop, ev_timer *t, int revents)
{
	struct edge_req *r = t->data;

	(void)loop;
	(void)revents;
	end_wait(r);
	while (r->nr_tried)
		flt_unref(&r->en->fleet, r->tried[--r->nr_tried]);
	edge_send(r);
}

/* Sends the waiting request in `ms`. */
static void send_in(struct edge_req *r, int64_t ms)
{
	ev_timer_stop(r->en->loop, &r->place.timer);
	ev_timer_set(&r->place.timer, (double)ms / 1000, 0);
	ev_timer_start(r->en->loop, &r->place.timer);
}

void edge_place_freed(struct edge *en, const struct flt_endpoint *e)
{
	struct edge_req *r;

	if (!en->nr_place_waits)
		return;
	cds_list_for_each_entry(r, &en->requests, node) {
		if (r->place.waiting && is_of_stream(r, e)) {
			send_in(r, 1);
			return;
		}
	}
}

bool edge_place_wait(struct edge_req *r)
{
	struct edge *en = r->en;
	const int64_t now = edge_now(en);
	int64_t at;

	if (!r->bound)
		return false;
	if (!r->place.since_ms)
		r->place.since_ms = now;
	if (!r->place.retry_ms)
		r->place.retry_ms = PLACE_RETRY_MS;
	at = next_place_ms(r, now);
	if (at >= r->place.since_ms + MAX_PLACE_WAIT_MS ||
	    at >= r->deadline_at_ms)
		return false;
	r->place.retry_ms *= 2;
	met_inc(en->m.place_waits);
	rq_bound(&r->rq);
	r->place.waiting = true;
	en->nr_place_waits++;
	ev_timer_init(&r->place.timer, on_place_timer, 0, 0);
	r->place.timer.data = r;
	send_in(r, at < now + MIN_PLACE_WAIT_MS ? MIN_PLACE_WAIT_MS : at - now);
	return true;
}
