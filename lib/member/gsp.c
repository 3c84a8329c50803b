#include "member/gsp.h"

#include <math.h>
#include <stddef.h>
#include <string.h>

#include "base/clk.h"
#include "base/xdr.h"
#include "store/ver.h"

/*
 * First word of a datagram: identifies the protocol and its layout, so that
 * stray datagrams are dropped.
 */
#define GSP_MAGIC 0x6d64670d

static bool_t xdr_name(XDR *x, char *name)
{
	return xdr_string(x, &name, GSP_NAME_SIZE - 1);
}

static bool_t xdr_i64(XDR *x, int64_t *v)
{
	return xdr_int64_t(x, v);
}

static bool_t xdr_head(XDR *x, struct gsp_record *r)
{
	uint32_t magic = GSP_MAGIC;

	return xdr_uint32_t(x, &magic) && magic == GSP_MAGIC &&
	       xdr_name(x, r->name) && xdr_uint64_t(x, &r->boot) &&
	       xdr_uint32_t(x, &r->seq) && xdr_i64(x, &r->stamp_ms) &&
	       xdr_i64(x, &r->true_ms) && xdr_flag(x, &r->accepting) &&
	       xdr_flag(x, &r->store_ok) && xdr_i64(x, &r->cfg_version) &&
	       xdr_i64(x, &r->cfg_confirmed_age_ms) &&
	       xdr_double(x, &r->requests_per_s) &&
	       xdr_flag(x, &r->with_counts) && xdr_uint64_t(x, &r->echo_boot) &&
	       xdr_i64(x, &r->echo_stamp_ms) && xdr_i64(x, &r->echo_hold_ms);
}

static bool_t xdr_demands(XDR *x, struct gsp_record *r)
{
	unsigned i;

	if (!xdr_u_int(x, &r->nr_demands) || r->nr_demands > GSP_MAX_DEMANDS)
		return FALSE;
	for (i = 0; i < r->nr_demands; i++) {
		if (!xdr_name(x, r->demands[i].account) ||
		    !xdr_double(x, &r->demands[i].per_s))
			return FALSE;
	}
	return TRUE;
}

static bool_t xdr_loads(XDR *x, struct gsp_record *r)
{
	unsigned i;

	if (!xdr_u_int(x, &r->nr_loads) || r->nr_loads > GSP_MAX_LOADS)
		return FALSE;
	for (i = 0; i < r->nr_loads; i++) {
		if (!xdr_uint64_t(x, &r->loads[i].endpoint) ||
		    !xdr_int(x, &r->loads[i].running) ||
		    !xdr_int(x, &r->loads[i].prefill_tokens))
			return FALSE;
	}
	return TRUE;
}

/* Estimates are sent as floats: still more precise than they are accurate. */
static bool_t xdr_estimate(XDR *x, double *v)
{
	float f = (float)*v;

	if (!xdr_float(x, &f))
		return FALSE;
	*v = f;
	return TRUE;
}

static bool_t xdr_estimates(XDR *x, double *v, unsigned n)
{
	unsigned i;

	for (i = 0; i < n; i++) {
		if (!xdr_estimate(x, &v[i]))
			return FALSE;
	}
	return TRUE;
}

static bool_t xdr_service(XDR *x, struct gsp_service *s)
{
	struct svc_snapshot *t = &s->estimates;

	return xdr_uint64_t(x, &t->service) &&
	       xdr_estimate(x, &s->prefill_tokens_per_s) &&
	       xdr_estimate(x, &t->ttft_samples) &&
	       xdr_estimates(x, t->ttft, SVC_TTFT_COEFS) &&
	       xdr_estimate(x, &t->ttft_error) &&
	       xdr_estimate(x, &t->itl_samples) &&
	       xdr_estimates(x, t->itl, SVC_ITL_COEFS) &&
	       xdr_estimate(x, &t->itl_error) && xdr_estimate(x, &t->run_ms) &&
	       xdr_estimate(x, &t->run_samples);
}

static bool_t xdr_services(XDR *x, struct gsp_record *r)
{
	unsigned i;

	if (!xdr_u_int(x, &r->nr_services) || r->nr_services > GSP_MAX_SERVICES)
		return FALSE;
	for (i = 0; i < r->nr_services; i++) {
		if (!xdr_service(x, &r->services[i]))
			return FALSE;
	}
	return TRUE;
}

static bool_t xdr_counts(XDR *x, struct gsp_record *r)
{
	unsigned i;

	if (!xdr_u_int(x, &r->nr_counts) || r->nr_counts > GSP_MAX_COUNTS)
		return FALSE;
	for (i = 0; i < r->nr_counts; i++) {
		if (!xdr_uint64_t(x, &r->counts[i].source) ||
		    !xdr_i64(x, &r->counts[i].window) ||
		    !xdr_name(x, r->counts[i].account) ||
		    !xdr_i64(x, &r->counts[i].runs))
			return FALSE;
	}
	return TRUE;
}

