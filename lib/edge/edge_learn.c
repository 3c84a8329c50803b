/* Fits the services' latency models (svc.h) to endpoints' answers. */
#include <assert.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "edge/edge_internal.h"

struct svc *edge_service_model(struct edge *en, const char *service)
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

/* Logs the model if it changed considerably since the last line. */
static void log_model_change(struct edge *en, struct svc *s)
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

static void observe_error(struct edge_req *r, double took_ms)
{
	met_observe(r->en->m.prediction_error_ms,
		    (int64_t)fabs(took_ms - r->predicted_ms));
}

/* Does not learn from versions on trial, which may be rolled back. */
static bool may_learn(const struct edge_req *r)
{
	return r->en->conf->policy.learn && r->endpoint->use == FLT_IN_USE;
}

void edge_learn_offered(struct edge_req *r, const struct pick_result *p)
{
	struct edge *en = r->en;
	struct svc *s = edge_service_model(en, r->service->name);

	if (r->offered)
		return;
	r->offered = true;
	ofd_arrived(&s->offered,
		    p->endpoint ? p->state.tokens_to_prefill
				: r->attempt.prompt_tokens -
					  r->attempt.prefix_tokens,
		    edge_now(en));
}

void edge_learn_first_event(struct edge_req *r)
{
	const double took = (double)(edge_now(r->en) - r->sent_ms);

	/* A copy has no prefill; a resumed run prefills its events as well. */
	if (r->rq.at_copy || r->rq.started)
		return;
	observe_error(r, took);
	edge_speed_first_event(r, took);
	if (!may_learn(r))
		return;
	svc_on_ttft(r->model, &r->endpoint_state, took / edge_speed_factor(r),
		    r->prefill_known);
	if (r->prefill_known)
		ofd_prefilled(&r->model->offered,
			      r->endpoint_state.tokens_to_prefill, took);
	log_model_change(r->en, r->model);
}

/* Mean time between two events of a stream; -1: it had less than two. */
static double mean_between_ms(const struct edge_req *r, int64_t now)
{
	if (!r->streaming || r->events.events < 2)
		return -1;
	return (double)(now - r->first_event_ms) /
	       (double)(r->events.events - 1);
}

void edge_learn_completed(struct edge_req *r)
{
	const int64_t now = edge_now(r->en);
	const double took = (double)(now - r->sent_ms);
	const double between = mean_between_ms(r, now);

	edge_stop_learn(r);
	if (!r->streaming)
		observe_error(r, took);
	/* The first part of a resumed stream ran at another endpoint. */
	if (r->streaming && r->sends > 1)
		return;
	if (r->streaming)
		edge_speed_completed(r, between);
	if (!may_learn(r))
		return;
	if (between >= 0)
		svc_on_itl(r->model, &r->endpoint_state,
			   between / edge_speed_factor(r));
	svc_on_run_end(r->model, &r->endpoint_state, took);
	log_model_change(r->en, r->model);
}
