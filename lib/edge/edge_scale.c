/*
 * Scaling by the duty holder: plans the number of endpoints of each service and
 * zone (scale.h), and orders these numbers from the platform.
 */
#include <assert.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "edge/edge_duty_internal.h"
#include "edge/edge_rollout.h"

/*
 * Endpoints of an accepted order that are not listed this long after their
 * start-up time (scaling.boot_ms) count as missing and are ordered again.
 */
#define START_MARGIN_MS 1000

/* Delay before the next order after a zone had no capacity (status 409). */
#define NO_CAPACITY_RETRY_MS 2500

/* ---- Orders ---- */

/*
 * Returns the orders for one kind of endpoints of a service in a zone, created
 * on first use. The pointer is valid until others are created.
 */
static struct edge_scale_order *get_order(struct edge_duty *d,
					  const char *service, const char *zone,
					  bool reclaimable)
{
	struct edge_scale_order *o;
	size_t i;

	for (i = 0; i < d->nr_orders; i++) {
		o = &d->orders[i];
		if (o->reclaimable == reclaimable &&
		    !strcmp(o->service, service) && !strcmp(o->zone, zone))
			return o;
	}
	d->orders = realloc(d->orders, (d->nr_orders + 1) * sizeof(*o));
	assert(d->orders);
	o = &d->orders[d->nr_orders++];
	memset(o, 0, sizeof(*o));
	str_copy(o->service, service, sizeof(o->service));
	str_copy(o->zone, zone, sizeof(o->zone));
	o->reclaimable = reclaimable;
	o->accepted_number = -1;
	return o;
}

/* Returns the plan of a service, created on first use; valid as get_order. */
static struct edge_plan *get_plan(struct edge_duty *d, const char *service,
				  int64_t now)
{
	const struct saved_plan_row *former;
	struct edge_plan *plan;
	size_t i;

	for (i = 0; i < d->nr_plans; i++) {
		if (!strcmp(d->plans[i].service, service))
			return &d->plans[i];
	}
	d->plans = realloc(d->plans, (d->nr_plans + 1) * sizeof(*plan));
	assert(d->plans);
	plan = &d->plans[d->nr_plans++];
	memset(plan, 0, sizeof(*plan));
	str_copy(plan->service, service, sizeof(plan->service));
	plan->on_demand_held_ms = now;
	/* Continues the plan of the former holder, from the store. */
	former = d->en->conf->policy.carry_plan
			 ? saved_plan_find(&d->en->plan, service)
			 : NULL;
	if (former) {
		plan->need = former->need;
		plan->on_demand_held = former->on_demand_held;
	}
	jlog_begin(d->en->log, JLOG_INFO, "plan_begun");
	jlog_str(d->en->log, "service", service);
	jlog_bool(d->en->log, "carried", former != NULL);
	jlog_num(d->en->log, "need", plan->need.need);
	jlog_num(d->en->log, "usual", plan->need.baseline);
	jlog_int(d->en->log, "fence", d->en->lead.fence);
	jlog_end(d->en->log);
	return plan;
}

void edge_scale_reset(struct edge_duty *d)
{
	free(d->orders);
	free(d->plans);
	d->orders = NULL;
	d->plans = NULL;
	d->nr_orders = 0;
	d->nr_plans = 0;
	d->order_in_flight = NULL;
}

void edge_scale_reset_orders(struct edge_duty *d, const char *service)
{
	size_t i;

	for (i = 0; i < d->nr_orders; i++) {
		if (!strcmp(d->orders[i].service, service))
			d->orders[i].accepted_number = -1;
	}
}

double edge_scale_need(const struct edge_duty *d, const char *service)
{
	size_t i;

	for (i = 0; i < d->nr_plans; i++) {
		if (!strcmp(d->plans[i].service, service))
			return d->plans[i].need.need;
	}
	return 0;
}

double edge_scale_offered(const struct edge_duty *d, const char *service)
{
	size_t i;

	for (i = 0; i < d->nr_plans; i++) {
		if (!strcmp(d->plans[i].service, service))
			return d->plans[i].offered.requests_per_s;
	}
	return 0;
}

