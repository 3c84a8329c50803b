/*
 * named: how many entries are advertised to clients.
 *
 * A client picks one of the advertised addresses at random. If every entry of a
 * large fleet were advertised, each would see too few requests: it could not
 * reuse its connections to endpoints, its share of an account's limit would be
 * less than one request, and it would know the endpoints' load by gossip only.
 * So only as many entries are advertised as the load needs. The others are
 * ready to take over.
 */
#ifndef NAMED_H
#define NAMED_H

#include <stddef.h>

/*
 * Returns how many entries to advertise if `accepting` of them accept requests
 * and the load of the whole fleet is `requests_per_s`. At most `accepting`.
 */
size_t named_count(double requests_per_s, size_t accepting);

#endif
