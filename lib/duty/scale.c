#include "duty/scale.h"

#include <math.h>

/*
 * Spot endpoints for each one that the load keeps busy: this over the root of
 * their price. What a further one saves in a reclaim falls with their number,
 * its price does not.
 */
#define SPOT_COVER 1.5

/* On-demand endpoints as part of the need, while no capacity is unavailable. */
#define FIRM_PART 0.0

/*
 * Endpoints of both kinds as part of the need. Below it on-demand ones are
 * ordered: two of four zones may be reclaimed in a row.
 */
#define COVER_PART 1.5

/*
 * On-demand endpoints drain over about twice this time: an endpoint needs some
 * four seconds to read the shared prompt prefixes of its part of the traffic.
 */
#define EASE_MS 4000.0

/*
 * While spot capacity is unavailable, the endpoints outside the largest spot
 * zone must be this multiple of those kept busy: that zone may go next, and
 * what replaces it starts with empty prompt caches.
 */
#define LOSS_PART 1.5

/* A zone counts as unavailable for this time after its last refused order. */
#define DRY_HOLD_MS 1500

/*
 * The need rises at once and falls by this part of the difference at each look
 * (every 50 ms, so over about 13 s): an order that is taken back costs a warm
 * cache.
 */
#define NEED_DECAY 0.004

/* Endpoints with more than this multiple of their load are crowded. */
#define CROWDED 1.2

/* The highest load relative to the usual one; beyond it is queue. */
#define SURGE 1.5

void scale_update_need(struct scale_need *n, double load, int usable,
		       double first)
{
	const bool crowded = load > usable * CROWDED;

	if (!n->need)
		n->need = n->baseline = first;
	if (load > 0)
		n->load_seen = true;
	if (!n->load_seen)
		return;
	if (crowded && load > n->baseline * SURGE)
		load = n->baseline * SURGE;
	if (!crowded)
		n->baseline += (load - n->baseline) * NEED_DECAY;
	if (load > n->need)
		n->need = load;
	else
		n->need += (load - n->need) * NEED_DECAY;
}

/* Room in a zone beside the on-demand endpoints that run or start there. */
static int room_for_spot(const struct scale_zone *z,
			 const struct scale_input *in)
{
	const int kept = in->no_load_yet ? 0
					 : z->on_demand + z->on_demand_starting;

	return kept < in->max ? in->max - kept : 0;
}

/*
 * On-demand endpoints that run or start keep their room: spot ones that are
 * only planned would push them out before they serve themselves. Before the
 * first request there is nothing to lose.
 */
static bool full_for_spot(const struct scale_zone *z,
			  const struct scale_input *in)
{
	return z->want_spot >= room_for_spot(z, in);
}

/* Spot endpoints of a zone: those planned, or those that run or start. */
static int spot_there(const struct scale_zone *z, const struct scale_input *in)
{
	const int kept = in->no_load_yet ? 0 : z->spot + z->spot_starting;

	return kept > z->want_spot ? kept : z->want_spot;
}

/* Spot endpoints that run or start keep theirs against new on-demand ones. */
static bool full_for_firm(const struct scale_zone *z,
			  const struct scale_input *in)
{
	const bool runs = z->want_on_demand < z->on_demand;

	return z->want_on_demand + (runs ? z->want_spot : spot_there(z, in)) >=
	       in->max;
}

/*
 * The zone with the fewest, the cheapest of equals. Where capacity is
 * unavailable, those that run are kept.
 */
