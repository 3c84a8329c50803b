/*
 * Load reports: asking the followed endpoints for their state.
 */
#include "entry/entry_internal.h"

#include <stdlib.h>
#include <string.h>

#define POLL_GAP_MS 250	     /* the same endpoint, at most so often */
#define POLL_UNREADY_MS 1000 /* one that is not ready yet */
#define POLL_USED_MS 5000    /* a model counts as in use for so long */
#define POLL_TIMEOUT_MS 1500

/* An endpoint that failed is left alone for a while. */
#define AVOID_MS 1000

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

static void take_state(struct route_endpoint *ep, const struct ent_model *m,
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
	 * Events that fell out of the report, or a count that went back, may
	 * hide evictions: what was learned before counts no more.
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
			take_state(ep, p->m, &s, now);
		} else {
			ep->avoid_until_ms = now + AVOID_MS;
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
 * The followed endpoint whose load was asked for longest ago, at least
 * `gap_ms`; NULL if there is none. Lock held.
 */
static struct route_endpoint *oldest(struct ent_model *m, bool ready,
				     int64_t gap_ms, int64_t now)
{
	struct route_endpoint *const *sub, *best = NULL;
	const size_t n = route_subset(m->table, &sub);
	size_t i;

	for (i = 0; i < n; i++) {
		if (sub[i]->ready != ready || sub[i]->leaving ||
		    (sub[i]->polled_ms && now - sub[i]->polled_ms < gap_ms))
			continue;
		if (!best || sub[i]->polled_ms < best->polled_ms)
			best = sub[i];
	}
	return best;
}

static bool poll_one(struct entry *en, struct ent_model *m, bool ready,
		     int64_t gap_ms)
{
	const int64_t now = ent_now(en);
	struct route_endpoint *ep;
	char address[64];
	uint64_t id = 0;

	pthread_mutex_lock(&m->lock);
	ep = oldest(m, ready, gap_ms, now);
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
 * Load is asked for as requests come, so that an idle model costs nothing:
 * each request asks two of the followed endpoints, for the next ones.
 */
void ent_poll_for_request(struct entry *en, struct ent_model *m)
{
	atomic_store(&m->last_used_ms, ent_now(en));
	if (poll_one(en, m, true, POLL_GAP_MS))
		poll_one(en, m, true, POLL_GAP_MS);
}

/* Those that are not ready are looked after until they are; a model in use
 * is asked now and then even if its requests only wait. */
void ent_poll_model(struct entry *en, struct ent_model *m)
{
	int i;

	for (i = 0; i < ROUTE_SUBSET; i++) {
		if (!poll_one(en, m, false, POLL_UNREADY_MS))
			break;
	}
	if (ent_now(en) - atomic_load(&m->last_used_ms) < POLL_USED_MS)
		poll_one(en, m, true, POLL_GAP_MS);
}
