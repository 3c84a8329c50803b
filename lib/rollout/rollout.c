#include "rollout/rollout.h"

#include <math.h>
#include <string.h>

#include "base/clk.h"
#include "base/hsh.h"
#include "base/jsn.h"
#include "rollout/verdict.h"
#include "store/ver.h"

/*
 * Fraction of the exposure limit that the trial uses. The rest is reserved for
 * the shift, when the target gets the full load for the first time.
 */
#define TRIAL_EXPOSURE_FRACTION 0.35
#define MAX_TRIAL_SHARE 0.2

/* Limits for the second half of a trial with few answers. */
#define SPARSE_TRIAL_EXPOSURE_FRACTION 0.7
#define MAX_SPARSE_TRIAL_SHARE 0.5

/*
 * Fraction of the slots below which the former version is no longer short,
 * once it was. Without hysteresis, each crossing of the limit would be a store
 * write.
 */
#define SHORT_END_FRACTION 0.75

/*
 * Time in which a trial during a shortage may use the exposure that the
 * requests so far permit. Counts that raise the share arrive up to 0.7 s late,
 * so a shorter time lets the share oscillate.
 */
#define USE_EXPOSURE_MS 2000

/*
 * Requests and time by which a trial during a shortage gets MIN_TRIAL_ANSWERS.
 * More requests than answers are needed, as some of these are on their way.
 */
#define EVIDENCE_REQUESTS 50
#define EVIDENCE_MS 2000

/* Minimum time over which the request rate is measured. */
#define MIN_RATE_PERIOD_MS 1000

/* Minimum relative change of the share, since each change is a store write. */
#define MIN_SHARE_CHANGE 0.3

/* Fractions of the exposure limit at which the trial pauses. */
#define PAUSE_SHARE_FRACTION 0.5
#define PAUSE_SLACK_FRACTION 0.4

/* Usable fractions of the exposure limit, since counts arrive with a delay. */
#define EXPOSURE_FRACTION 0.85
#define SLACK_FRACTION 0.75

/*
 * Some faults appear late, so the trial runs until the shift has to begin. The
 * remaining exposure determines the duration of the shift, within these limits.
 * The minimum covers propagation to all entries.
 */
#define MIN_SHIFT_MS 700
#define MIN_FULL_SHIFT_MS 500
#define MAX_SHIFT_FRACTION 0.25

/* Fraction of the shift during which the target gets half of the traffic. */
#define HALF_SHIFT_FRACTION 0.25

/* Time for entries to learn of the shift, and for their counts to arrive. */
#define SETTLE_MS 1200

/*
 * Streams of the former version cannot go on at the target. They have this
 * time to end before completion stops their endpoints.
 */
#define MAX_RUN_OUT_MS 7500

/*
 * Time for which completion waits for live entries to read the shift. An entry
 * that is isolated from the store does not read it, and must not block
 * completion for long.
 */
#define MAX_SHIFT_READ_MS 3000

/*
 * A change of the lease holder may delay the shift of all traffic past the
 * deadline by this time; after that, the roll-out is rolled back.
 */
#define MAX_OVERRUN_MS 2500

/* Minimum answers to pass a trial, normally and with little traffic. */
#define MIN_TRIAL_ANSWERS 40
#define MIN_SPARSE_ANSWERS 8

/* Minimum endpoints in a trial, since a single one may be faulty. */
#define MIN_TRIAL_ENDPOINTS 3

/* Endpoints that start later than this after completion are not withheld. */
#define LATE_START_MS 2000

static void set_stage(struct rol_record *r, enum rol_stage stage, double share,
		      const char *why, int64_t now)
{
	r->stage = stage;
	r->share = share;
	r->changed_ms = now;
	str_copy(r->why, why, sizeof(r->why));
}

