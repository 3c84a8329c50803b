#include "member/advertise.h"

/*
 * A request costs an entry about 0.7 ms of a processor, and the smallest
 * instances have 0.12 of one: with so many a second a burst of five times as
 * much still fits. With fewer each, more entries share an account's limit, and
 * what they admit before they hear of each other adds up.
 */
#define REQUESTS_EACH_PER_S 24.0

/*
 * At least so many: when one dies its callers are spread over the others,
 * and a twentieth of the requests under way is lost with it at most.
 */
#define NAMED_LEAST 24

size_t advertise_count(double requests_per_s, size_t taking)
{
	const double need = requests_per_s / REQUESTS_EACH_PER_S;
	size_t n = NAMED_LEAST;

	if (need > NAMED_LEAST)
		n = need < (double)taking ? (size_t)need + 1 : taking;
	return n < taking ? n : taking;
}