static void send_order(struct edge_duty *d, struct edge_scale_order *o,
		       const struct scale_zone *z, int number)
{
	struct edge *en = d->en;
	const struct wire_duty w = edge_duty_wire(en);
	const struct edge_plan *plan = get_plan(d, o->service, edge_now(en));
	struct buf wire = BUF_INIT;

	if (!edge_duty_may_act(en) || d->call_in_flight)
		return;
	/* An order states the number of endpoints of all versions. */
	en->wire->encode_scale(&w, o->service, o->zone, o->reclaimable,
			       number + (o->reclaimable
						 ? z->spot_other_version
						 : z->on_demand_other_version),
			       &wire);
	d->order_in_flight = o;
	d->ordered_number = number;
	met_inc(en->m.scale_orders);
	jlog_begin(en->log, JLOG_INFO, "order");
	jlog_str(en->log, "service", o->service);
	jlog_str(en->log, "zone", o->zone);
	jlog_bool(en->log, "reclaimable", o->reclaimable);
	jlog_int(en->log, "before", o->accepted_number);
	jlog_int(en->log, "number", number);
	jlog_int(en->log, "there", o->reclaimable ? z->spot : z->on_demand);
	jlog_int(en->log, "apart",
		 o->reclaimable ? z->spot_other_version
				: z->on_demand_other_version);
	jlog_int(en->log, "starting",
		 o->reclaimable ? z->spot_starting : z->on_demand_starting);
	jlog_int(en->log, "beside", o->reclaimable ? z->on_demand : z->spot);
	jlog_num(en->log, "need", plan->need.need);
	jlog_num(en->log, "load", plan->load);
	jlog_int(en->log, "usable", plan->usable);
	jlog_num(en->log, "offered_per_s", plan->offered.requests_per_s);
	jlog_num(en->log, "offered_prefill_per_s", plan->offered.prefill_per_s);
	jlog_num(en->log, "prefill_ms", ofd_prefill_ms(&plan->offered));
	jlog_int(en->log, "fence", en->lead.fence);
	jlog_end(en->log);
	d->call_is_order = edge_duty_call(d, &wire);
	if (!d->call_is_order)
		d->order_in_flight = NULL;
}

void edge_scale_order_ended(struct edge_duty *d, int status)
{
	struct edge_scale_order *o = d->order_in_flight;
	const int64_t now = edge_now(d->en);

	d->order_in_flight = NULL;
	if (!o)
		return;
	if (status == 200) {
		o->accepted_number = d->ordered_number;
		o->accepted_ms = now;
		return;
	}
	jlog_begin(d->en->log, JLOG_INFO, "order_refused");
	jlog_str(d->en->log, "zone", o->zone);
	jlog_bool(d->en->log, "reclaimable", o->reclaimable);
	jlog_int(d->en->log, "number", d->ordered_number);
	jlog_int(d->en->log, "status", status);
	jlog_end(d->en->log);
	o->retry_after_ms = now + (status == 409 ? NO_CAPACITY_RETRY_MS
						 : EDGE_DUTY_RETRY_MS);
}

/*
 * The initial need, until there is load, is the configured maximum of all zones
 * divided by this, so that the first burst finds enough endpoints with prompt
 * caches. The number of running endpoints is not used as an estimate, since
 * they register one after the other.
 */
#define FIRST_MAX_DIVISOR 6.0

/*
 * A new holder assumes that at least the number of running endpoints divided by
 * this is needed.
 */
#define FIRST_RUNNING_DIVISOR 3.0

/*
 * At the first start of the system, the initial need is bounded by what all
 * accounts together may send, and this ratio.
 */
#define FIRST_LIMITS_RATIO 1.5

/* The load of a service's endpoints, over all entries. */
struct edge_service_load {
	double runs;  /* requests in flight */
	int usable;   /* endpoints that get new requests */
	double slots; /* requests that one endpoint runs at once */
};

static struct edge_service_load sum_service_load(struct edge *en,
						 const char *service)
{
	struct edge_service_load w = { 0 };
	struct flt_endpoint *e;

	cds_list_for_each_entry(e, &en->fleet.endpoints, node) {
		if (strcmp(e->info.service, service) != 0)
			continue;
		w.runs += e->running + e->peer_running;
		w.slots = e->info.slots;
		w.usable += e->use == FLT_IN_USE &&
			    flt_in_service(e, edge_now(en));
	}
	return w;
}

/*
 * Adds up the load offered to all entries. False if an entry does not report
 * it, since its release does not measure it.
 */
static bool sum_offered(struct edge *en, const struct svc *s, int64_t now,
			struct ofd_sum *sum)
{
	struct ofd_report own;
	struct prs_peer *p;
	unsigned i;

	ofd_export(&s->offered, now, &own);
	ofd_add(sum, &own);
	cds_list_for_each_entry(p, &en->prs.core, role_node) {
		if (!p->last || !prs_alive(p, now))
			continue;
		if (!p->last->has_capacity)
			return false;
		for (i = 0; i < p->last->nr_services; i++) {
			if (p->last->services[i].estimates.service == s->hash)
				ofd_add(sum, &p->last->services[i].offered);
		}
	}
	return true;
}