void rol_begin(struct rol_record *r, const struct rol_order *o,
	       const struct rol_observation *s)
{
	memset(r, 0, sizeof(*r));
	str_copy(r->service, o->service, sizeof(r->service));
	str_copy(r->target, o->target, sizeof(r->target));
	str_copy(r->from, s->established, sizeof(r->from));
	r->order = o->version;
	r->began_ms = s->now_ms;
	r->within_ms = o->within_ms;
	if (!strcmp(r->target, r->from))
		set_stage(r, ROL_COMPLETED, 1, "the target serves already",
			  s->now_ms);
	else
		set_stage(r, ROL_TRIAL, 0, "ordered", s->now_ms);
}

void rol_roll_back(struct rol_record *r, const char *why, int64_t now)
{
	set_stage(r, ROL_ROLLED_BACK, 0, why, now);
}

bool rol_in_progress(const struct rol_record *r)
{
	return r->stage == ROL_TRIAL || r->stage == ROL_SHIFT ||
	       r->stage == ROL_RUN_OUT;
}

bool rol_matches_order(const struct rol_record *r, const struct rol_order *o)
{
	if (r->order == o->version)
		return true;
	return r->order && ver_era(r->order) != ver_era(o->version) &&
	       !strcmp(r->target, o->target) && r->within_ms == o->within_ms;
}

uint64_t rol_order_id(const struct rol_record *r)
{
	return hsh_bytes(&r->order, sizeof(r->order),
			 hsh_str(r->target, hsh_str(r->service, 0))) |
	       1;
}

/* ---- Steps ---- */

static int64_t deadline_of(const struct rol_record *r)
{
	return r->began_ms + r->within_ms;
}

/* Requests sent to both versions since the order. */
static double total_requests(const struct tal *counts)
{
	return tal_total(counts, false).sent + tal_total(counts, true).sent;
}

/* True if the target has received all that the trial may send so far. */
static bool trial_budget_used(const struct rol_limits *l,
			      const struct tal *counts)
{
	return tal_total(counts, false).sent >
	       PAUSE_SHARE_FRACTION * l->exposure_share *
			       total_requests(counts) +
		       PAUSE_SLACK_FRACTION * l->exposure_slack;
}

/* Mean requests per millisecond to both versions. */
static double request_rate(const struct rol_record *r,
			   const struct rol_observation *s)
{
	const double elapsed_ms = (double)(s->now_ms - r->began_ms);

	return total_requests(s->counts) / (elapsed_ms > 1 ? elapsed_ms : 1);
}

/* Delay until the counts of other entries arrive. */
#define COUNT_DELAY_MS 700

/* Requests that may be sent to the target if no others arrive any more. */
static double certain_exposure(const struct rol_record *r,
			       const struct rol_limits *l,
			       const struct rol_observation *s, double rate)
{
	return EXPOSURE_FRACTION * l->exposure_share *
		       total_requests(s->counts) +
	       SLACK_FRACTION * l->exposure_slack -
	       tal_total(s->counts, false).sent -
	       r->share * rate * COUNT_DELAY_MS;
}

/* Requests that may still be sent to the target before the deadline. */
static double remaining_exposure(const struct rol_record *r,
				 const struct rol_limits *l,
				 const struct rol_observation *s, double rate)
{
	return certain_exposure(r, l, s, rate) +
	       EXPOSURE_FRACTION * l->exposure_share * request_rate(r, s) *
		       (double)(deadline_of(r) - s->now_ms);
}

/*
 * True if there was no traffic at all. An entry that started since the order may
 * have lost what it counted, and all others with it.
 */
static bool had_no_traffic(const struct rol_record *r,
			   const struct rol_observation *s)
{
	return !total_requests(s->counts) &&
	       s->counting_since_ms <= r->began_ms;
}

/* True if there are enough answers to judge by, or no traffic at all. */
static bool has_enough_answers(const struct rol_record *r,
			       const struct rol_observation *s)
{
	const unsigned answered = tal_total(s->counts, false).answered;

	return answered >= MIN_TRIAL_ANSWERS || had_no_traffic(r, s) ||
	       (answered >= MIN_SPARSE_ANSWERS &&
		answered >= tal_total(s->counts, true).answered / 100);
}

