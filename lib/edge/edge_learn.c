/* What answers show of the endpoints: samples for the services' models. */
#include <assert.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "edge/edge_internal.h"

struct svc *edge_model(struct edge *en, const char *service)
{
	struct svc *s;

	cds_list_for_each_entry(s, &en->models, node) {
		if (!strcmp(s->name, service))
			return s;
	}
	s = calloc(1, sizeof(*s));
	assert(s);
	svc_init(s, service);
	cds_list_add_tail(&s->node, &en->models);
	return s;
}

static void log_moved(struct edge *en, struct svc *s)
{
	if (!svc_should_log(s))
		return;
	jlog_begin(en->log, JLOG_INFO, "belief");
	jlog_str(en->log, "service", s->name);
	jlog_num(en->log, "read_ms_per_1000_tokens", svc_prefill_ms(s, 1000));
	jlog_num(en->log, "first_fixed_ms", s->ttft.coef[SVC_FIXED_MS]);
	jlog_num(en->log, "first_samples", s->ttft.samples);
	jlog_num(en->log, "run_ms", s->run_ms);
	jlog_num(en->log, "runs_seen", s->run_samples);
	jlog_end(en->log);
}

static void note_error(struct edge_req *r, double took_ms)
{
	met_observe(r->en->m.prediction_error_ms,
		    (int64_t)fabs(took_ms - r->expected_ms));
}

/* A version on trial may be rolled back, so the model does not learn from it. */
static bool learns(const struct edge_req *r)
{
	return r->en->conf->policy.learn && r->endpoint->use == FLT_IN_USE;
}

void edge_learn_first(struct edge_req *r)
{
	const double took = (double)(edge_now(r->en) - r->sent_ms);

	/* From a copy nothing is read, and a resumed run reads its events. */
	if (r->rq.at_copy || r->rq.started)
		return;
	note_error(r, took);
	if (!learns(r))
		return;
	svc_on_ttft(r->model, &r->at, took, r->sure);
	log_moved(r->en, r->model);
}

void edge_learn_end(struct edge_req *r)
{
	const int64_t now = edge_now(r->en);
	const double took = (double)(now - r->sent_ms);

	if (!r->streaming)
		note_error(r, took);
	if (!learns(r))
		return;
	/* Of a resumed stream the first part ran elsewhere. */
	if (r->streaming && r->sends > 1)
		return;
	if (r->streaming && r->events.events > 1)
		svc_on_itl(r->model, r->at.running,
			   (double)(now - r->first_ms) /
				   (double)(r->events.events - 1));
	svc_on_run_end(r->model, &r->at, took);
	log_moved(r->en, r->model);
}
