/*
 * Placement duty: decides for each service how many instances of which offer
 * to run, and which model each engine serves. place/plan.h makes the
 * decisions. An order states the desired state and is compared with the state
 * that the engine reports (level-triggered), so it is harmless to send one
 * twice, late, or after a previous holder has sent it.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/hsh.h"
#include "base/rnd.h"
#include "control/control_internal.h"

/* Interval between iterations of the thread. */
#define TICK_MS 500

/* Minimum intervals of a service's placement rounds and of reading offers. */
#define ROUND_INTERVAL_MS 1000
#define OFFERS_INTERVAL_MS 3000

/* Timeout of a state query or an order to an engine. */
#define ENGINE_TIMEOUT_MS 500

/* Processes that compete for a duty's lease: the holder and one standby. */
#define CANDIDATES_PER_DUTY 2

/* Fraction of the price that a move must save (see place/plan.h). */
#define STAY_BONUS 0.15

/* During a rollout, 1/4 of the replicas, plus one, may change version at the
 * same time. */
#define ROLLOUT_DIVISOR 4

/* An instance of the platform's list and the state that its engine reports. */
struct observed_instance {
	struct cloud_instance in;
	struct engine_state state;
	bool reported; /* `state` was read */
};

/* Placement of one service. */
struct ctl_placement {
	struct ctl_duty duty;
	char service[DOC_NAME_MAX];
	/* Per model of the document, the same offers in the same order. */
	struct plan_offer offers[DOC_MAX_MODELS][PLAN_MAX_OFFERS];
	size_t nr_offers;
	int64_t offers_read_ms;
	int64_t last_round_ms;
	double weights_mb_per_s; /* of the weight store; -1: unknown */
	char start_token[96]; /* idempotency token of a start without a reply */
	size_t token_offer, token_model; /* indexes into `offers` */
	uint64_t next_token;
};

/* ---- Offers and instances ---- */

static bool zone_allowed(const struct doc *d, const char *zone)
{
	size_t i;

	for (i = 0; i < d->nr_zones; i++) {
		if (!strcmp(d->zones[i], zone))
			return true;
	}
	return false;
}

static void fill_offer(struct plan_offer *o, const struct cloud_offer *f,
		       const struct doc_class *k)
{
	str_copy(o->zone, f->zone, sizeof(o->zone));
	str_copy(o->class_name, f->class_name, sizeof(o->class_name));
	o->reclaimable = f->reclaimable;
	o->price_per_h = f->price_per_h;
	o->reclaims_per_h = f->reclaims_per_h;
	o->capacity = k->tokens_per_s;
}

static struct plan_offer *find_offer(struct plan_offer *rows, size_t n,
				     const char *zone, const char *class_name,
				     bool reclaimable)
{
	size_t i;

	for (i = 0; i < n; i++) {
		if (!strcmp(rows[i].zone, zone) &&
		    !strcmp(rows[i].class_name, class_name) &&
		    rows[i].reclaimable == reclaimable)
			return &rows[i];
	}
	return NULL;
}

/* Updates the prices of known offers and appends new offers. The backoff state
 * of an offer is kept. */
static void read_offers(struct control *c, struct ctl_placement *p,
			const struct doc *d)
{
	struct cloud_offer rows[PLAN_MAX_OFFERS];
	struct err e = ERR_INIT;
	size_t n, i, m;

	if (c->cloud->vt->offers(c->cloud, rows, PLAN_MAX_OFFERS, &n, &e))
		return;
	for (i = 0; i < n; i++) {
		const struct doc_class *k =
			doc_find_class(d, rows[i].class_name);

		if (!k || !zone_allowed(d, rows[i].zone))
			continue;
		for (m = 0; m < DOC_MAX_MODELS; m++) {
			struct plan_offer *o = find_offer(
				p->offers[m], p->nr_offers, rows[i].zone,
				rows[i].class_name, rows[i].reclaimable);

			if (!o && p->nr_offers < PLAN_MAX_OFFERS)
				o = &p->offers[m][p->nr_offers];
			if (o)
				fill_offer(o, &rows[i], k);
		}
		if (p->nr_offers < PLAN_MAX_OFFERS &&
		    *p->offers[0][p->nr_offers].zone)
			p->nr_offers++;
	}
}

static void read_state(struct control *c, struct observed_instance *s)
{
	HCL_REPLY_AUTO r = HCL_REPLY_INIT;
	struct err e = ERR_INIT;

	s->reported =
		!hcl_json(c->hcl, "GET", s->in.address, "/v1/state", NULL,
			  ENGINE_TIMEOUT_MS, &r, &e) &&
		r.status == 200 &&
		!engine_read_state(buf_cstr(&r.body), r.body.len, &s->state);
}

