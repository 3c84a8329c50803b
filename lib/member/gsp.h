/*
 * gsp (gossip): the datagram that entries (the processes that accept client
 * requests) send each other, encoded in XDR.
 *
 * A datagram holds the sender's own state and, for this receiver alone, an
 * echo of the last datagram that the sender got from it. The echo carries the
 * receiver's own timestamp, which gives a lower bound, on the receiver's clock,
 * for when this datagram was sent, however long it was in transit or in the
 * socket's receive buffer.
 */
#ifndef GSP_H
#define GSP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "model/offered.h"
#include "model/svc.h"
#include "request/fatal.h"
#include "rollout/tally.h"

#define GSP_NAME_SIZE 64 /* bytes of a name, with its terminating zero */

/* Most datagrams of a group. */
#define GSP_MAX_PARTS 64

/* Most rows of each kind in a datagram. */
#define GSP_MAX_DEMANDS 64
#define GSP_MAX_LOADS 128
#define GSP_MAX_SERVICES 8
#define GSP_MAX_COUNTS 96 /* windows x accounts */
#define GSP_MAX_TALLIES 96
#define GSP_MAX_ROLLED_BACK 8
#define GSP_MAX_MEMBERS 256
#define GSP_MAX_STATEMENTS 32
#define GSP_MAX_BRITTLE 32
#define GSP_MAX_SPEEDS 32
#define GSP_MAX_ROLLOUTS 8

#define GSP_MAX_BYTES 8192 /* of an encoded datagram */

/* Demand of a client account at the sender, in the unit of its limit. */
struct gsp_demand {
	char account[GSP_NAME_SIZE];
	double per_s;
};

/* The sender's own load on an endpoint. */
struct gsp_load {
	uint64_t endpoint; /* hash of its id */
	int running;	   /* requests */
	int prefill_tokens;
};

/* Runs of an account in a usage window, as counted by one entry. */
struct gsp_count {
	uint64_t source; /* hash of the counting entry's name and boot */
	int64_t window;	 /* its number */
	char account[GSP_NAME_SIZE];
	int64_t runs;
};

/* The sender's load on a service, and its estimates from that one's answers. */
struct gsp_service {
	double prefill_tokens_per_s; /* prompt tokens of the sender's requests
				      * that need prefill */
	struct svc_snapshot estimates;
	struct ofd_report offered;
};

/* Outcomes of the sender's requests in a roll-out in progress. */
struct gsp_tally {
	uint64_t order; /* the roll-out order */
	struct tal_row row;
};

/* What an entry takes part in, see ovl.h. */
enum gsp_role {
	GSP_CORE, /* exchanges datagrams with the whole core */
	GSP_LEAF, /* exchanges datagrams with a few hubs */
};

/* Another entry of the core that the sender takes for alive. */
struct gsp_member {
	uint64_t entry;	 /* hash of its name, prs_peer.id */
	uint32_t age_ms; /* of that entry's last datagram */
	bool accepting;	 /* as in its head */
	bool store_ok;
};

/* What an endpoint last stated about the requests that it takes. */
struct gsp_statement {
	uint64_t endpoint; /* hash of its id */
	double per_s;	   /* its limit for all entries; 0: none */
	uint32_t age_ms;   /* of the answer that stated `per_s` */
	bool leaving;	   /* it is shutting down, and takes none */
};

/* An endpoint that is brittle, or was (brittle.h). */
struct gsp_brittle {
	uint64_t endpoint;    /* hash of its id */
	int32_t max_refusals; /* -1: not any more */
	uint32_t age_ms;      /* of the answer that stated it */
	uint32_t percent;     /* part of its slots that is used */
	bool refused;	      /* it refused a request */
	uint32_t refused_ms;  /* age of the last refusal */
};

/* Speed of an endpoint, relative to the model of its service. */
struct gsp_speed {
	uint64_t endpoint;  /* hash of its id */
	double time_factor; /* 1: as predicted, 2: twice as long */
	double pause_rate; /* streams with a pause beyond their bound, 0 to 1 */
	double samples;	   /* answers that the figures are based on */
	uint32_t age_ms;   /* of the last of these */
};

/* The record of a roll-out that the sender routes requests by. */
struct gsp_rollout {
	uint64_t order; /* the roll-out order */
	uint32_t stage; /* enum rol_stage */
	double share;	/* of the requests that go to the new version */
};