/* Prompt tokens per second to be processed, of the requests at all entries. */
static double total_prefill_rate(struct edge *en, const struct svc *s,
				 int64_t now)
{
	double sum = svc_prefill_tokens_per_s(s, now);
	struct prs_peer *p;
	unsigned i;

	cds_list_for_each_entry(p, &en->prs.core, role_node) {
		if (!p->last || !prs_alive(p, now))
			continue;
		for (i = 0; i < p->last->nr_services; i++) {
			if (p->last->services[i].estimates.service == s->hash)
				sum += p->last->services[i]
					       .prefill_tokens_per_s;
		}
	}
	return sum;
}

/*
 * Prefill time of 1000 tokens, ms: the mean of the entries' estimates. With
 * many entries each sees few answers, and plans by the estimate of one differed
 * by half. Peers always send their estimates to the duty holder.
 */
static double mean_prefill_ms(struct edge *en, const struct svc *s, int64_t now)
{
	struct svc_slope mean = { 0 };
	struct prs_peer *p;
	unsigned i;

	svc_slope_add(&mean, s->ttft.coef[SVC_PREFILL_MS], s->ttft.samples);
	cds_list_for_each_entry(p, &en->prs.core, role_node) {
		if (!p->last || !prs_alive(p, now))
			continue;
		for (i = 0; i < p->last->nr_services; i++) {
			const struct svc_snapshot *t =
				&p->last->services[i].estimates;

			if (t->service == s->hash)
				svc_slope_add(&mean, t->ttft[SVC_PREFILL_MS],
					      t->ttft_samples);
		}
	}
	return svc_slope_mean(&mean);
}

/* Endpoints kept busy by the requests sent and in flight, queued ones included. */
static double busy_by_sends(struct edge *en, const struct svc *m,
			    const struct edge_service_load *w, double fit)
{
	const struct svc_load load = {
		.prefill_tokens_per_s = total_prefill_rate(en, m, edge_now(en)),
		.running = w->runs,
		.endpoints = w->usable,
		.prefill_ms = mean_prefill_ms(en, m, edge_now(en)),
	};

	return svc_busy_endpoints(m, &load, fit);
}

/* Estimates the number of endpoints that the service's load keeps busy. */
static void estimate_load(struct edge *en, const struct cfg_service *s,
			  struct edge_plan *plan)
{
	const struct svc *m = edge_service_model(en, s->name);
	const struct edge_service_load w = sum_service_load(en, s->name);
	const double fit = svc_max_running(m, w.slots, s->gap_ms);
	double prefill_ms;
	bool known;

	memset(&plan->offered, 0, sizeof(plan->offered));
	known = en->conf->policy.offered_load &&
		sum_offered(en, m, edge_now(en), &plan->offered);
	prefill_ms = ofd_prefill_ms(&plan->offered);
	plan->usable = w.usable;
	plan->load = busy_by_sends(en, m, &w, fit);
	/* Congestion increases both estimates, but seldom both at once. */
	if (known && prefill_ms > 0)
		plan->load = fmin(plan->load,
				  ofd_busy_endpoints(&plan->offered, prefill_ms,
						     m->run_ms, fit));
}

/* Endpoints of an accepted order that may still be starting. */
static int starting_endpoints(const struct edge_scale_order *o, int there,
			      int64_t boot_ms, int64_t now)
{
	if (o->accepted_number <= there ||
	    now - o->accepted_ms >= boot_ms + START_MARGIN_MS)
		return 0;
	return o->accepted_number - there;
}

/*
 * Adds an endpoint to the counts of its zone. Endpoints of other versions are
 * counted separately, since the plan does not include them.
 */
static void count_endpoint(const struct edge *en, struct scale_zone *z,
			   const struct flt_endpoint *e)
{
	const bool other_version = e->use != FLT_IN_USE;

	if (other_version && edge_rollout_is_replaced(en, e))
		return;
	if (e->info.reclaimable)
		*(other_version ? &z->spot_other_version : &z->spot) += 1;
	else
		*(other_version ? &z->on_demand_other_version
				: &z->on_demand) += 1;
}

/* Fills in the state of the service's zones; returns their number. */
static size_t collect_zones(struct edge_duty *d, const struct cfg_service *s,
			    struct scale_zone *zones)
{
	const int64_t now = edge_now(d->en);
	struct flt_endpoint *e;
	size_t n = 0, i;

