/* Time factors of endpoints (speed.h): samples, gossip and log lines. */
#include <assert.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "edge/edge_internal.h"

/*
 * Answers that a service's model must be based on before endpoints are compared
 * with it. Before, it is mostly a prior, by which all endpoints are too slow or
 * too fast.
 */
#define MIN_MODEL_SAMPLES 20.0

/* ---- Samples ---- */

static bool has_free_slot(const struct svc_state *at)
{
	return !(at->slots > 0) || at->running < at->slots;
}

/* The wait for a slot depends on other requests, not on the endpoint. */
static bool may_measure(const struct edge_req *r)
{
	return r->en->conf->policy.speeds && r->en->conf->policy.learn &&
	       has_free_slot(&r->endpoint_state);
}

double edge_speed_factor(const struct edge_req *r)
{
	return r->en->conf->policy.speeds ? spd_factor(&r->endpoint->speed) : 1;
}

void edge_speed_first_event(struct edge_req *r, double took_ms)
{
	if (!may_measure(r) || !r->prefill_known ||
	    r->model->ttft.samples < MIN_MODEL_SAMPLES)
		return;
	spd_took(&r->endpoint->speed, took_ms,
		 svc_ttft_ms(r->model, &r->endpoint_state), edge_now(r->en));
}

void edge_speed_completed(struct edge_req *r, double between_ms)
{
	if (!may_measure(r) || r->model->itl.samples < MIN_MODEL_SAMPLES)
		return;
	if (between_ms > 0)
		spd_took(&r->endpoint->speed, between_ms,
			 svc_itl_ms(r->model, &r->endpoint_state),
			 edge_now(r->en));
	if (r->route->gap_ms > 0)
		spd_stream_ended(&r->endpoint->speed,
				 r->max_pause_ms > r->route->gap_ms,
				 edge_now(r->en));
}

/* ---- Factors ---- */

static void log_factor(struct edge *en, const struct flt_endpoint *e,
		       double former)
{
	jlog_begin(en->log, JLOG_INFO, "endpoint_speed");
	jlog_str(en->log, "endpoint", e->info.id);
	jlog_str(en->log, "service", e->info.service);
	jlog_num(en->log, "factor", spd_factor(&e->speed));
	jlog_num(en->log, "former", former > 0 ? former : 1);
	jlog_num(en->log, "measured", e->speed.measured);
	jlog_num(en->log, "pause_rate", e->speed.pause_rate);
	jlog_int(en->log, "age_ms",
		 e->speed.newest_ms ? edge_now(en) - e->speed.newest_ms : -1);
	jlog_int(en->log, "running", e->running);
	jlog_num(en->log, "peer_running", e->peer_running);
	jlog_end(en->log);
}

/* Updates the endpoints of a service; `measured` has room for all endpoints. */
static void update_service(struct edge *en, const char *service,
			   double *measured, int64_t now)
{
	struct flt_endpoint *e;
	double usual, former;
	size_t n = 0;

	cds_list_for_each_entry(e, &en->fleet.endpoints, node) {
		if (strcmp(e->info.service, service))
			continue;
		spd_update(&e->speed, now);
		if (flt_in_service(e, now))
			measured[n++] = e->speed.measured;
	}
	usual = spd_usual(measured, n);
	cds_list_for_each_entry(e, &en->fleet.endpoints, node) {
		if (strcmp(e->info.service, service))
			continue;
		spd_set_usual(&e->speed, usual, now);
		former = e->speed.logged_factor;
		if (spd_should_log(&e->speed))
			log_factor(en, e, former);
	}
}

void edge_speed_tick(struct edge *en, int64_t now)
{
	double *measured;
	struct svc *s;

	if (!en->conf->policy.speeds || !en->fleet.count)
		return;
	measured = malloc(en->fleet.count * sizeof(*measured));
	assert(measured);
	cds_list_for_each_entry(s, &en->models, node)
		update_service(en, s->name, measured, now);
	free(measured);
}

unsigned edge_speed_count_slow(const struct edge *en)
{
	const struct flt_endpoint *e;
	unsigned n = 0;

	cds_list_for_each_entry(e, &en->fleet.endpoints, node)
		n += spd_is_slow(&e->speed);
	return n;
}

/* ---- Gossip ---- */

/* A row that may be sent. */
struct candidate {
	uint64_t endpoint;
	struct spd_row row;
};

static int by_difference(const void *a, const void *b)
{
	const double x = spd_difference(&((const struct candidate *)a)->row);
	const double y = spd_difference(&((const struct candidate *)b)->row);

	return (x < y) - (x > y);
}

/*
 * Rows that differ most are always sent, in half of the space if there are more
 * than fit; the others take turns in the other half.
 */
static void add_rows(struct edge *en, struct gsp_record *r,
		     const struct candidate *all, size_t n)
{
	const size_t always = n > GSP_MAX_SPEEDS ? GSP_MAX_SPEEDS / 2 : n;
	size_t i, k;

	for (i = 0; i < n && r->nr_speeds < GSP_MAX_SPEEDS; i++) {
		k = i < always ? i
			       : always + (en->speeds_from + i - always) %
						  (n - always);
		r->speeds[r->nr_speeds++] = (struct gsp_speed){
			.endpoint = all[k].endpoint,
			.time_factor = all[k].row.factor,
			.pause_rate = all[k].row.pause_rate,
			.samples = all[k].row.samples,
			.age_ms = (uint32_t)all[k].row.age_ms,
		};
	}
	en->speeds_from = n > always ? (en->speeds_from + r->nr_speeds -
					(unsigned)always) %
					       (unsigned)(n - always)
				     : 0;
	if (n > r->nr_speeds)
		met_add(en->m.gossip_rows_cut, (long long)(n - r->nr_speeds));
}

void edge_speed_fill_gossip(struct edge *en, struct gsp_record *r, int64_t now)
{
	struct candidate *all;
	struct flt_endpoint *e;
	size_t n = 0;

	if (!en->conf->policy.speeds || !en->fleet.count)
		return;
	all = malloc(en->fleet.count * sizeof(*all));
	assert(all);
	cds_list_for_each_entry(e, &en->fleet.endpoints, node) {
		if (!spd_export(&e->speed, &all[n].row, now))
			continue;
		all[n++].endpoint = e->hash;
	}
	qsort(all, n, sizeof(*all), by_difference);
	add_rows(en, r, all, n);
	free(all);
}

void edge_speed_apply_gossip(struct edge *en, uint64_t source,
			     const struct gsp_record *r, int64_t sent_ms,
			     int64_t now)
{
	struct flt_endpoint *e;
	unsigned i;

	if (!en->conf->policy.speeds)
		return;
	for (i = 0; i < r->nr_speeds; i++) {
		const struct gsp_speed *s = &r->speeds[i];
		const struct spd_row row = { s->time_factor, s->pause_rate,
					     s->samples, s->age_ms };

		e = flt_find_by_hash(&en->fleet, s->endpoint);
		if (e)
			spd_reported(&e->speed, source, &row, sent_ms, now);
	}
}