/* True if half of the time has passed with hardly any answers. */
static bool is_sparse(const struct rol_record *r,
		      const struct rol_observation *s)
{
	return s->now_ms - r->began_ms > r->within_ms / 2 &&
	       tal_total(s->counts, false).answered < MIN_SPARSE_ANSWERS;
}

static double max_trial_share(const struct rol_record *r,
			      const struct rol_observation *s)
{
	return is_sparse(r, s) ? MAX_SPARSE_TRIAL_SHARE : MAX_TRIAL_SHARE;
}

/* True once the rate of requests is measured. */
static bool rate_is_known(const struct rol_record *r,
			  const struct rol_observation *s)
{
	return s->now_ms - r->began_ms >= MIN_RATE_PERIOD_MS &&
	       total_requests(s->counts) > 0 && r->within_ms > 0;
}

/*
 * Share of the trial without a shortage. With few requests, most of the limit
 * is the slack.
 */
static double usual_share(const struct rol_record *r,
			  const struct rol_limits *l,
			  const struct rol_observation *s)
{
	const double expected_requests =
		request_rate(r, s) * (double)r->within_ms;
	double share = l->exposure_share;

	if (!s->target_endpoints || trial_budget_used(l, s->counts))
		return 0;
	if (rate_is_known(r, s))
		share += SLACK_FRACTION * l->exposure_slack / expected_requests;
	share *= is_sparse(r, s) ? SPARSE_TRIAL_EXPOSURE_FRACTION
				 : TRIAL_EXPOSURE_FRACTION;
	return fmin(share, max_trial_share(r, s));
}

/* ---- Shortage of the former version ---- */

bool rol_is_short(const struct rol_observation *s)
{
	return s->former_slots > 0 && s->former_in_flight > s->former_slots;
}

/*
 * True while the trial uses all of the limit but what the shift needs: from the
 * beginning of a shortage until the former version has free slots again.
 */
static bool uses_full_exposure(const struct rol_record *r,
			       const struct rol_limits *l,
			       const struct rol_observation *s)
{
	return rol_is_short(s) ||
	       (r->stage == ROL_TRIAL && s->former_slots > 0 &&
		s->former_in_flight > SHORT_END_FRACTION * s->former_slots &&
		r->share > usual_share(r, l, s));
}

/*
 * Requests per millisecond that the target gets once all traffic is shifted. In
 * a shortage, clients offer more than is sent to the former version.
 */
static double shifted_rate(const struct rol_record *r,
			   const struct rol_limits *l,
			   const struct rol_observation *s)
{
	const double mean = request_rate(r, s);

	return uses_full_exposure(r, l, s) ? fmax(mean, s->offered_per_s / 1000)
					   : mean;
}

/* Part of the traffic of a shift that the target gets, by its two stages. */
#define SHIFTED_FRACTION (1 - HALF_SHIFT_FRACTION / 2)

/* Requests that are left for the trial, without those of the shift. */
static double trial_exposure(const struct rol_record *r,
			     const struct rol_limits *l,
			     const struct rol_observation *s, double rate)
{
	const double left = remaining_exposure(r, l, s, rate);

	return fmax(left - rate * SHIFTED_FRACTION * MIN_SHIFT_MS,
		    left * TRIAL_EXPOSURE_FRACTION);
}

/*
 * Share of the trial in a shortage: the rest of the limit, without what the
 * shift needs, over the rest of the time, or more until there are enough
 * answers. Beyond the share that each request permits, it uses only what the
 * requests so far permit, so that the limit holds if the rate falls.
 */
