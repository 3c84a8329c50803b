/* The duties of one entry at a time: usage reports and orders for
 * endpoints. */
#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "edge/edge_internal.h"

/*
 * A report is written so long after its window, when the counts of all
 * entries have arrived by datagram; entries that are cut off are waited for
 * until the second figure, within the ten seconds in which it is due.
 */
#define REPORT_AFTER_MS 1200
#define REPORT_LATEST_MS 5500

/* Windows that are kept: the report's bound and some more. */
#define KEPT_WINDOWS 6

/* Accounts in one report. */
#define MAX_ACCOUNTS 256

/* A call to the platform, within the time that a successor leaves for it. */
#define CALL_MS 600
#define RETRY_MS 300

/* Beyond the time to start, until ordered endpoints count as missing. */
#define ORDER_EXTRA_MS 1000

/* After "none to be had" a zone is left alone for so long. */
#define DRY_MS 2500

enum step {
	STEP_IDLE,
	STEP_WRITING, /* the report is written to the store */
	STEP_SENDING, /* and sent as written */
};

struct ordered {
	char service[FLT_NAME];
	char zone[FLT_NAME];
	bool reclaimable;
	int number; /* last order that was accepted; -1: none */
	int64_t accepted_ms;
	int64_t dry_ms;
};

struct edge_duty {
	struct edge *en;
	struct htc_peer cloud;
	bool calling; /* one call to the platform at a time */

	enum step step;
	int64_t window; /* of the report in work */
	struct buf counts;
	int64_t next_window; /* the next to report; 0: not known */
	int64_t not_before_ms;

	struct ordered *orders;
	size_t nr_orders;
	struct ordered *order; /* under way */
	int order_number;
	double need; /* endpoints that the load keeps busy, smoothed; 0: new */
	bool loaded; /* some load was seen */
	double firm_held; /* of those that stay, see scale_ease */
	int64_t eased_ms;
	int status;
};

static const struct htc_limits cloud_limits = {
	.connect_ms = 300,
	.user_timeout_ms = CALL_MS,
	.keepalive_s = 1,
	.idle_ms = 8000,
};

static bool may_act(const struct edge *en)
{
	return lead_may_act(&en->lead, en->lease.until_ms, edge_now(en));
}

/* ---- Calls to the platform ---- */

static bool on_head(struct htc_call *call, const struct hmsg *m)
{
	struct edge_duty *d = htc_owner(call);

	d->status = m->status;
	return true;
}

static void on_body(struct htc_call *call, const char *data, size_t len)
{
	(void)call;
	(void)data;
	(void)len;
}

static void call_ended(struct edge_duty *d, int status);

static void on_end(struct htc_call *call)
{
	struct edge_duty *d = htc_owner(call);

	call_ended(d, d->status);
}

static void on_failed(struct htc_call *call, enum htc_failure why)
{
	(void)why;
	call_ended(htc_owner(call), 0);
}

static const struct htc_vtable cloud_vtable = { on_head, on_body, on_end,
						on_failed };

/* Sends at once: what holds now may not hold a moment later. */
static bool call_cloud(struct edge_duty *d, struct buf *wire)
{
	d->calling = true;
	d->status = 0;
	if (htc_start(&d->cloud, wire, 0, false, CALL_MS, &cloud_vtable, d))
		return true;
	d->calling = false;
	return false;
}

static struct wire_duty duty_of(const struct edge *en)
{
	return (struct wire_duty){ en->conf->name, en->lead.fence };
}

/* ---- Usage ---- */

void edge_duty_count(struct edge_req *r, int64_t true_ms)
{
	struct edge *en = r->en;

	usage_add(&en->usage, en->source, usage_window(&en->usage, true_ms),
		  r->account->name);
}

/* Every entry that lives has told its counts after the window's end. */
static bool all_told(const struct edge *en, int64_t window_end_ms)
{
	const struct prs_peer *p;

	cds_list_for_each_entry(p, &en->prs.peers, node) {
		if (!p->registered && !prs_alive(p, edge_now(en)))
			continue;
		if (!p->last || p->last->true_ms < window_end_ms + 300)
			return false;
	}
	return true;
}

static void log_report(const struct edge_duty *d, const char *what, int status)
{
	struct edge *en = d->en;

	jlog_begin(en->log, JLOG_INFO, "usage_report");
	jlog_int(en->log, "window", d->window);
	jlog_str(en->log, "step", what);
	jlog_int(en->log, "status", status);
	jlog_int(en->log, "fence", en->lead.fence);
	jlog_str(en->log, "counts", buf_cstr(&d->counts));
	jlog_end(en->log);
}

