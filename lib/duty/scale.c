#include "duty/scale.h"

#include <math.h>

/*
 * Reclaimable endpoints for each that the load keeps busy: this over the root
 * of their price. Two zones of four may go in a row, and what is left has to
 * carry the load; what that saves falls with each further one, what it costs
 * does not, so the best number falls with the price's root. Against four at
 * any price, 12 pairs each: +0.016, +0.008 and +0.004 of a day's worth where
 * they cost 0.22, 0.15 and 0.15; +0.012 on twelve drawn deployments (0.13 to
 * 0.57), there +0.08 where they cost half. 1.3 and 1.7 gave less.
 */
#define SPOT_COVER 1.5

/*
 * Endpoints that stay, as part of the need, while nothing is short. With
 * reclaimable ones in all zones they earned less than they cost (0, 0.25 and
 * 0.5 were measured).
 */
#define FIRM_PART 0.0

/*
 * Of both kinds together at least, as part of the need: below it others that
 * stay are ordered. Of 1, 1.2, 1.5 and 2 the third gave the most.
 */
#define COVER_PART 1.5

/*
 * Those that stay leave within about twice this time: an endpoint reads the
 * shared parts of its share of the traffic in some four seconds.
 */
#define EASE_MS 4000.0

/*
 * While no reclaimable ones are to be had, the largest zone of them may go
 * next, with none to follow for many seconds: what is left without it must
 * be so many times what the load keeps busy, since it starts with empty
 * prompt caches and reads all shared parts anew. Measured as a day's worth:
 * on 83 entries with four zones reclaimed within 16 s 0.51 with 1, 0.60 with
 * 1.5, 0.63 with 2; on both small deployments, where one zone's endpoints
 * carry the load, the mean is 0.66 without, 0.655 with 1 and 0.637 with 2.
 */
#define LOSS_PART 1.5

/* "None to be had" is asked anew in turn: so long it still holds after. */
#define DRY_HOLD_MS 1500

/*
 * The need falls by this part of the difference at each look, and rises at
 * once: an order that is taken back costs a cache. About 13 s at 50 ms.
 */
#define NEED_DECAY 0.004

/* With so many times what they are good for, endpoints are crowded. */
#define CROWDED 1.2

/* Callers' bursts reach 1.7 times the usual load; what is beyond is queue. */
#define SURGE 1.5

void scale_look(struct scale_need *n, double load, int usable, double first)
{
	const bool crowded = load > usable * CROWDED;

	if (!n->need)
		n->need = n->usual = first;
	if (load > 0)
		n->loaded = true;
	if (!n->loaded)
		return;
	if (crowded && load > n->usual * SURGE)
		load = n->usual * SURGE;
	if (!crowded)
		n->usual += (load - n->usual) * NEED_DECAY;
	if (load > n->need)
		n->need = load;
	else
		n->need += (load - n->need) * NEED_DECAY;
}

/* Room in a zone beside the on-demand endpoints that run or start there. */
static int room_for_spot(const struct scale_zone *z,
			 const struct scale_input *in)
{
	const int kept = in->idle ? 0 : z->firm + z->firm_coming;

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
	const int kept = in->idle ? 0 : z->spot + z->spot_coming;

	return kept > z->want_spot ? kept : z->want_spot;
}

/* Spot endpoints that run or start keep theirs against new on-demand ones. */
static bool full_for_firm(const struct scale_zone *z,
			  const struct scale_input *in)
{
	const bool runs = z->want_firm < z->firm;

	return z->want_firm + (runs ? z->want_spot : spot_there(z, in)) >=
	       in->max;
}

/*
 * One a zone before a second one anywhere; of equals the cheapest. Where
 * none are to be had those that are there are kept.
 */
static size_t next_spot(const struct scale_zone *z, size_t n,
			const struct scale_input *in)
{
	size_t best = n, i;

	for (i = 0; i < n; i++) {
		if (full_for_spot(&z[i], in) ||
		    (in->now_ms < z[i].spot_dry_ms &&
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
	const bool bare = z->want_firm + z->want_spot < in->min;
	const bool runs = z->want_firm < z->firm;

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
		    (in->now_ms < z[i].firm_dry_ms &&
		     z[i].want_firm >= z[i].firm))
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

/* Reclaimable ones of the plan that are there, or were granted as well. */
static int sure_spot(const struct scale_zone *z, size_t n, bool granted)
{
	int sum = 0, sure;
	size_t i;

	for (i = 0; i < n; i++) {
		sure = z[i].spot + (granted ? z[i].spot_coming : 0);
		sum += sure < z[i].want_spot ? sure : z[i].want_spot;
	}
	return sum;
}

static bool none_to_be_had(const struct scale_input *in,
			   const struct scale_zone *z, size_t n)
{
	size_t i;

	for (i = 0; i < n; i++) {
		if (z[i].spot_dry_ms &&
		    in->now_ms < z[i].spot_dry_ms + DRY_HOLD_MS)
			return true;
	}
	return false;
}

/* Others that must stand by so that the largest zone can go. */
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
 * Between two figures: none is added for what granted ones will cover, since
 * another one takes as long to start; none is taken away before those are
 * there. Taking away at once left no endpoint at all for four seconds after
 * a shortage ended.
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
		now += z[i].firm + z[i].firm_coming;
	if (in->idle)
		return low;
	if (now < low)
		return at_least(low, in->firm_least);
	return at_least(now < high ? now : high, in->firm_least);
}

double scale_ease(double held, int wanted, int64_t since_ms)
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
		z[i].want_firm++;
	}
}

static void keep_minimum(const struct scale_input *in, struct scale_zone *z)
{
	while (z->want_firm + at_least(z->want_spot, z->spot_coming) <
	       in->min) {
		if (in->spot_price > 0 && in->now_ms >= z->spot_dry_ms)
			z->want_spot++;
		else
			z->want_firm++;
	}
}

void scale_plan(const struct scale_input *in, struct scale_zone *z, size_t n)
{
	size_t i;

	for (i = 0; i < n; i++)
		z[i].want_firm = z[i].want_spot = 0;
	place_spot(in, z, n);
	place_firm(in, z, n);
	for (i = 0; i < n; i++)
		keep_minimum(in, &z[i]);
}