static double full_share(const struct rol_record *r, const struct rol_limits *l,
			 const struct rol_observation *s)
{
	const double rate = shifted_rate(r, l, s);
	const double time = (double)(deadline_of(r) - s->now_ms - MIN_SHIFT_MS);
	const double certain =
		EXPOSURE_FRACTION * l->exposure_share +
		certain_exposure(r, l, s, rate) / (rate * USE_EXPOSURE_MS);
	double share = 0;

	if (time > 0)
		share = trial_exposure(r, l, s, rate) / (rate * time);
	if (tal_total(s->counts, false).answered < MIN_TRIAL_ANSWERS)
		share = fmax(share, EVIDENCE_REQUESTS / (rate * EVIDENCE_MS));
	share = fmin(share, fmin(certain, max_trial_share(r, s)));
	return share > 0 ? share : 0;
}

static double trial_share(const struct rol_record *r,
			  const struct rol_limits *l,
			  const struct rol_observation *s)
{
	if (!s->target_endpoints || !rate_is_known(r, s) ||
	    !uses_full_exposure(r, l, s))
		return usual_share(r, l, s);
	/* A new lease holder does not know yet what the target has received. */
	return s->counts_complete ? full_share(r, l, s) : r->share;
}

/*
 * Time before the deadline at which the shift begins, in ms. In a shortage it
 * has no minimum: the limit is kept even if the shift then ends after the
 * deadline.
 */
static int64_t shift_duration(const struct rol_record *r,
			      const struct rol_limits *l,
			      const struct rol_observation *s)
{
	const double max = MAX_SHIFT_FRACTION * (double)r->within_ms;
	const double min = uses_full_exposure(r, l, s) ? 0 : MIN_SHIFT_MS;
	const double rate = shifted_rate(r, l, s);
	/* During the first part the target gets half of the traffic. */
	const double time =
		remaining_exposure(r, l, s, rate) / (rate * SHIFTED_FRACTION);

	if (!(time < max)) /* also if the rate is 0 */
		return (int64_t)max;
	return time > min ? (int64_t)time : (int64_t)min;
}

/* Ends the trial with a shift of all traffic or a roll-back. */
static void end_trial(struct rol_record *r, const struct rol_observation *s)
{
	if (s->target_endpoints < s->required_endpoints)
		rol_roll_back(r, "too few endpoints of the target", s->now_ms);
	else if (!has_enough_answers(r, s))
		rol_roll_back(r, "too few answers to judge by", s->now_ms);
	else
		set_stage(r, ROL_SHIFT, 0.5, "trial passed", s->now_ms);
}

static bool step_trial(struct rol_record *r, const struct rol_limits *l,
		       const struct rol_observation *s)
{
	const double share = trial_share(r, l, s);

	if (s->counts_complete &&
	    s->now_ms >= deadline_of(r) - shift_duration(r, l, s)) {
		end_trial(r, s);
		return true;
	}
	/* Each step is a store write that is sent to all entries. */
	if (share > 0 && r->share > 0 &&
	    fabs(share - r->share) < MIN_SHARE_CHANGE * r->share)
		return false;
	if (share <= 0 && r->share <= 0)
		return false;
	set_stage(r, ROL_TRIAL, share, share > 0 ? "trial" : "trial pauses",
		  s->now_ms);
	return true;
}

static bool step_shift(struct rol_record *r, const struct rol_observation *s)
{
	const int64_t left_ms = deadline_of(r) - s->now_ms;
	const int64_t in_stage_ms = s->now_ms - r->changed_ms;

	if (r->share < 1) {
		if ((double)in_stage_ms <
		    HALF_SHIFT_FRACTION * (double)(in_stage_ms + left_ms))
			return false;
		set_stage(r, ROL_SHIFT, 1, "shift", s->now_ms);
		return true;
	}
	if (in_stage_ms < MIN_FULL_SHIFT_MS || left_ms > SETTLE_MS)
		return false;
	set_stage(r, ROL_RUN_OUT, 1,
		  left_ms > 0 ? "streams run out" : "deadline reached",
		  s->now_ms);
	return true;
}