static void send_report(struct edge_duty *d)
{
	struct edge *en = d->en;
	const struct wire_duty w = duty_of(en);
	struct buf wire = BUF_INIT;

	if (!may_act(en) || d->calling)
		return;
	en->wire->usage(&w, d->window, buf_cstr(&d->counts), &wire);
	met_inc(en->m.usage_reports);
	if (!call_cloud(d, &wire))
		d->not_before_ms = edge_now(en) + RETRY_MS;
}

static void send_as_written(struct edge_duty *d, const char *counts, size_t len)
{
	buf_reset(&d->counts);
	buf_add(&d->counts, counts, len);
	d->step = STEP_SENDING;
	send_report(d);
}

/* Nothing is known to stand: the same window is written again. */
static void write_again(struct edge_duty *d)
{
	d->step = STEP_IDLE;
	d->next_window = d->window;
	d->not_before_ms = edge_now(d->en) + RETRY_MS;
}

static void on_read_back(void *arg, struct sto_answer *a)
{
	struct edge_duty *d = arg;

	if (d->step != STEP_WRITING)
		return;
	if (a->outcome == STO_OK && a->nr_items && a->items[0].value)
		send_as_written(d, a->items[0].value, a->items[0].len);
	else
		write_again(d);
}

static void report_key(char *out, size_t size, int64_t window)
{
	snprintf(out, size, "%s%lld", EDGE_USAGE_PREFIX, (long long)window);
}

/* Somebody wrote the report before: what stands is what may be sent. */
static void read_back(struct edge_duty *d)
{
	char key[64];
	const struct sto_call c = { .kind = STO_GET, .key = key };

	report_key(key, sizeof(key), d->window);
	met_inc(d->en->m.store_calls);
	sto_call(d->en->store, &c, on_read_back, d);
}

static void on_written(void *arg, struct sto_answer *a)
{
	struct edge_duty *d = arg;

	log_report(d, sto_outcome_name(a->outcome), 0);
	if (d->step != STEP_WRITING)
		return;
	if (a->outcome == STO_OK) {
		d->step = STEP_SENDING;
		send_report(d);
	} else if (a->outcome == STO_CONFLICT) {
		read_back(d);
	} else {
		write_again(d);
	}
}

/*
 * The counts are written down before they are sent, under the condition that
 * nobody wrote them yet and that we still hold the duty: a successor then
 * repeats them to the letter.
 */
static void write_report(struct edge_duty *d)
{
	struct edge *en = d->en;
	char key[64], old[64];
	struct sto_call c = { .kind = STO_WRITE,
			      .nr_conditions = 2,
			      .nr_rows = 2 };

	report_key(key, sizeof(key), d->window);
	report_key(old, sizeof(old), d->window - KEPT_WINDOWS);
	c.conditions[0] = (struct sto_condition){ key, 0 };
	c.conditions[1] =
		(struct sto_condition){ EDGE_DUTY_KEY, en->lead.fence };
	c.rows[0] = (struct sto_row){ key, d->counts.data, d->counts.len, 0 };
	c.rows[1] = (struct sto_row){ old, NULL, 0, 0 };
	d->step = STEP_WRITING;
	met_inc(en->m.store_calls);
	sto_call(en->store, &c, on_written, d);
}

static void begin_report(struct edge_duty *d, int64_t window)
{
	struct edge *en = d->en;
	struct usage_total totals[MAX_ACCOUNTS];
	const size_t n = usage_sum(&en->usage, window, totals, MAX_ACCOUNTS);

	d->window = window;
	d->next_window = window + 1;
	buf_reset(&d->counts);
	if (!n)
		return; /* nothing ran: nothing to report */
	en->wire->usage_counts(totals, n, &d->counts);
	write_report(d);
}

static void usage_tick(struct edge_duty *d, int64_t now)
{
	struct edge *en = d->en;
	const int64_t true_now = truth_now(&en->truth, now);
	const int64_t current = usage_window(&en->usage, true_now);
	const int64_t size = en->usage.window_ms;
	int64_t end, late;

	usage_forget(&en->usage, current - KEPT_WINDOWS);
	if (now < d->not_before_ms || !may_act(en))
		return;
	if (d->step == STEP_SENDING) {
		send_report(d);
		return;
	}
	if (d->step != STEP_IDLE)
		return;
	late = (int64_t)(en->conf->bounds.usage_late_s * 1000) / size;
	if (d->next_window < current - late)
		d->next_window = current - late;
	if (d->next_window >= current)
		return;
	end = (d->next_window + 1) * size;
	if (true_now < end + REPORT_AFTER_MS)
		return;
	if (!all_told(en, end) && true_now < end + REPORT_LATEST_MS)
		return;
	begin_report(d, d->next_window);
}

/* ---- Orders ---- */

static struct ordered *order_of(struct edge_duty *d, const char *service,
				const char *zone, bool reclaimable)
{
	struct ordered *o;
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
	o->number = -1;
	return o;
}