	for (i = 0; i < s->scaling.nr_prices && n < SCALE_ZONES; i++) {
		struct scale_zone *z = &zones[n++];
		const struct edge_scale_order *order;

		memset(z, 0, sizeof(*z));
		str_copy(z->name, s->scaling.prices[i].zone, sizeof(z->name));
		z->price = s->scaling.prices[i].price;
		cds_list_for_each_entry(e, &d->en->fleet.endpoints, node) {
			if (strcmp(e->info.service, s->name) ||
			    strcmp(e->info.zone, z->name) ||
			    e->draining_since_ms)
				continue;
			count_endpoint(d->en, z, e);
		}
		order = get_order(d, s->name, z->name, false);
		z->no_on_demand_until_ms = order->retry_after_ms;
		z->on_demand_starting = starting_endpoints(
			order, z->on_demand, s->scaling.boot_ms, now);
		order = get_order(d, s->name, z->name, true);
		z->no_spot_until_ms = order->retry_after_ms;
		z->spot_starting = starting_endpoints(order, z->spot,
						      s->scaling.boot_ms, now);
	}
	return n;
}

/*
 * Orders the planned number unless the last order still covers it, or was
 * refused a short time ago. Returns true if an order was due.
 */
static bool place_order(struct edge_duty *d, const struct cfg_service *s,
			const struct scale_zone *z, bool reclaimable)
{
	const int number = reclaimable ? z->want_spot : z->want_on_demand;
	const int have = reclaimable ? z->spot : z->on_demand;
	struct edge_scale_order *o =
		get_order(d, s->name, z->name, reclaimable);
	const int64_t now = edge_now(d->en);
	const struct scale_change change = {
		.accepted = o->accepted_number,
		.wanted = number,
		.running = have,
		.since_order_ms = now - o->accepted_ms,
	};

	if (now < o->retry_after_ms || !scale_order_due(&change))
		return false;
	/* Nothing was ordered, nothing runs, and nothing is planned. */
	if (o->accepted_number < 0 && !number && !have)
		return false;
	/*
	 * The platform does not replace reclaimed endpoints: those missing
	 * after the start-up time are ordered again.
	 */
	if (o->accepted_number == number &&
	    (have >= number ||
	     now - o->accepted_ms < s->scaling.boot_ms + START_MARGIN_MS))
		return false;
	send_order(d, o, z, number);
	return true;
}

/*
 * Endpoints that the limits of all accounts together keep busy by prefill, if
 * nothing is cached; HUGE_VAL if an account has no limit in tokens.
 */
static double busy_by_limits(struct edge *en, const struct svc *m)
{
	const struct cfg *c = en->force.cfg;
	double tokens_per_s = 0;
	size_t i;

	for (i = 0; i < c->nr_accounts; i++) {
		if (!c->accounts[i].rate_in_tokens || c->accounts[i].rate <= 0)
			return HUGE_VAL;
		tokens_per_s += c->accounts[i].rate;
	}
	if (!c->nr_accounts)
		return HUGE_VAL;
	/* The coefficient is in ms for 1000 tokens. */
	return tokens_per_s * m->ttft.coef[SVC_PREFILL_MS] / 1e6;
}

/*
 * Updates the need by the current load. A new holder does not know the load of
 * the past: it starts from the running endpoints and the configured maximum.
 */
static void update_need(struct edge_duty *d, const struct cfg_service *s,
			struct edge_plan *plan, const struct scale_zone *z,
			size_t n)
{
	double first = s->scaling.max * (double)n / FIRST_MAX_DIVISOR;
	int there = 0;
	size_t i;

	for (i = 0; i < n; i++)
		there += z[i].on_demand + z[i].spot;
	if (first < there / FIRST_RUNNING_DIVISOR)
		first = there / FIRST_RUNNING_DIVISOR;
	if (d->en->conf->first_start)
		first = fmin(first,
			     FIRST_LIMITS_RATIO *
				     busy_by_limits(d->en,
						    edge_service_model(
							    d->en, s->name)));
	estimate_load(d->en, s, plan);
	scale_update_need(&plan->need, plan->load, plan->usable, first);
}

/*
 * Plans again with a higher minimum if on-demand endpoints would be removed too
 * fast (scale_limit_drain).
 */
static void limit_on_demand_removal(struct edge_plan *plan,
				    struct scale_input *in,
				    struct scale_zone *zones, size_t n)
{
	int wanted = 0;
	size_t i;

