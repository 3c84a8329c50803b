#include "member/named.h"

/*
 * Requests per second. A request costs an entry about 0.7 ms of CPU time, and
 * the smallest instances have 0.12 of a CPU: at this rate they can still serve
 * a burst of five times the rate. A lower rate would spread an account's limit
 * over more entries, and the requests that these admit before they learn of
 * each other's admissions by gossip add up.
 */
#define REQUESTS_PER_S_PER_ENTRY 24.0

/*
 * Entries. With 24, the clients of an entry that crashes are spread over many
 * others, and at most a twentieth of the requests in flight is lost with it.
 */
#define MIN_ADVERTISED 24

size_t named_count(double requests_per_s, size_t accepting)
{
	const double need = requests_per_s / REQUESTS_PER_S_PER_ENTRY;
	size_t n = MIN_ADVERTISED;

	if (need > MIN_ADVERTISED)
		n = need < (double)accepting ? (size_t)need + 1 : accepting;
	return n < accepting ? n : accepting;
}