static void send_order(struct edge_duty *d, struct ordered *o, int number)
{
	struct edge *en = d->en;
	const struct wire_duty w = duty_of(en);
	struct buf wire = BUF_INIT;

	if (!may_act(en) || d->calling)
		return;
	en->wire->scale(&w, o->service, o->zone, o->reclaimable, number, &wire);
	d->order = o;
	d->order_number = number;
	met_inc(en->m.scale_orders);
	jlog_begin(en->log, JLOG_INFO, "order");
	jlog_str(en->log, "service", o->service);
	jlog_str(en->log, "zone", o->zone);
	jlog_bool(en->log, "reclaimable", o->reclaimable);
	jlog_int(en->log, "before", o->number);
	jlog_int(en->log, "number", number);
	jlog_num(en->log, "need", d->need);
	jlog_int(en->log, "fence", en->lead.fence);
	jlog_end(en->log);
	if (!call_cloud(d, &wire))
		d->order = NULL;
}

static void order_ended(struct edge_duty *d, int status)
{
	struct ordered *o = d->order;
	const int64_t now = edge_now(d->en);

	d->order = NULL;
	if (status == 200) {
		o->number = d->order_number;
		o->accepted_ms = now;
		return;
	}
	jlog_begin(d->en->log, JLOG_INFO, "order_refused");
	jlog_str(d->en->log, "zone", o->zone);
	jlog_bool(d->en->log, "reclaimable", o->reclaimable);
	jlog_int(d->en->log, "number", d->order_number);
	jlog_int(d->en->log, "status", status);
	jlog_end(d->en->log);
	o->dry_ms = now + (status == 409 ? DRY_MS : RETRY_MS);
}

/*
 * Requests that run at once on an endpoint which is well used: with more the
 * first events come late when long prompts arrive together.
 */
#define BUSY_RUNS 10.0

/*
 * The least that is taken for the need, so that the first wave finds prompt
 * caches spread over enough endpoints: one in so many of those that the
 * operators allow in all zones. Today that is 4 (2, 3 and 4 were measured).
 * The endpoints that are there would tell too late: they register one after
 * the other, and the first orders already send some away.
 */
#define MAX_PART 6.0

/*
 * Of the endpoints that a new holder finds, one in so many is taken to be
 * needed, until the load shows: both of today's deployments start with three
 * times what a calm day keeps busy.
 */
#define START_PART 3.0

/*
 * The need falls by this part of the difference at each look, and rises at
 * once: an order that is taken back costs a cache. About 13 s at 50 ms.
 */
#define NEED_DECAY 0.004

static double load_of(struct edge *en, const char *service)
{
	struct flt_endpoint *e;
	double runs = 0;

	cds_list_for_each_entry(e, &en->fleet.endpoints, node) {
		if (!strcmp(e->info.service, service))
			runs += e->running + e->peer_running;
	}
	return runs / BUSY_RUNS;
}

static size_t zones_of(struct edge_duty *d, const struct cfg_service *s,
		       struct scale_zone *zones)
{
	const int64_t now = edge_now(d->en);
	struct flt_endpoint *e;
	struct ordered *spot;
	size_t n = 0, i;

	for (i = 0; i < s->scaling.nr_prices && n < SCALE_ZONES; i++) {
		struct scale_zone *z = &zones[n++];

		memset(z, 0, sizeof(*z));
		str_copy(z->name, s->scaling.prices[i].zone, sizeof(z->name));
		z->price = s->scaling.prices[i].price;
		z->firm_dry_ms = order_of(d, s->name, z->name, false)->dry_ms;
		spot = order_of(d, s->name, z->name, true);
		z->spot_dry_ms = spot->dry_ms;
		cds_list_for_each_entry(e, &d->en->fleet.endpoints, node) {
			if (strcmp(e->info.service, s->name) ||
			    strcmp(e->info.zone, z->name) || e->drain_ms)
				continue;
			if (e->info.reclaimable)
				z->spot++;
			else
				z->firm++;
		}
		if (spot->number > z->spot &&
		    now - spot->accepted_ms <
			    s->scaling.boot_ms + ORDER_EXTRA_MS)
			z->spot_coming = spot->number - z->spot;
	}
	return n;
}

static bool carry_out(struct edge_duty *d, const struct cfg_service *s,
		      const struct scale_zone *z, bool reclaimable)
{
	const int number = reclaimable ? z->want_spot : z->want_firm;
	const int have = reclaimable ? z->spot : z->firm;
	struct ordered *o = order_of(d, s->name, z->name, reclaimable);
	const int64_t now = edge_now(d->en);

	if (now < o->dry_ms)
		return false;
	/* None were ever there, and none are wanted. */
	if (o->number < 0 && !number && !have)
		return false;
	/*
	 * Endpoints that were taken away do not come back by themselves: what
	 * is missing after the time to start is ordered again.
	 */
	if (o->number == number &&
	    (have >= number ||
	     now - o->accepted_ms < s->scaling.boot_ms + ORDER_EXTRA_MS))
		return false;
	send_order(d, o, number);
	return true;
}

