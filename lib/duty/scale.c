#include "duty/scale.h"

#include <math.h>
#include <stdlib.h>

/*
 * Spot endpoints per needed endpoint: this value divided by the square root of
 * the relative spot price. The benefit of each further spot endpoint in a
 * reclaim falls with their number; its price does not.
 */
#define SPOT_PER_NEED 1.5

/* On-demand endpoints relative to the need, while spot is available. */
#define MIN_ON_DEMAND_RATIO 0.0

/*
 * Endpoints of both kinds relative to the need. On-demand endpoints make up for
 * what is missing: two of four zones may be reclaimed in a row.
 */
#define TOTAL_RATIO 1.5

/*
 * Time constant, ms, of the drain of on-demand endpoints, which takes about
 * twice as long in all. A new endpoint needs some four seconds to read the
 * shared prompt prefixes of its share of the traffic.
 */
#define DRAIN_MS 4000.0

/*
 * While spot capacity is unavailable, the endpoints outside the largest spot
 * zone must be this multiple of the busy ones: that zone may be reclaimed next,
 * and its replacements start with empty prefix caches.
 */
#define ZONE_LOSS_RATIO 1.5

/*
 * The same after the loss of two zones in a row. On-demand endpoints that are
 * ordered at the first of them start a few seconds later.
 */
#define TWO_ZONES_LOSS_RATIO 1.25

/*
 * The loss of a second zone is covered from this load on, in busy endpoints for
 * each zone. With less, the minimum of one endpoint in each zone is most of what
 * is needed, and the cover cost more than it saved.
 */
#define MIN_LOAD_PER_ZONE 2.0

/*
 * A zone whose order was refused counts as unavailable for this time, ms,
 * beyond no_spot_until_ms.
 */
#define UNAVAILABLE_HOLD_MS 1500

/*
 * The need rises at once and falls by this fraction of the difference at each
 * sample (every 50 ms, so with a time constant of about 13 s): an order that is
 * withdrawn costs a warm prefix cache.
 */
#define NEED_DECAY 0.004

/* Endpoints are crowded if the load exceeds this multiple of their number. */
#define CROWDED_RATIO 1.2

/* Highest load relative to the baseline; what exceeds it is queue. */
#define MAX_SURGE_RATIO 1.5

/*
 * Samples with load after which the highest one is reliable, and the bound of
 * the need relative to it.
 */
#define MIN_LOADED_SAMPLES 60
#define MAX_PEAK_RATIO 4.0

/* Bounds the need by the highest load of late. */
static void bound_by_peak(struct scale_need *n, double load)
{
	double most;

	n->peak = load > n->peak ? load
				 : n->peak + (load - n->peak) * NEED_DECAY;
	if (load > 0 && n->nr_loaded < MIN_LOADED_SAMPLES)
		n->nr_loaded++;
	if (n->nr_loaded < MIN_LOADED_SAMPLES)
		return;
	most = n->peak * MAX_PEAK_RATIO;
	if (n->need > most)
		n->need = most;
	if (n->baseline > most)
		n->baseline = most;
}

void scale_update_need(struct scale_need *n, double load, int usable,
		       double initial)
{
	const bool crowded = load > usable * CROWDED_RATIO;

	if (!n->need)
		n->need = n->baseline = initial;
	if (load > 0)
		n->load_seen = true;
	if (!n->load_seen)
		return;
	if (crowded && load > n->baseline * MAX_SURGE_RATIO)
		load = n->baseline * MAX_SURGE_RATIO;
	if (!crowded)
		n->baseline += (load - n->baseline) * NEED_DECAY;
	if (load > n->need)
		n->need = load;
	else
		n->need += (load - n->need) * NEED_DECAY;
	bound_by_peak(n, load);
}

/* Spot endpoints that fit in a zone beside its on-demand ones. */
static int spot_limit(const struct scale_zone *z, const struct scale_input *in)
{
	const int kept = in->no_load_yet ? 0
					 : z->on_demand + z->on_demand_starting;

	return kept < in->max ? in->max - kept : 0;
}

/*
 * Running and starting on-demand endpoints count against the zone's maximum:
 * otherwise planned spot endpoints would replace them before serving
 * themselves. Before the first request they may be replaced at once, since no
 * endpoint is in use yet.
 */
static bool spot_full(const struct scale_zone *z, const struct scale_input *in)
{
	return z->want_spot >= spot_limit(z, in);
}

/*
 * Spot endpoints that are planned, or that run and start if these are more.
 */
static int spot_reserved(const struct scale_zone *z,
			 const struct scale_input *in)
{
	const int kept = in->no_load_yet ? 0 : z->spot + z->spot_starting;

	return kept > z->want_spot ? kept : z->want_spot;
}