/* Returns the service's engine instances that are starting or running; the
 * caller frees the array. `*ok`: the platform's list was read. */
static struct observed_instance *
read_instances(struct control *c, const char *service, size_t *n, bool *ok)
{
	struct cloud_list list = { 0 };
	struct observed_instance *out;
	struct err e = ERR_INIT;
	size_t i;

	*n = 0;
	*ok = !c->cloud->vt->list(c->cloud, &list, &e);
	out = mem_new(list.nr * sizeof(*out));
	for (i = 0; *ok && i < list.nr; i++) {
		const struct cloud_instance *in = &list.rows[i];

		if (strcmp(in->service, service) ||
		    strcmp(in->kind, "engine") ||
		    (in->state != CLOUD_STARTING && in->state != CLOUD_RUNNING))
			continue;
		out[*n].in = *in;
		if (in->state == CLOUD_RUNNING)
			read_state(c, &out[*n]);
		(*n)++;
	}
	free(list.rows);
	return out;
}

/* ---- Starts and stops ---- */

static void count_instances(struct ctl_placement *p, size_t m,
			    const struct doc_model *model,
			    const struct observed_instance *s, size_t n)
{
	size_t i;

	for (i = 0; i < p->nr_offers; i++)
		p->offers[m][i].have = p->offers[m][i].ready = 0;
	for (i = 0; i < n; i++) {
		struct plan_offer *o;

		if (strcmp(s[i].in.role, model->name))
			continue;
		o = find_offer(p->offers[m], p->nr_offers, s[i].in.zone,
			       s[i].in.class_name, s[i].in.reclaimable);
		if (!o)
			continue;
		o->have++;
		o->ready += s[i].reported && s[i].state.ready &&
			    !strcmp(s[i].state.model, model->name);
	}
}

static void log_plan(const struct ctl_placement *p, const struct doc_model *m,
		     const struct plan_offer *o, const char *what,
		     const char *why)
{
	log_line(LOG_LEVEL_INFO, "place",
		 "service=%s model=%s step=%s zone=%s class=%s market=%s "
		 "price=%.3f have=%lld want=%lld ready=%lld reason=%s",
		 p->service, m->name, what, o->zone, o->class_name,
		 o->reclaimable ? "reclaimable" : "on-demand", o->price_per_h,
		 (long long)o->have, (long long)o->want, (long long)o->ready,
		 why);
}

/* Starts an instance on offer `o` for model `m`. If the reply is lost, the next
 * start of the same offer and model passes the same idempotency token, so it
 * has no effect if the first call succeeded. */
static void start_instance(struct control *c, struct ctl_placement *p,
			   const struct doc_model *model, size_t m,
			   struct plan_offer *o)
{
	struct cloud_instance want = { .reclaimable = o->reclaimable };
	struct err e = ERR_INIT;

	str_copy(want.zone, o->zone, sizeof(want.zone));
	str_copy(want.class_name, o->class_name, sizeof(want.class_name));
	str_copy(want.service, p->service, sizeof(want.service));
	str_copy(want.kind, "engine", sizeof(want.kind));
	str_copy(want.role, model->name, sizeof(want.role));
	if (!*p->start_token || p->token_model != m ||
	    p->token_offer != (size_t)(o - p->offers[m])) {
		snprintf(p->start_token, sizeof(p->start_token),
			 "%.40s-%llu-%llu", p->service,
			 (unsigned long long)p->duty.duty.fence,
			 (unsigned long long)p->next_token++);
		p->token_model = m;
		p->token_offer = (size_t)(o - p->offers[m]);
	}
	if (!c->cloud->vt->start(c->cloud, p->start_token, &want, &e)) {
		plan_launch_succeeded(o);
		p->start_token[0] = '\0';
		log_plan(p, model, o, "start", "below-plan");
	} else if (e.code == ERR_FULL) {
		plan_launch_refused(o, ctl_now(c));
		p->start_token[0] = '\0';
		log_plan(p, model, o, "start", "refused");
	} else {
		log_plan(p, model, o, "start", "no-answer");
	}
}

/* Stops one instance of offer `o`: the one with the fewest running requests,
 * and one that isn't ready before any that is. */
