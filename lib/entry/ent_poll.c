/*
 * Load reports: polls the tracked endpoints of each model for their state.
 */
#include "entry/entry_internal.h"

#include <stdlib.h>
#include <string.h>

#define POLL_INTERVAL_MS 250	      /* minimum interval per endpoint */
#define POLL_UNREADY_INTERVAL_MS 1000 /* the same while it is not ready */
#define MODEL_IN_USE_MS 5000 /* a model is in use this long after a request */
#define POLL_TIMEOUT_MS 1500

/* How long an endpoint is avoided after a failed poll. */
#define AVOID_AFTER_FAILURE_MS 1000

/* ---- Load reports ---- */

struct poll {
	struct entry *en;
	struct ent_model *m;
	uint64_t endpoint;
	struct buf body;
};

static bool poll_data(const char *data, size_t len, void *arg)
{
	struct poll *p = arg;

	buf_add(&p->body, data, len);
	return p->body.len < 65536;
}

static void apply_state(struct route_endpoint *ep, const struct ent_model *m,
			const struct engine_state *s, int64_t now)
{
	ep->ready = s->ready && !strcmp(s->model, m->name);
	str_copy(ep->version, s->version, sizeof(ep->version));
	if (s->slots > 0)
		ep->slots = s->slots;
	if (s->leaving)
		ep->leaving = true;
	ep->streams = s->streams;
	/*
	 * If cache events are missing from the report, or their sequence number
	 * went back, evictions may have been missed. Routing then ignores what
	 * the prefix index recorded for the endpoint up to now.
	 */
	if (s->cache_first > ep->cache_seq + 1 || s->cache_seq < ep->cache_seq)
		ep->cache_gap_ms = now;
	ep->cache_seq = s->cache_seq;
	route_report(ep, s->running, s->waiting, s->load_age_ms, now);
}

static void poll_end(enum err_code why, int status, void *arg)
{
	struct poll *p = arg;
	struct engine_state s;
	const bool ok = why == ERR_NONE && status == 200 &&
			!engine_read_state(buf_cstr(&p->body), p->body.len, &s);
	const int64_t now = ent_now(p->en);
	struct route_endpoint *ep;
	bool was_ready = false, is_ready = false;

	pthread_mutex_lock(&p->m->lock);
	ep = route_find(p->m->table, p->endpoint);
	if (ep) {
		was_ready = ep->ready;
		if (ok) {
			apply_state(ep, p->m, &s, now);
		} else {
			ep->avoid_until_ms = now + AVOID_AFTER_FAILURE_MS;
			if (why == ERR_REFUSED)
				ep->ready = false;
		}
		is_ready = ep->ready;
		if (was_ready != is_ready)
			route_refresh(p->m->table);
	}
	pthread_mutex_unlock(&p->m->lock);
	if (is_ready && !was_ready)
		ent_send_command(p->en, ENT_CMD_WAKE, NULL, 0, 0, 0);
	buf_free(&p->body);
	free(p);
}

static void send_poll(struct entry *en, struct ent_model *m, uint64_t id,
		      const char *address)
{
	static const struct mux_sink sink = { NULL, poll_data, poll_end };
	const struct mux_request mr = {
		.method = "GET",
		.address = address,
		.path = "/v1/state",
		.total_ms = POLL_TIMEOUT_MS,
	};
	struct poll *p = mem_new(sizeof(*p));

	p->en = en;
	p->m = m;
	p->endpoint = id;
	if (!mux_open(en->mux, &mr, &sink, p))
		free(p);
}

/*
 * Returns the tracked endpoint in the given state (ready or not) that was
 * polled longest ago, and at least `min_interval_ms` ago; NULL if there is
 * none. The model's lock is held.
 */
static struct route_endpoint *least_recently_polled(struct ent_model *m,
						    bool ready,
						    int64_t min_interval_ms,
						    int64_t now)
{
	struct route_endpoint *const *subset, *best = NULL;
	const size_t n = route_subset(m->table, &subset);
	size_t i;

	for (i = 0; i < n; i++) {
		if (subset[i]->ready != ready || subset[i]->leaving ||
		    (subset[i]->polled_ms &&
		     now - subset[i]->polled_ms < min_interval_ms))
			continue;
		if (!best || subset[i]->polled_ms < best->polled_ms)
			best = subset[i];
	}
	return best;
}

/* Polls the result of least_recently_polled(); false if there is none. */
static bool poll_next(struct entry *en, struct ent_model *m, bool ready,
		      int64_t min_interval_ms)
{
	const int64_t now = ent_now(en);
	struct route_endpoint *ep;
	char address[64];
	uint64_t id = 0;

	pthread_mutex_lock(&m->lock);
	ep = least_recently_polled(m, ready, min_interval_ms, now);
	if (ep) {
		ep->polled_ms = now;
		id = ep->id;
		str_copy(address, ep->address, sizeof(address));
	}
	pthread_mutex_unlock(&m->lock);
	if (id)
		send_poll(en, m, id, address);
	return id != 0;
}

/*
 * Each request polls two of the tracked endpoints, for the requests after it.
 * An idle model thus costs nothing.
 */
void ent_poll_for_request(struct entry *en, struct ent_model *m)
{
	atomic_store(&m->last_used_ms, ent_now(en));
	if (poll_next(en, m, true, POLL_INTERVAL_MS))
		poll_next(en, m, true, POLL_INTERVAL_MS);
}

/*
 * Polls endpoints that are not ready, until they are. Also polls one ready
 * endpoint of a model in use: its requests may all be in the queue while no new
 * one arrives and triggers a poll.
 */
void ent_poll_model(struct entry *en, struct ent_model *m)
{
	int i;

	for (i = 0; i < ROUTE_SUBSET; i++) {
		if (!poll_next(en, m, false, POLL_UNREADY_INTERVAL_MS))
			break;
	}
	if (ent_now(en) - atomic_load(&m->last_used_ms) < MODEL_IN_USE_MS)
		poll_next(en, m, true, POLL_INTERVAL_MS);
}
