/*
 * named: how many of the entries are named to callers.
 *
 * Callers pick one of the addresses that they are given at random. With many
 * entries each would see too few requests: its connections to endpoints are not
 * reused, its share of an account's limit is smaller than one request, and it
 * knows the load only by gossip. So only as many are named as the load needs;
 * the others stand by, ready.
 */
#ifndef ADVERTISE_H
#define ADVERTISE_H

#include <stddef.h>

/* Of `taking` entries that take requests, for this load, so many are named. */
size_t advertise_count(double requests_per_s, size_t taking);

#endif