static bool_t xdr_fatal(XDR *x, struct fatal_gossip *t)
{
	unsigned i;

	if (!xdr_hsh128(x, &t->key) || !xdr_uint64_t(x, &t->running_at) ||
	    !xdr_u_int(x, &t->nr_crashes) ||
	    t->nr_crashes > FATAL_MAX_GOSSIP_CRASHES)
		return FALSE;
	for (i = 0; i < t->nr_crashes; i++) {
		if (!xdr_uint64_t(x, &t->crashes[i].endpoint) ||
		    !xdr_uint32_t(x, &t->crashes[i].age_ms) ||
		    !xdr_uint32_t(x, &t->crashes[i].weight) ||
		    !xdr_flag(x, &t->crashes[i].cleared))
			return FALSE;
	}
	return TRUE;
}

/* Absent in datagrams of releases without store eras. */
static bool_t xdr_era_and_fatal(XDR *x, struct gsp_record *r)
{
	unsigned i;

	if (!xdr_i64(x, &r->store_era) || r->store_era < 0)
		return FALSE;
	if (!xdr_u_int(x, &r->nr_fatal) || r->nr_fatal > FATAL_MAX_GOSSIP)
		return FALSE;
	for (i = 0; i < r->nr_fatal; i++) {
		if (!xdr_fatal(x, &r->fatal[i]))
			return FALSE;
	}
	return TRUE;
}

static bool_t xdr_tally(XDR *x, struct gsp_tally *t)
{
	return xdr_uint64_t(x, &t->order) && xdr_uint32_t(x, &t->row.route) &&
	       xdr_uint32_t(x, &t->row.group) && t->row.group <= TAL_GROUPS &&
	       xdr_uint32_t(x, &t->row.sent) &&
	       xdr_uint32_t(x, &t->row.answered) &&
	       xdr_uint32_t(x, &t->row.failed) &&
	       xdr_uint32_t(x, &t->row.late) && xdr_uint32_t(x, &t->row.broken);
}

/* Absent in datagrams of releases without roll-outs. */
static bool_t xdr_rollouts(XDR *x, struct gsp_record *r)
{
	unsigned i;

	if (!xdr_u_int(x, &r->nr_tallies) || r->nr_tallies > GSP_MAX_TALLIES)
		return FALSE;
	for (i = 0; i < r->nr_tallies; i++) {
		if (!xdr_tally(x, &r->tallies[i]))
			return FALSE;
	}
	if (!xdr_u_int(x, &r->nr_rolled_back) ||
	    r->nr_rolled_back > GSP_MAX_ROLLED_BACK)
		return FALSE;
	for (i = 0; i < r->nr_rolled_back; i++) {
		if (!xdr_uint64_t(x, &r->rolled_back[i]))
			return FALSE;
	}
	return TRUE;
}

static bool_t xdr_member(XDR *x, struct gsp_member *m)
{
	return xdr_uint64_t(x, &m->entry) && xdr_uint32_t(x, &m->age_ms) &&
	       xdr_flag(x, &m->accepting) && xdr_flag(x, &m->store_ok);
}

/* Absent in datagrams of releases without roles. */
static bool_t xdr_membership(XDR *x, struct gsp_record *r)
{
	uint32_t role = r->role;
	unsigned i;

	if (!xdr_uint32_t(x, &role) || role > GSP_LEAF ||
	    !xdr_flag(x, &r->wants_members) || !xdr_uint32_t(x, &r->group) ||
	    !xdr_uint32_t(x, &r->part) || r->part >= GSP_MAX_PARTS ||
	    !xdr_flag(x, &r->last_part) ||
	    !xdr_double(x, &r->core_requests_per_s) ||
	    !xdr_u_int(x, &r->nr_members) || r->nr_members > GSP_MAX_MEMBERS)
		return FALSE;
	r->role = role;
	r->has_role = true;
	for (i = 0; i < r->nr_members; i++) {
		if (!xdr_member(x, &r->members[i]))
			return FALSE;
	}
	return TRUE;
}

/* Absent if there is nothing after it, and in earlier releases. */
static bool_t xdr_statements(XDR *x, struct gsp_record *r)
{
	unsigned i;

	if (!xdr_u_int(x, &r->nr_statements) ||
	    r->nr_statements > GSP_MAX_STATEMENTS)
		return FALSE;
	for (i = 0; i < r->nr_statements; i++) {
		if (!xdr_uint64_t(x, &r->statements[i].endpoint) ||
		    !xdr_double(x, &r->statements[i].per_s) ||
		    !xdr_uint32_t(x, &r->statements[i].age_ms) ||
		    !xdr_flag(x, &r->statements[i].leaving))
			return FALSE;
	}
	return TRUE;
}