/*
 * True if the next on-demand endpoint of the zone is one that runs or starts. An
 * order that moved starting endpoints to a cheaper zone had them begin anew,
 * four seconds before they were needed.
 */
static bool keeps_on_demand(const struct scale_zone *z)
{
	return z->want_on_demand < z->on_demand + z->on_demand_starting;
}

/*
 * Running and starting spot endpoints count against the zone's maximum when an
 * on-demand endpoint is added, but not when one is kept.
 */
static bool on_demand_full(const struct scale_zone *z,
			   const struct scale_input *in)
{
	const bool keeps_running = z->want_on_demand < z->on_demand;

	return z->want_on_demand +
		       (keeps_running ? z->want_spot : spot_reserved(z, in)) >=
	       in->max;
}

/*
 * Returns the zone for the next spot endpoint: the one with the fewest, the
 * cheapest among equals; `n` if none has room. A zone without capacity only
 * keeps the endpoints that run there.
 */
static size_t best_spot_zone(const struct scale_zone *z, size_t n,
			     const struct scale_input *in)
{
	size_t best = n, i;

	for (i = 0; i < n; i++) {
		if (spot_full(&z[i], in) ||
		    (in->now_ms < z[i].no_spot_until_ms &&
		     z[i].want_spot >= z[i].spot))
			continue;
		if (best == n || z[i].want_spot < z[best].want_spot ||
		    (z[i].want_spot == z[best].want_spot &&
		     z[i].price < z[best].price))
			best = i;
	}
	return best;
}

/* Preference of a zone for the next on-demand endpoint; higher is better. */
static int on_demand_rank(const struct scale_input *in,
			  const struct scale_zone *z)
{
	const bool below_min = z->want_on_demand + z->want_spot < in->min;
	const bool keeps_running = z->want_on_demand < z->on_demand;

	return 4 * keeps_running + 2 * keeps_on_demand(z) + below_min;
}

/* Endpoints are kept before any is added elsewhere. */
static bool better_on_demand(const struct scale_input *in,
			     const struct scale_zone *a,
			     const struct scale_zone *b)
{
	const int rank_a = on_demand_rank(in, a),
		  rank_b = on_demand_rank(in, b);

	if (rank_a != rank_b)
		return rank_a > rank_b;
	return a->price < b->price;
}

static size_t best_on_demand_zone(const struct scale_zone *z, size_t n,
				  const struct scale_input *in)
{
	size_t best = n, i;

	for (i = 0; i < n; i++) {
		if (on_demand_full(&z[i], in) ||
		    (in->now_ms < z[i].no_on_demand_until_ms &&
		     !keeps_on_demand(&z[i])))
			continue;
		if (best == n || better_on_demand(in, &z[i], &z[best]))
			best = i;
	}
	return best;
}

static int wanted_spot(const struct scale_input *in)
{
	if (in->spot_price <= 0)
		return 0;
	return (int)ceil(
		in->need *
		(in->price_cover ? SPOT_PER_NEED / sqrt(in->spot_price) : 1));
}

/*
 * Spot endpoints move to another zone only once their replacements serve: the
 * plan removes no more of them than run in excess of the wanted number.
 */
static void keep_running_spot(const struct scale_input *in,
			      struct scale_zone *z, size_t n)
{
	int surplus = -wanted_spot(in), cut;
	size_t i;

	for (i = 0; i < n; i++)
		surplus += z[i].spot;
	for (i = 0; i < n; i++) {
		cut = z[i].spot - z[i].want_spot;
		if (cut <= 0)
			continue;
		if (cut > surplus)
			cut = surplus > 0 ? surplus : 0;
		surplus -= cut;
		z[i].want_spot = z[i].spot - cut;
		if (z[i].want_spot > spot_limit(&z[i], in))
			z[i].want_spot = spot_limit(&z[i], in);
	}
}

static void place_spot(const struct scale_input *in, struct scale_zone *z,
		       size_t n)
{
	int left = wanted_spot(in);
	size_t i;

	while (left-- > 0) {
		i = best_spot_zone(z, n, in);
		if (i == n)
			break;
		z[i].want_spot++;
	}
	keep_running_spot(in, z, n);
}

/* Planned spot endpoints that run or, with `granted`, are starting. */
static int counted_spot(const struct scale_zone *z, size_t n, bool granted)
{
	int sum = 0, usable;
	size_t i;

	for (i = 0; i < n; i++) {
		usable = z[i].spot + (granted ? z[i].spot_starting : 0);
		sum += usable < z[i].want_spot ? usable : z[i].want_spot;
	}
	return sum;
}