struct gsp_record {
	char name[GSP_NAME_SIZE];
	uint64_t boot;	  /* random, drawn at the start of the process */
	uint32_t seq;	  /* rises with each datagram of this boot */
	int64_t stamp_ms; /* sender's clock, for the receiver's echo */
	int64_t true_ms;  /* sender's estimate of the time of day */
	bool accepting;	  /* accepts new requests */
	bool store_ok;	  /* reaches the store without a relay */
	int64_t cfg_version;
	/* Since cfg_version was confirmed as the newest; -1: never. */
	int64_t cfg_confirmed_age_ms;
	double requests_per_s;
	int64_t store_era; /* highest era of the store that it knows */
	/* The datagrams of the group have all counts that the sender knows. */
	bool with_counts;

	uint64_t echo_boot;    /* boot of the echoed datagram; 0: none yet */
	int64_t echo_stamp_ms; /* stamp_ms of the echoed datagram */
	int64_t echo_hold_ms;  /* since the sender received it */

	unsigned nr_demands, nr_loads, nr_services, nr_counts, nr_fatal;
	unsigned nr_tallies, nr_rolled_back;

	/* False in datagrams of releases without roles; these are GSP_CORE. */
	bool has_role;
	enum gsp_role role;
	bool wants_members; /* of a leaf: to be answered with `members` */
	/*
	 * An entry's state may need several datagrams: parts from 0 on, with
	 * the same group. The first one has the rows that fit into one, and all
	 * parts together the demands and the counts. Releases without roles
	 * send a single one.
	 */
	uint32_t group; /* the first one's `seq` */
	uint32_t part;
	bool last_part;
	double core_requests_per_s; /* of the entries in `members`, summed up */
	unsigned nr_members;	    /* 0 unless the receiver is a leaf */

	unsigned nr_statements;

	/* Absent, so false, in datagrams of releases without relays. */
	bool relays;  /* opens tunnels to endpoints for other entries */
	bool cut_off; /* from all endpoints; it relays its own requests */
	/* Bit n: the same of members[n]. */
	uint32_t members_relay[GSP_MAX_MEMBERS / 32];
	uint32_t members_cut_off[GSP_MAX_MEMBERS / 32];
	unsigned nr_brittle;

	/*
	 * True if the fields below and the offered loads in `services` are
	 * set; false in datagrams of releases without them.
	 */
	bool has_capacity;
	unsigned nr_speeds, nr_rollouts;

	struct gsp_demand demands[GSP_MAX_DEMANDS];
	struct gsp_load loads[GSP_MAX_LOADS];
	struct gsp_service services[GSP_MAX_SERVICES];
	struct gsp_count counts[GSP_MAX_COUNTS];
	/* Poison requests: those that crash endpoints. */
	struct fatal_gossip fatal[FATAL_MAX_GOSSIP];
	struct gsp_tally tallies[GSP_MAX_TALLIES];
	uint64_t rolled_back[GSP_MAX_ROLLED_BACK]; /* roll-out orders */
	struct gsp_member members[GSP_MAX_MEMBERS];
	struct gsp_statement statements[GSP_MAX_STATEMENTS];
	struct gsp_brittle brittle[GSP_MAX_BRITTLE];
	struct gsp_speed speeds[GSP_MAX_SPEEDS];
	struct gsp_rollout rollouts[GSP_MAX_ROLLOUTS];
};

/* Set and get bit `n` of a set of members. */
static inline void gsp_set_member(uint32_t *set, unsigned n)
{
	set[n / 32] |= 1u << n % 32;
}

static inline bool gsp_has_member(const uint32_t *set, unsigned n)
{
	return set[n / 32] >> n % 32 & 1;
}

/*
 * Clear a record, and copy one without its demands, counts, members, speeds and
 * statements.
 * Rows beyond the nr_* counts are not touched: a record has room for 16 KB and
 * mostly uses a few hundred bytes, and an entry receives about 500 of them per
 * second.
 */
void gsp_clear(struct gsp_record *r);
void gsp_copy(struct gsp_record *to, const struct gsp_record *from);

/*
 * Encodes `r` into `out` of `size` bytes. Returns the encoded length in bytes,
 * or 0 if the record does not fit.
 */
size_t gsp_encode(const struct gsp_record *r, char *out, size_t size);

/*
 * Decodes `len` bytes into `r`. Returns false if they are not a valid record;
 * `r` is then undefined.
 *
 * Releases of different age run side by side while the fleet is upgraded.
 * Datagrams of earlier ones end before the offered loads, before what is said of
 * relays, or before the statements; those of yet earlier ones before the role and the members, before the
 * roll-outs (tallies, rolled_back), or before store_era and fatal already; what
 * is absent is decoded as 0 or none.
 * Earlier releases ignore the parts that they do not know.
 */
bool gsp_decode(struct gsp_record *r, const char *in, size_t len);

#endif