static bool_t xdr_brittle(XDR *x, struct gsp_record *r)
{
	unsigned i;

	if (!xdr_u_int(x, &r->nr_brittle) || r->nr_brittle > GSP_MAX_BRITTLE)
		return FALSE;
	for (i = 0; i < r->nr_brittle; i++) {
		struct gsp_brittle *b = &r->brittle[i];

		if (!xdr_uint64_t(x, &b->endpoint) ||
		    !xdr_int32_t(x, &b->max_refusals) ||
		    !xdr_uint32_t(x, &b->age_ms) ||
		    !xdr_uint32_t(x, &b->percent) ||
		    !xdr_flag(x, &b->refused) ||
		    !xdr_uint32_t(x, &b->refused_ms))
			return FALSE;
	}
	return TRUE;
}

/* Absent in datagrams of releases without relays. */
static bool_t xdr_relays(XDR *x, struct gsp_record *r)
{
	unsigned i;

	if (!xdr_flag(x, &r->relays) || !xdr_flag(x, &r->cut_off))
		return FALSE;
	for (i = 0; i < r->nr_members; i += 32) {
		if (!xdr_uint32_t(x, &r->members_relay[i / 32]) ||
		    !xdr_uint32_t(x, &r->members_cut_off[i / 32]))
			return FALSE;
	}
	return xdr_brittle(x, r);
}

static bool_t xdr_offered(XDR *x, struct ofd_report *r)
{
	return xdr_estimate(x, &r->requests_per_s) &&
	       xdr_estimate(x, &r->prefill_per_s) &&
	       xdr_estimate(x, &r->prefill_ms) && xdr_estimate(x, &r->samples);
}

static bool_t xdr_speed(XDR *x, struct gsp_speed *s)
{
	return xdr_uint64_t(x, &s->endpoint) &&
	       xdr_estimate(x, &s->time_factor) &&
	       xdr_estimate(x, &s->pause_rate) &&
	       xdr_estimate(x, &s->samples) && xdr_uint32_t(x, &s->age_ms);
}

static bool_t xdr_rollout(XDR *x, struct gsp_rollout *r)
{
	return xdr_uint64_t(x, &r->order) && xdr_uint32_t(x, &r->stage) &&
	       xdr_estimate(x, &r->share);
}

/* Absent in datagrams of releases that do not measure the offered load. */
static bool_t xdr_capacity(XDR *x, struct gsp_record *r)
{
	unsigned i;

	for (i = 0; i < r->nr_services; i++) {
		if (!xdr_offered(x, &r->services[i].offered))
			return FALSE;
	}
	if (!xdr_u_int(x, &r->nr_speeds) || r->nr_speeds > GSP_MAX_SPEEDS)
		return FALSE;
	for (i = 0; i < r->nr_speeds; i++) {
		if (!xdr_speed(x, &r->speeds[i]))
			return FALSE;
	}
	if (!xdr_u_int(x, &r->nr_rollouts) || r->nr_rollouts > GSP_MAX_ROLLOUTS)
		return FALSE;
	for (i = 0; i < r->nr_rollouts; i++) {
		if (!xdr_rollout(x, &r->rollouts[i]))
			return FALSE;
	}
	r->has_capacity = true;
	return TRUE;
}

static bool xdr_record(XDR *x, struct gsp_record *r)
{
	return xdr_head(x, r) && xdr_demands(x, r) && xdr_loads(x, r) &&
	       xdr_services(x, r) && xdr_counts(x, r);
}

void gsp_clear(struct gsp_record *r)
{
	memset(r, 0, offsetof(struct gsp_record, demands));
}

void gsp_copy(struct gsp_record *to, const struct gsp_record *from)
{
	memcpy(to, from, offsetof(struct gsp_record, demands));
	memcpy(to->loads, from->loads, from->nr_loads * sizeof(from->loads[0]));
	memcpy(to->services, from->services,
	       from->nr_services * sizeof(from->services[0]));
	memcpy(to->fatal, from->fatal, from->nr_fatal * sizeof(from->fatal[0]));
	memcpy(to->tallies, from->tallies,
	       from->nr_tallies * sizeof(from->tallies[0]));
	memcpy(to->rolled_back, from->rolled_back,
	       from->nr_rolled_back * sizeof(from->rolled_back[0]));
	memcpy(to->rollouts, from->rollouts,
	       from->nr_rollouts * sizeof(from->rollouts[0]));
	to->nr_demands = to->nr_counts = to->nr_members = to->nr_statements = 0;
	to->nr_brittle = to->nr_speeds = 0;
}