static bool spot_unavailable(const struct scale_input *in,
			     const struct scale_zone *z, size_t n)
{
	size_t i;

	for (i = 0; i < n; i++) {
		if (z[i].no_spot_until_ms &&
		    in->now_ms < z[i].no_spot_until_ms + UNAVAILABLE_HOLD_MS)
			return true;
	}
	return false;
}

static int max_int(int number, int bound)
{
	return number < bound ? bound : number;
}

/*
 * On-demand endpoints needed to survive the loss of the largest spot zone, and,
 * with `two_zones`, of the two largest: the next zone may be reclaimed sooner
 * than an on-demand endpoint starts that is ordered then. With one zone covered,
 * 25 of 165 endpoints were left two seconds after the second reclaim. The second
 * loss is covered for the load of the moment, not for the highest one of late.
 */
static int zone_loss_cover(const struct scale_input *in,
			   const struct scale_zone *z, size_t n)
{
	int sum = 0, largest = 0, second = 0, cover;
	size_t i;

	if (!in->loss_cover || !spot_unavailable(in, z, n))
		return 0;
	for (i = 0; i < n; i++) {
		sum += z[i].spot;
		if (z[i].spot > largest) {
			second = largest;
			largest = z[i].spot;
		} else if (z[i].spot > second) {
			second = z[i].spot;
		}
	}
	cover = (int)ceil(in->busy * ZONE_LOSS_RATIO) - (sum - largest);
	if (!in->two_zones || in->load < MIN_LOAD_PER_ZONE * (double)n)
		return cover;
	return max_int(cover, (int)ceil(in->load * TWO_ZONES_LOSS_RATIO) -
				      (sum - largest - second));
}

/*
 * Returns the number of on-demand endpoints to plan: the current one, kept
 * between two bounds. For the lower bound, starting spot endpoints count as
 * cover, since an on-demand one would take as long to start. For the upper
 * bound they don't count, so that no on-demand endpoint is removed before they
 * serve.
 */
static int wanted_on_demand(const struct scale_input *in,
			    const struct scale_zone *z, size_t n)
{
	const int base = max_int(zone_loss_cover(in, z, n),
				 (int)ceil(in->need * MIN_ON_DEMAND_RATIO));
	const int cover = (int)ceil(in->need * TOTAL_RATIO);
	const int low = max_int(cover - counted_spot(z, n, true), base);
	const int high = max_int(cover - counted_spot(z, n, false), base);
	int now = 0;
	size_t i;

	for (i = 0; i < n; i++)
		now += z[i].on_demand + z[i].on_demand_starting;
	if (in->no_load_yet)
		return low;
	if (now < low)
		return max_int(low, in->min_on_demand);
	return max_int(now < high ? now : high, in->min_on_demand);
}

double scale_limit_drain(double held, int wanted, int64_t since_ms)
{
	const double left = held - held * (double)since_ms / DRAIN_MS;

	return left > wanted ? left : wanted;
}

static void place_on_demand(const struct scale_input *in, struct scale_zone *z,
			    size_t n)
{
	int left = wanted_on_demand(in, z, n);
	size_t i;

	while (left-- > 0) {
		i = best_on_demand_zone(z, n, in);
		if (i == n)
			return;
		z[i].want_on_demand++;
	}
}

/* Smallest change, relative to the accepted number, that is ordered at once. */
#define MIN_CHANGE_RATIO 0.1
#define MIN_CHANGE 2

/* A smaller change is ordered once the last order is this old. */
#define CHANGE_DELAY_MS 1500

bool scale_order_due(const struct scale_change *c)
{
	const int change = abs(c->wanted - c->accepted);
	const int min =
		max_int((int)ceil(c->accepted * MIN_CHANGE_RATIO), MIN_CHANGE);

	if (c->accepted < 0 || c->since_order_ms >= CHANGE_DELAY_MS)
		return true;
	if (c->wanted > c->running && c->accepted <= c->running)
		return true;
	return change >= min;
}

static void enforce_minimum(const struct scale_input *in, struct scale_zone *z)
{
	while (z->want_on_demand + max_int(z->want_spot, z->spot_starting) <
	       in->min) {
		if (in->spot_price > 0 && in->now_ms >= z->no_spot_until_ms)
			z->want_spot++;
		else
			z->want_on_demand++;
	}
}

void scale_plan(const struct scale_input *in, struct scale_zone *z, size_t n)
{
	size_t i;

	for (i = 0; i < n; i++)
		z[i].want_on_demand = z[i].want_spot = 0;
	place_spot(in, z, n);
	place_on_demand(in, z, n);
	for (i = 0; i < n; i++)
		enforce_minimum(in, &z[i]);
}