static void stop_instance(struct control *c, struct ctl_placement *p,
			  const struct doc_model *model, struct plan_offer *o,
			  const struct observed_instance *s, size_t n)
{
	const struct observed_instance *pick = NULL;
	struct err e = ERR_INIT;
	size_t i;

	for (i = 0; i < n; i++) {
		if (strcmp(s[i].in.role, model->name) ||
		    strcmp(s[i].in.zone, o->zone) ||
		    strcmp(s[i].in.class_name, o->class_name) ||
		    s[i].in.reclaimable != o->reclaimable)
			continue;
		if (!pick || (pick->state.ready && !s[i].state.ready) ||
		    (pick->state.ready == s[i].state.ready &&
		     s[i].state.running < pick->state.running))
			pick = &s[i];
	}
	if (!pick)
		return;
	c->cloud->vt->stop(c->cloud, pick->in.id, &e);
	log_plan(p, model, o, "stop", pick->in.id);
}

/* Plans one model and carries out one step at most: a start or a stop. */
static void plan_model(struct control *c, struct ctl_placement *p,
		       const struct doc *d, size_t m,
		       const struct observed_instance *s, size_t n)
{
	const struct doc_model *model = &d->models[m];
	const struct plan_need need = {
		.demand = model->demand_tokens_per_s,
		.min_replicas = model->min_replicas,
		.max_replicas = model->max_replicas,
		.survive_zone_loss = d->survive_zone_loss,
		.allow_reclaimable = d->allow_reclaimable,
		.recompute_cost = 0.01 * d->recompute_weight,
		.incumbent_discount = STAY_BONUS,
	};
	struct plan_offer *offers = p->offers[m];
	struct plan_step step;

	count_instances(p, m, model, s, n);
	plan_solve(&need, offers, p->nr_offers, ctl_now(c));
	step = plan_next(&need, offers, p->nr_offers, ctl_now(c));
	if (!duty_may_act_unfenced(&p->duty.duty, ctl_now(c)))
		return;
	if (step.kind == PLAN_LAUNCH)
		start_instance(c, p, model, m, &offers[step.offer]);
	else if (step.kind == PLAN_RETIRE)
		stop_instance(c, p, model, &offers[step.offer], s, n);
}

/* ---- Orders ---- */

static void fill_order(const struct doc_model *m, uint64_t fence,
		       struct engine_order *o)
{
	memset(o, 0, sizeof(*o));
	str_copy(o->model, m->name, sizeof(o->model));
	str_copy(o->version, m->version, sizeof(o->version));
	str_copy(o->role, "serve", sizeof(o->role));
	memcpy(o->adapters, m->adapters, sizeof(o->adapters));
	o->nr_adapters = m->nr_adapters;
	o->fence = fence;
}

static void send_order(struct control *c, const struct observed_instance *s,
		       const struct engine_order *o)
{
	HCL_REPLY_AUTO r = HCL_REPLY_INIT;
	BUF_AUTO body = BUF_INIT;
	struct err e = ERR_INIT;

	engine_print_order(o, &body);
	hcl_json(c->hcl, "PUT", s->in.address, "/v1/order", body.data,
		 ENGINE_TIMEOUT_MS, &r, &e);
	log_line(LOG_LEVEL_INFO, "place",
		 "order instance=%s model=%s version=%s fence=%llu status=%d",
		 s->in.id, o->model, o->version, (unsigned long long)o->fence,
		 r.status);
}

/* Target for the duration of a weight load, in seconds. Concurrent loads share
 * the weight store's rate. */
#define TARGET_LOAD_S 60.0

/* Returns how many engines may load weights at the same time without exceeding
 * TARGET_LOAD_S at the weight store's rate; at least 1, and 1 if that rate is
 * unknown. */
static size_t loads_allowed(const struct ctl_placement *p,
			    const struct doc_model *m)
{
	const double n =
		p->weights_mb_per_s * TARGET_LOAD_S / (double)m->weights_mb;

	if (p->weights_mb_per_s < 0)
		return 1;
	return n < 1 ? 1 : (size_t)n;
}

/*
 * Sends orders to the engines whose state differs from the order. Engines
 * without a model are limited only by the weight store's rate; engines that
 * have one are changed a few at a time.
 */
static void order_model(struct control *c, struct ctl_placement *p,
			const struct doc *d, size_t m,
			const struct observed_instance *s, size_t n)
{
	const size_t loads = loads_allowed(p, &d->models[m]);
	size_t serving = 0, busy = 0, allowed, i;
	struct engine_order o;

	fill_order(&d->models[m], p->duty.duty.fence, &o);
	for (i = 0; i < n; i++) {
		if (strcmp(s[i].in.role, d->models[m].name) || !s[i].reported)
			continue;
		serving++;
		busy += !s[i].state.ready;
	}
	allowed = serving / ROLLOUT_DIVISOR + 1;
	for (i = 0; i < n; i++) {
		const struct doc_class *k =
			doc_find_class(d, s[i].in.class_name);
		const bool fenced = k && k->checks_fence;
		const int64_t now = ctl_now(c);

		if (strcmp(s[i].in.role, d->models[m].name) || !s[i].reported ||
		    engine_matches_order(&s[i].state, &o))
			continue;
		if (fenced ? !duty_may_act(&p->duty.duty, now)
			   : !duty_may_act_unfenced(&p->duty.duty, now))
			continue;
		if (busy >= loads || (*s[i].state.model && busy >= allowed))
			continue;
		busy++;
		send_order(c, &s[i], &o);
	}
}