size_t gsp_encode(const struct gsp_record *r, char *out, size_t size)
{
	XDR x;
	size_t n = 0;

	xdrmem_create(&x, out, (u_int)size, XDR_ENCODE);
	/* XDR uses one routine for both directions; encoding only reads. */
	if (xdr_record(&x, (struct gsp_record *)r) &&
	    xdr_era_and_fatal(&x, (struct gsp_record *)r) &&
	    xdr_rollouts(&x, (struct gsp_record *)r) &&
	    xdr_membership(&x, (struct gsp_record *)r) &&
	    ((!r->nr_statements && !r->relays) ||
	     xdr_statements(&x, (struct gsp_record *)r)) &&
	    (!r->relays || xdr_relays(&x, (struct gsp_record *)r)) &&
	    (!r->relays || !r->has_capacity ||
	     xdr_capacity(&x, (struct gsp_record *)r)))
		n = xdr_getpos(&x);
	xdr_destroy(&x);
	return n;
}

static bool is_rate(double v)
{
	return isfinite(v) && v >= 0;
}

static bool is_report(const struct ofd_report *r)
{
	return is_rate(r->requests_per_s) && is_rate(r->prefill_per_s) &&
	       is_rate(r->prefill_ms) && is_rate(r->samples);
}

/*
 * Receivers sum the rates of all entries: one NaN or infinity would make the
 * whole sum useless. They compute with the endpoints' limits.
 */
static bool rates_valid(const struct gsp_record *r)
{
	unsigned i;

	for (i = 0; i < r->nr_demands; i++) {
		if (!is_rate(r->demands[i].per_s))
			return false;
	}
	for (i = 0; i < r->nr_services; i++) {
		if (!is_rate(r->services[i].prefill_tokens_per_s))
			return false;
		if (r->has_capacity && !is_report(&r->services[i].offered))
			return false;
	}
	for (i = 0; i < r->nr_speeds; i++) {
		if (!is_rate(r->speeds[i].time_factor) ||
		    !is_rate(r->speeds[i].pause_rate) ||
		    !is_rate(r->speeds[i].samples))
			return false;
	}
	for (i = 0; i < r->nr_rollouts; i++) {
		if (!is_rate(r->rollouts[i].share))
			return false;
	}
	for (i = 0; i < r->nr_statements; i++) {
		if (!is_rate(r->statements[i].per_s))
			return false;
	}
	return is_rate(r->requests_per_s) && is_rate(r->core_requests_per_s);
}

/*
 * The longest duration, a hundred years in ms: sums and differences cannot overflow.
 */
#define MAX_DURATION_MS 3155760000000

static bool is_in_range(int64_t v, int64_t min, int64_t max)
{
	return v >= min && v <= max;
}

static bool numbers_valid(const struct gsp_record *r)
{
	unsigned i;

	for (i = 0; i < r->nr_counts; i++) {
		if (!is_in_range(r->counts[i].runs, 0, UINT32_MAX) ||
		    !is_in_range(r->counts[i].window, 0, CLK_MAX_WALL_MS))
			return false;
	}
	return is_in_range(r->true_ms, 0, CLK_MAX_WALL_MS) &&
	       is_in_range(r->stamp_ms, 0, MAX_DURATION_MS) &&
	       is_in_range(r->echo_stamp_ms, 0, MAX_DURATION_MS) &&
	       is_in_range(r->echo_hold_ms, 0, MAX_DURATION_MS) &&
	       is_in_range(r->cfg_confirmed_age_ms, -1, MAX_DURATION_MS) &&
	       is_in_range(r->store_era, 0, VER_MAX_ERA);
}

bool gsp_decode(struct gsp_record *r, const char *in, size_t len)
{
	XDR x;
	bool ok;

	gsp_clear(r);
	xdrmem_create(&x, (char *)in, (u_int)len, XDR_DECODE);
	ok = xdr_record(&x, r);
	if (ok && xdr_getpos(&x) < len)
		ok = xdr_era_and_fatal(&x, r);
	if (ok && xdr_getpos(&x) < len)
		ok = xdr_rollouts(&x, r);
	if (ok && xdr_getpos(&x) < len)
		ok = xdr_membership(&x, r);
	if (ok && xdr_getpos(&x) < len)
		ok = xdr_statements(&x, r);
	if (ok && xdr_getpos(&x) < len)
		ok = xdr_relays(&x, r);
	if (ok && xdr_getpos(&x) < len)
		ok = xdr_capacity(&x, r);
	xdr_destroy(&x);
	return ok && r->name[0] && numbers_valid(r) && rates_valid(r);
}