bool rol_is_shifted(enum rol_stage stage, double share)
{
	return stage == ROL_COMPLETED ||
	       ((stage == ROL_SHIFT || stage == ROL_RUN_OUT) && share >= 1);
}

/*
 * Completion stops the former version's endpoints, so they have to be idle, and
 * no entry may send them another request.
 */
static bool step_run_out(struct rol_record *r, const struct rol_observation *s)
{
	const int64_t in_stage_ms = s->now_ms - r->changed_ms;

	if (!s->counts_complete ||
	    (s->former_running >= 1 && in_stage_ms < MAX_RUN_OUT_MS) ||
	    (s->unshifted_entries > 0 && in_stage_ms < MAX_SHIFT_READ_MS))
		return false;
	set_stage(r, ROL_COMPLETED, 1, "answers as well as the former version",
		  s->now_ms);
	return true;
}

/* Endpoints of the target that currently receive requests. */
static unsigned receiving_endpoints(const struct rol_record *r,
				    const struct rol_observation *s)
{
	return r->stage == ROL_TRIAL
		       ? rol_trial_endpoints(r, (unsigned)s->target_endpoints)
		       : (unsigned)s->target_endpoints;
}

bool rol_step(struct rol_record *r, const struct rol_limits *l,
	      const struct rol_observation *s)
{
	if (!rol_in_progress(r))
		return false;
	if (vdt_evaluate(s->counts, receiving_endpoints(r, s)).worse) {
		rol_roll_back(r, "the target answers worse", s->now_ms);
		return true;
	}
	if (s->now_ms >= deadline_of(r) + MAX_OVERRUN_MS && r->share < 1) {
		rol_roll_back(r, "out of time", s->now_ms);
		return true;
	}
	switch (r->stage) {
	case ROL_TRIAL:
		return step_trial(r, l, s);
	case ROL_SHIFT:
		return step_shift(r, s);
	case ROL_RUN_OUT:
		return step_run_out(r, s);
	default:
		return false;
	}
}

/* ---- Per-entry routing ---- */

/* True if the endpoint started after its version was stopped. */
static bool started_after(const struct rol_record *r,
			  const struct flt_info *info)
{
	return info->started_ms > r->changed_ms + LATE_START_MS;
}

bool rol_replace_established(struct rol_established *e,
			     const struct rol_listed *l, int64_t now_ms)
{
	if (!e->version[0] || l->any_established || !l->first_other) {
		e->gone_ms = 0;
		return false;
	}
	if (!e->gone_ms)
		e->gone_ms = now_ms;
	if (now_ms - e->gone_ms < ROL_UNORDERED_DELAY_MS)
		return false;
	str_copy(e->version, l->first_other->version, sizeof(e->version));
	e->started_ms = l->first_other->started_ms;
	e->gone_ms = 0;
	return true;
}

enum flt_use rol_use(const struct rol_record *r, const char *established,
		     const struct flt_info *info, bool chosen)
{
	bool target, from;

	if (!r)
		return !*established || !strcmp(info->version, established)
			       ? FLT_IN_USE
			       : FLT_WITHHELD;
	target = !strcmp(info->version, r->target);
	from = !strcmp(info->version, r->from);
	switch (r->stage) {
	case ROL_TRIAL:
		if (target)
			return chosen && r->share > 0 ? FLT_ON_TRIAL
						      : FLT_WITHHELD;
		return from ? FLT_IN_USE : FLT_WITHHELD;
	case ROL_SHIFT:
	case ROL_RUN_OUT:
		if (target)
			return r->share < 1 ? FLT_ON_TRIAL : FLT_IN_USE;
		return from && r->share < 1 ? FLT_IN_USE : FLT_WITHHELD;
	case ROL_COMPLETED:
		return target || started_after(r, info) ? FLT_IN_USE
							: FLT_WITHHELD;
	case ROL_ROLLED_BACK:
		if (target)
			return FLT_REJECTED;
		return from ? FLT_IN_USE : FLT_WITHHELD;
	case ROL_UNORDERED:
		break;
	}
	/* Further versions come in the same way. */
	return FLT_IN_USE;
}

