/*
 * gsp: what entries tell each other, in one datagram each, in XDR.
 *
 * A datagram holds the sender's own facts and, for its receiver alone, an
 * echo of the last datagram that came from there. The echo bounds from below
 * when this datagram was sent, in the receiver's own time, however long it
 * was on the way or lay unread.
 */
#ifndef GSP_H
#define GSP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "model/svc.h"
#include "request/fatal.h"
#include "rollout/tally.h"

#define GSP_NAME 64
#define GSP_ACCOUNTS 64
#define GSP_LOADS 128
#define GSP_SERVICES 8
#define GSP_COUNTS 96 /* windows x accounts */
#define GSP_TALLIES 96
#define GSP_ROLLED_BACK 8
#define GSP_MAX_BYTES 8192

struct gsp_demand {
	char account[GSP_NAME];
	double per_s;
};

struct gsp_load {
	uint64_t endpoint; /* hash of its id */
	int running;
	int prefill_tokens;
};

struct gsp_count {
	uint64_t source; /* hash of the name and boot of who counted */
	int64_t window;
	char account[GSP_NAME];
	int64_t runs;
};

/* Of a service: our load, and what its answers showed us. */
struct gsp_service {
	double reads_per_s; /* prompt tokens to be read, of our requests */
	struct svc_told told;
};

/* Outcomes of the sender's requests in a roll-out in progress. */
struct gsp_tally {
	uint64_t order;
	struct tal_row row;
};

struct gsp_record {
	char name[GSP_NAME];
	uint64_t boot; /* drawn at the start of the process */
	uint32_t seq;
	int64_t stamp_ms; /* sender's clock, for the receiver's echo */
	int64_t true_ms;  /* sender's estimate of the time of day */
	bool taking;	  /* takes new requests */
	bool store_ok;	  /* reaches the store itself */
	int64_t cfg_version;
	int64_t fresh_age_ms; /* since it was known to be the newest; -1: never */
	double requests_per_s;
	int64_t store_era; /* as the sender knows it */
	bool with_counts;  /* `counts` holds all that the sender knows */

	uint64_t echo_boot;    /* of the receiver's datagram; 0: none yet */
	int64_t echo_stamp_ms; /* its stamp */
	int64_t echo_hold_ms;  /* since it arrived at the sender */

	unsigned nr_demands, nr_loads, nr_services, nr_counts, nr_fatal;
	unsigned nr_tallies, nr_rolled_back;
	struct gsp_demand demands[GSP_ACCOUNTS];
	struct gsp_load loads[GSP_LOADS];
	struct gsp_service services[GSP_SERVICES];
	struct gsp_count counts[GSP_COUNTS];
	struct fatal_gossip
		fatal[FATAL_MAX_GOSSIP]; /* requests that end endpoints */
	struct gsp_tally tallies[GSP_TALLIES];
	uint64_t rolled_back[GSP_ROLLED_BACK]; /* orders */
};

/*
 * Empties a record, and copies one. Rows beyond the counts of them are left
 * as they are: a record has room for sixteen kilobytes and mostly uses some
 * hundred bytes, and five hundred are heard in a second.
 */
void gsp_clear(struct gsp_record *r);
void gsp_copy(struct gsp_record *to, const struct gsp_record *from);

/* Encodes into `out`; returns the bytes, or 0 if they do not fit. */
size_t gsp_encode(const struct gsp_record *r, char *out, size_t size);

/*
 * Decodes; false if the bytes are no record. Earlier releases omit and ignore the fields from the era on, or from the
 * tallies on: releases run side by side during an upgrade of the fleet.
 */
bool gsp_decode(struct gsp_record *r, const char *in, size_t len);

#endif