/* ---- Rounds ---- */

/* Reads the weight store's rate in MB/s; -1 if the call fails. */
static void read_weight_rate(struct control *c, struct ctl_placement *p)
{
	struct err e = ERR_INIT;

	if (c->cloud->vt->weight_rate(c->cloud, &p->weights_mb_per_s, &e))
		p->weights_mb_per_s = -1;
}

static void run_round(struct control *c, struct ctl_placement *p,
		      const struct doc *d)
{
	struct observed_instance *s;
	size_t n, m;
	bool ok;

	if (ctl_now(c) - p->offers_read_ms >= OFFERS_INTERVAL_MS ||
	    !p->nr_offers) {
		p->offers_read_ms = ctl_now(c);
		read_offers(c, p, d);
		read_weight_rate(c, p);
	}
	s = read_instances(c, p->service, &n, &ok);
	/* Without the list, a plan would start instances that exist already. */
	for (m = 0; ok && m < d->nr_models; m++) {
		plan_model(c, p, d, m, s, n);
		order_model(c, p, d, m, s, n);
	}
	free(s);
}

static struct ctl_placement *find_or_add_placement(struct control *c,
						   const char *service)
{
	struct ctl_placement *p;
	char name[80];
	size_t i;

	for (i = 0; i < c->nr_placements; i++) {
		if (!strcmp(c->placements[i]->service, service))
			return c->placements[i];
	}
	if (c->nr_placements == CTL_MAX_SERVICES)
		return NULL;
	p = mem_new(sizeof(*p));
	str_copy(p->service, service, sizeof(p->service));
	snprintf(name, sizeof(name), "place/%s", service);
	ctl_duty_init(c, &p->duty, name);
	c->placements[c->nr_placements++] = p;
	return p;
}

bool ctl_is_candidate(struct control *c, struct json_object *members,
		      const char *duty)
{
	struct json_object *rows = jsn_get(members, "members");
	const uint64_t key = hsh_str(duty, 41);
	const uint64_t own_score = hsh_rendezvous(key, hsh_str(c->set.name, 0));
	size_t nr_ranked_higher = 0, i;

	for (i = 0; i < jsn_len(rows); i++) {
		struct json_object *m = json_object_array_get_idx(rows, i);
		const char *name = jsn_str(m, "name", "");

		if (jsn_int(m, "state", 3) != 0 || !strcmp(name, c->set.name))
			continue;
		nr_ranked_higher += hsh_rendezvous(key, hsh_str(name, 0)) >
				    own_score;
	}
	return nr_ranked_higher < CANDIDATES_PER_DUTY;
}

/* Runs a placement round of the service that `item`, a document, describes, if
 * this process holds the duty and a round is due. */
static void run_service(struct control *c, struct json_object *item,
			struct json_object *members)
{
	const char *text = jsn_str(jsn_get(item, "body"), "text", "");
	struct err e = ERR_INIT;
	struct doc *d = doc_parse("document", text, &e);
	struct ctl_placement *p = d ? find_or_add_placement(c, d->service)
				    : NULL;

	if (p &&
	    (ctl_is_candidate(c, members, d->service) || p->duty.duty.fence)) {
		ctl_duty_step(c, &p->duty);
		if (duty_may_act(&p->duty.duty, ctl_now(c)) &&
		    ctl_now(c) - p->last_round_ms >= ROUND_INTERVAL_MS) {
			p->last_round_ms = ctl_now(c);
			run_round(c, p, d);
		}
	}
	doc_free(d);
}

void *ctl_placement_run(void *arg)
{
	struct control *c = arg;

	while (!atomic_load(&c->stopping)) {
		JSN_AUTO *docs = ctl_query_entry(c, "items doc/");
		JSN_AUTO *members = ctl_query_entry(c, "members");
		struct json_object *rows = jsn_get(docs, "items");
		size_t i;

		for (i = 0; i < jsn_len(rows); i++)
			run_service(c, json_object_array_get_idx(rows, i),
				    members);
		clk_sleep_ms(TICK_MS);
	}
	return NULL;
}

void ctl_placement_free(struct control *c)
{
	size_t i;

	for (i = 0; i < c->nr_placements; i++) {
		ctl_duty_release(c, &c->placements[i]->duty);
		free(c->placements[i]);
	}
}
