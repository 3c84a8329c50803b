#include "duty/scale.h"

#include <math.h>

/* Endpoints that stay, over all zones, as part of the need. */
#define FIRM_PART 0.5

/* Of all ordered, so much more than the need: for a zone that goes. */
#define SPARE_PART 1.5

static size_t cheapest(const struct scale_zone *z, size_t n,
		       const struct scale_input *in)
{
	size_t best = n, i;

	for (i = 0; i < n; i++) {
		if (z[i].want_firm + z[i].want_spot >= in->max ||
		    in->now_ms < z[i].firm_dry_ms)
			continue;
		/* One a zone before a second one anywhere. */
		if (best == n || z[i].want_firm < z[best].want_firm ||
		    (z[i].want_firm == z[best].want_firm &&
		     z[i].price < z[best].price))
			best = i;
	}
	return best;
}

static size_t barest(const struct scale_zone *z, size_t n,
		     const struct scale_input *in)
{
	size_t best = n, i;
	int have, least = 0;

	for (i = 0; i < n; i++) {
		have = z[i].want_firm + z[i].want_spot;
		if (have >= in->max || in->now_ms < z[i].spot_dry_ms)
			continue;
		if (best == n || have < least ||
		    (have == least && z[i].price < z[best].price)) {
			best = i;
			least = have;
		}
	}
	return best;
}

void scale_plan(const struct scale_input *in, struct scale_zone *z, size_t n)
{
	int firm = (int)ceil(in->need * FIRM_PART);
	int all = (int)ceil(in->need * SPARE_PART);
	int placed = 0;
	size_t i;

	for (i = 0; i < n; i++)
		z[i].want_firm = z[i].want_spot = 0;
	for (; firm > 0; firm--) {
		i = cheapest(z, n, in);
		if (i == n)
			break;
		z[i].want_firm++;
		placed++;
	}
	while (in->spot_price > 0 && placed < all) {
		i = barest(z, n, in);
		if (i == n)
			break;
		z[i].want_spot++;
		placed++;
	}
	for (i = 0; i < n; i++) {
		while (z[i].want_firm + z[i].want_spot < in->min) {
			if (in->spot_price > 0 &&
			    in->now_ms >= z[i].spot_dry_ms)
				z[i].want_spot++;
			else
				z[i].want_firm++;
		}
	}
}