static size_t next_spot(const struct scale_zone *z, size_t n,
			const struct scale_input *in)
{
	size_t best = n, i;

	for (i = 0; i < n; i++) {
		if (full_for_spot(&z[i], in) ||
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

/* How well the next on-demand endpoint is placed in a zone; higher is better. */
static int firm_rank(const struct scale_input *in, const struct scale_zone *z)
{
	const bool bare = z->want_on_demand + z->want_spot < in->min;
	const bool runs = z->want_on_demand < z->on_demand;

	return 2 * runs + bare;
}

/* Those that run are kept before any is added elsewhere. */
static bool better_firm(const struct scale_input *in,
			const struct scale_zone *a, const struct scale_zone *b)
{
	const int rank_a = firm_rank(in, a), rank_b = firm_rank(in, b);

	if (rank_a != rank_b)
		return rank_a > rank_b;
	return a->price < b->price;
}

static size_t next_firm(const struct scale_zone *z, size_t n,
			const struct scale_input *in)
{
	size_t best = n, i;

	for (i = 0; i < n; i++) {
		if (full_for_firm(&z[i], in) ||
		    (in->now_ms < z[i].no_on_demand_until_ms &&
		     z[i].want_on_demand >= z[i].on_demand))
			continue;
		if (best == n || better_firm(in, &z[i], &z[best]))
			best = i;
	}
	return best;
}

static int spot_wanted(const struct scale_input *in)
{
	if (in->spot_price <= 0)
		return 0;
	return (int)ceil(in->need * (in->price_cover
					     ? SPOT_COVER / sqrt(in->spot_price)
					     : 1));
}

/*
 * Spot endpoints change zones only once their successors serve: no more are
 * given up than run beyond the number wanted.
 */
static void keep_running_spot(const struct scale_input *in,
			      struct scale_zone *z, size_t n)
{
	int surplus = -spot_wanted(in), cut;
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
		if (z[i].want_spot > room_for_spot(&z[i], in))
			z[i].want_spot = room_for_spot(&z[i], in);
	}
}

static void place_spot(const struct scale_input *in, struct scale_zone *z,
		       size_t n)
{
	int left = spot_wanted(in);
	size_t i;

	while (left-- > 0) {
		i = next_spot(z, n, in);
		if (i == n)
			break;
		z[i].want_spot++;
	}
	keep_running_spot(in, z, n);
}

/* Planned spot endpoints that run, or were granted as well. */
static int sure_spot(const struct scale_zone *z, size_t n, bool granted)
{
	int sum = 0, sure;
	size_t i;

	for (i = 0; i < n; i++) {
		sure = z[i].spot + (granted ? z[i].spot_starting : 0);
		sum += sure < z[i].want_spot ? sure : z[i].want_spot;
	}
	return sum;
}

static bool none_to_be_had(const struct scale_input *in,
			   const struct scale_zone *z, size_t n)
{
	size_t i;

	for (i = 0; i < n; i++) {
		if (z[i].no_spot_until_ms &&
		    in->now_ms < z[i].no_spot_until_ms + DRY_HOLD_MS)
			return true;
	}
	return false;
}

/* On-demand endpoints needed so that the largest spot zone can go. */
static int against_loss(const struct scale_input *in,
			const struct scale_zone *z, size_t n)
{
	int sum = 0, most = 0;
	size_t i;

	if (!in->loss_cover || !none_to_be_had(in, z, n))
		return 0;
	for (i = 0; i < n; i++) {
		sum += z[i].spot;
		if (z[i].spot > most)
			most = z[i].spot;
	}
	return (int)ceil(in->busy * LOSS_PART) - (sum - most);
}

static int at_least(int number, int bound)
{
	return number < bound ? bound : number;
}

/*
 * Between two bounds: none is added for what granted spot endpoints will cover,
 * since another one takes as long to start; none is removed before those serve.
 */
static int firm_wanted(const struct scale_input *in, const struct scale_zone *z,
		       size_t n)
{
	const int base = at_least(against_loss(in, z, n),
				  (int)ceil(in->need * FIRM_PART));
	const int cover = (int)ceil(in->need * COVER_PART);
	const int low = at_least(cover - sure_spot(z, n, true), base);
	const int high = at_least(cover - sure_spot(z, n, false), base);
	int now = 0;
	size_t i;

	for (i = 0; i < n; i++)
		now += z[i].on_demand + z[i].on_demand_starting;
	if (in->no_load_yet)
		return low;
	if (now < low)
		return at_least(low, in->min_on_demand);
	return at_least(now < high ? now : high, in->min_on_demand);
}

double scale_limit_drain(double held, int wanted, int64_t since_ms)
{
	const double left = held - held * (double)since_ms / EASE_MS;

	return left > wanted ? left : wanted;
}

static void place_firm(const struct scale_input *in, struct scale_zone *z,
		       size_t n)
{
	int left = firm_wanted(in, z, n);
	size_t i;

	while (left-- > 0) {
		i = next_firm(z, n, in);
		if (i == n)
			return;
		z[i].want_on_demand++;
	}
}

static void keep_minimum(const struct scale_input *in, struct scale_zone *z)
{
	while (z->want_on_demand + at_least(z->want_spot, z->spot_starting) <
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
	place_firm(in, z, n);
	for (i = 0; i < n; i++)
		keep_minimum(in, &z[i]);
}