	for (i = 0; i < n; i++)
		wanted += zones[i].want_on_demand;
	plan->on_demand_held =
		in->no_load_yet || !in->ease
			? wanted
			: scale_limit_drain(plan->on_demand_held, wanted,
					    in->now_ms -
						    plan->on_demand_held_ms);
	plan->on_demand_held_ms = in->now_ms;
	in->min_on_demand = (int)plan->on_demand_held;
	if (in->min_on_demand > wanted)
		scale_plan(in, zones, n);
}

static void plan_service(struct edge_duty *d, const struct cfg_service *s,
			 int64_t now)
{
	struct scale_zone zones[SCALE_ZONES];
	const size_t n = collect_zones(d, s, zones);
	struct scale_input in = {
		.min = s->scaling.min,
		.max = s->scaling.max,
		.spot_price = s->scaling.spot_price,
		.now_ms = now,
		.price_cover = d->en->conf->policy.price_cover,
		.loss_cover = d->en->conf->policy.loss_cover,
		.two_zones = d->en->conf->policy.two_zones,
		.ease = d->en->conf->policy.ease,
	};
	struct edge_plan *plan = get_plan(d, s->name, now);
	size_t i;

	update_need(d, s, plan, zones, n);
	/* Further endpoints would be of the version on trial, as these are. */
	if (edge_rollout_trial_endpoints(d->en, s->name) >= plan->need.need &&
	    plan->need.need > 0)
		return;
	in.no_load_yet = d->en->conf->first_start && !plan->need.load_seen;
	in.busy = plan->need.need;
	in.load = plan->load;
	/* At least one per zone, so that each zone keeps a prompt cache. */
	in.need = plan->need.need < (double)n ? (double)n : plan->need.need;
	scale_plan(&in, zones, n);
	limit_on_demand_removal(plan, &in, zones, n);
	/* Additions are ordered before removals. */
	for (i = 0; i < n; i++) {
		if (zones[i].want_spot > zones[i].spot &&
		    place_order(d, s, &zones[i], true))
			return;
	}
	for (i = 0; i < n; i++) {
		if (place_order(d, s, &zones[i], false) ||
		    place_order(d, s, &zones[i], true))
			return;
	}
}

/* ---- The plan for the next holder ---- */

/* Minimum interval between writes of the plan; each is billed. */
#define PLAN_WRITE_INTERVAL_MS 2000

static void on_plan_written(void *arg, struct sto_answer *a)
{
	struct edge_duty *d = arg;

	/* After a failure the record still differs, and is written again. */
	d->plan_write_in_flight = false;
	if (a->outcome != STO_OK)
		met_inc(d->en->m.store_failures);
	if (a->outcome == STO_CONFLICT)
		edge_lease_read_duty(d->en);
}

static void write_plan(struct edge_duty *d, const struct saved_plan *plan)
{
	struct edge *en = d->en;
	BUF_AUTO value = BUF_INIT;
	struct sto_call c = { .kind = STO_WRITE,
			      .nr_conditions = 1,
			      .nr_rows = 1 };

	saved_plan_encode(plan, &value);
	/* A former holder must not overwrite its successor's plan. */
	c.conditions[0] =
		(struct sto_condition){ EDGE_DUTY_KEY, en->lead.fence };
	c.rows[0] = (struct sto_row){ EDGE_PLAN_KEY, value.data, value.len, 0 };
	d->plan_write_in_flight = true;
	sto_call(en->store, &c, on_plan_written, d);
}

static void store_plan(struct edge_duty *d, int64_t now)
{
	struct saved_plan plan = { .nr_rows = 0 };
	struct saved_plan_row *row;
	size_t i;

	if (d->plan_write_in_flight ||
	    now - d->plan_written_ms < PLAN_WRITE_INTERVAL_MS)
		return;
	for (i = 0; i < d->nr_plans; i++) {
		if (!d->plans[i].need.load_seen)
			continue;
		row = saved_plan_row(&plan, d->plans[i].service);
		if (!row)
			break;
		row->need = d->plans[i].need;
		row->on_demand_held = d->plans[i].on_demand_held;
	}
	if (!plan.nr_rows || !saved_plan_differs(&plan, &d->en->plan))
		return;
	d->plan_written_ms = now;
	write_plan(d, &plan);
}

void edge_scale_tick(struct edge_duty *d, int64_t now)
{
	const struct cfg *c = d->en->force.cfg;
	size_t i;

	if (!c || d->call_in_flight || d->report_state == REPORT_SENDING ||
	    !edge_duty_may_act(d->en))
		return;
	for (i = 0; i < c->nr_services; i++) {
		if (c->services[i].has_scaling &&
		    !edge_rollout_is_shifting(d->en, c->services[i].name))
			plan_service(d, &c->services[i], now);
	}
	store_plan(d, now);
}