/*
 * The need rises at once and falls slowly. A new holder begins with what is
 * there: it knows nothing of the load before.
 */
static void follow_load(struct edge_duty *d, double load,
			const struct scale_zone *z, size_t n)
{
	int usable = 0;
	size_t i;

	for (i = 0; i < n; i++)
		usable += z[i].firm + z[i].spot;
	if (!d->need)
		d->need = usable / START_PART;
	if (load > 0)
		d->loaded = true;
	if (load > d->need)
		d->need = load;
	else if (d->loaded)
		d->need += (load - d->need) * NEED_DECAY;
}

/* Plans once more if those that stay would go too fast. */
static void ease_firm(struct edge_duty *d, struct scale_input *in,
		      struct scale_zone *zones, size_t n)
{
	int wanted = 0;
	size_t i;

	for (i = 0; i < n; i++)
		wanted += zones[i].want_firm;
	d->firm_held = in->idle ? wanted
				: scale_ease(d->firm_held, wanted,
					     in->now_ms - d->eased_ms);
	d->eased_ms = in->now_ms;
	in->firm_least = (int)d->firm_held;
	if (in->firm_least > wanted)
		scale_plan(in, zones, n);
}

static void plan_service(struct edge_duty *d, const struct cfg_service *s,
			 int64_t now)
{
	struct scale_zone zones[SCALE_ZONES];
	const size_t n = zones_of(d, s, zones);
	struct scale_input in = {
		.min = s->scaling.min,
		.max = s->scaling.max,
		.spot_price = s->scaling.spot_price,
		.now_ms = now,
	};
	size_t i;

	follow_load(d, load_of(d->en, s->name), zones, n);
	in.idle = d->en->conf->first_start && !d->loaded;
	in.need = s->scaling.max * (double)n / MAX_PART;
	if (in.need < d->need)
		in.need = d->need;
	scale_plan(&in, zones, n);
	ease_firm(d, &in, zones, n);
	/* What is added goes before what is taken away. */
	for (i = 0; i < n; i++) {
		if (zones[i].want_spot > zones[i].spot &&
		    carry_out(d, s, &zones[i], true))
			return;
	}
	for (i = 0; i < n; i++) {
		if (carry_out(d, s, &zones[i], false) ||
		    carry_out(d, s, &zones[i], true))
			return;
	}
}

static void scale_tick(struct edge_duty *d, int64_t now)
{
	const struct cfg *c = d->en->force.cfg;
	size_t i;

	if (!c || d->calling || d->step == STEP_SENDING || !may_act(d->en))
		return;
	for (i = 0; i < c->nr_services; i++) {
		if (c->services[i].has_scaling)
			plan_service(d, &c->services[i], now);
	}
}

/* ---- Life ---- */

static void call_ended(struct edge_duty *d, int status)
{
	d->calling = false;
	if (d->order) {
		order_ended(d, status);
		return;
	}
	log_report(d, "sent", status);
	/* Only a clear answer ends it; else the same is sent again. */
	if (status == 200 || (status >= 400 && status < 500 && status != 429))
		d->step = STEP_IDLE;
	else
		d->not_before_ms = edge_now(d->en) + RETRY_MS;
}

void edge_duty_open(struct edge *en)
{
	struct edge_duty *d = calloc(1, sizeof(*d));
	struct sockaddr_in addr;

	assert(d);
	d->en = en;
	en->duty = d;
	if (ioc_address(en->conf->cloud.address, &addr, NULL))
		return;
	htc_peer_init(&d->cloud, en->loop, en->clk, &addr, &cloud_limits);
}

void edge_duty_close(struct edge *en)
{
	buf_free(&en->duty->counts);
	free(en->duty->orders);
	free(en->duty);
	en->duty = NULL;
}

void edge_duty_tick(struct edge *en, int64_t now)
{
	struct edge_duty *d = en->duty;

	if (!en->conf->cloud.address[0])
		return;
	/* A new holder orders what is wanted, whatever was ordered before. */
	if (!en->lead.mine) {
		d->nr_orders = 0;
		d->need = 0;
		d->loaded = false;
		d->firm_held = 0;
		d->eased_ms = now;
		if (!d->calling)
			d->step = STEP_IDLE;
		return;
	}
	if (en->conf->cloud.usage)
		usage_tick(d, now);
	if (en->conf->cloud.scaling)
		scale_tick(d, now);
}