unsigned rol_trial_endpoints(const struct rol_record *r, unsigned n)
{
	unsigned wanted;

	if (r->stage != ROL_TRIAL)
		return n;
	wanted = (unsigned)ceil(r->share * n);
	if (wanted < MIN_TRIAL_ENDPOINTS)
		wanted = MIN_TRIAL_ENDPOINTS;
	return wanted < n ? wanted : n;
}

bool rol_selects_target(const struct rol_record *r, uint64_t key)
{
	const uint64_t h = hsh_rendezvous(key, rol_order_id(r));

	if (!rol_in_progress(r) || r->share >= 1)
		return false;
	return (double)(h >> 11) / (double)(1ull << 53) < r->share;
}

/* ---- The record ---- */

static const char *const stage_names[] = {
	[ROL_TRIAL] = "trial",	       [ROL_SHIFT] = "shift",
	[ROL_RUN_OUT] = "hand_over", /* the name that earlier releases read */
	[ROL_COMPLETED] = "completed", [ROL_ROLLED_BACK] = "rolled_back",
	[ROL_UNORDERED] = "open",
};

const char *rol_stage_name(enum rol_stage s)
{
	return stage_names[s];
}

void rol_encode(const struct rol_record *r, struct buf *out)
{
	buf_str(out, "{\"service\":");
	buf_json(out, r->service);
	buf_str(out, ",\"target\":");
	buf_json(out, r->target);
	buf_str(out, ",\"from\":");
	buf_json(out, r->from);
	buf_fmt(out,
		",\"order\":%lld,\"began_ms\":%lld,\"within_ms\":%lld,"
		"\"changed_ms\":%lld,\"stage\":\"%s\",\"share\":%.4f,\"why\":",
		(long long)r->order, (long long)r->began_ms,
		(long long)r->within_ms, (long long)r->changed_ms,
		stage_names[r->stage], r->share);
	buf_json(out, r->why);
	buf_str(out, "}");
}

static bool parse_stage(const char *word, enum rol_stage *out)
{
	size_t i;

	for (i = 0; i < sizeof(stage_names) / sizeof(stage_names[0]); i++) {
		if (strcmp(word, stage_names[i]))
			continue;
		*out = (enum rol_stage)i;
		return true;
	}
	return false;
}

/* The longest time for a roll-out: a day. */
#define MAX_WITHIN_MS 86400000

static bool times_are_valid(const struct rol_record *r)
{
	return r->began_ms >= 0 && r->began_ms <= CLK_MAX_WALL_MS &&
	       r->changed_ms >= 0 && r->changed_ms <= CLK_MAX_WALL_MS &&
	       r->within_ms >= 0 && r->within_ms <= MAX_WITHIN_MS;
}

bool rol_decode(const char *text, size_t len, struct rol_record *out)
{
	JSN_AUTO *o = jsn_parse(text, len);

	memset(out, 0, sizeof(*out));
	if (!o)
		return false;
	str_copy(out->service, jsn_str(o, "service", ""), FLT_NAME);
	str_copy(out->target, jsn_str(o, "target", ""), FLT_NAME);
	str_copy(out->from, jsn_str(o, "from", ""), FLT_NAME);
	str_copy(out->why, jsn_str(o, "why", ""), sizeof(out->why));
	out->order = jsn_int(o, "order", 0);
	out->began_ms = jsn_int(o, "began_ms", 0);
	out->within_ms = jsn_int(o, "within_ms", 0);
	out->changed_ms = jsn_int(o, "changed_ms", 0);
	out->share = jsn_dbl(o, "share", 0);
	return parse_stage(jsn_str(o, "stage", ""), &out->stage) &&
	       out->service[0] && out->target[0] && times_are_valid(out) &&
	       out->share >= 0 && out->share <= 1;
}
