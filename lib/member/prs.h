/*
 * prs (peers): the table of the other entries: which are registered, and the
 * last datagram of each with the time at which it arrived.
 *
 * The registration in the store tells that an entry exists; its datagrams tell
 * that it is alive and accepts requests. An entry that still sends datagrams
 * counts although its registration expired while the store was unreachable.
 *
 * Times are milliseconds of the caller's monotonic clock, except where noted.
 */
#ifndef PRS_H
#define PRS_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>
#include <urcu/list.h>

#include "base/tab.h"
#include "member/gsp.h"

/*
 * ms without a datagram after which, in a small fleet, an entry is no longer advertised to
 * clients: either it is down, or five datagrams in a row were lost, which has a
 * probability of 1 in 40 million at 3 % loss.
 */
#define PRS_ALIVE_MS 1000

/*
 * ms for which the last state of a silent entry (its share of the limits) still
 * counts: it may be running on the other side of a network partition.
 */
#define PRS_EXPIRE_MS 10000

/* ms after which a peer that did not answer counts as not asked before. */
#define PRS_ASK_AGAIN_MS 6000

/* What an entry registers in the store. */
struct prs_info {
	char name[GSP_NAME_SIZE];
	char zone[GSP_NAME_SIZE];
	char client_address[32]; /* IP:PORT for clients' connections */
	char peer_address[32];	 /* IP:PORT for peers' datagrams and calls */
};

/* The list of `struct prs` that a peer is in, beside `peers`. */
enum prs_list {
	PRS_NO_LIST,
	PRS_CORE,
	PRS_LEAVES
};

/* The demand for an account at a peer. */
struct prs_demand {
	char account[GSP_NAME_SIZE];
	double per_s;
	uint32_t group; /* of the datagram that had it last */
};

struct prs_peer {
	struct cds_list_head node;	/* in prs.peers */
	struct cds_list_head role_node; /* in prs.core or prs.leaves */
	UT_hash_handle by_name;		/* in prs.names */
	UT_hash_handle by_id;		/* in prs.ids */
	uint64_t id;			/* hash of the name */
	struct prs_info info;
	struct sockaddr_in addr; /* info.peer_address, parsed */
	bool registered;
	int64_t received_ms; /* its newest datagram; 0: none */
	int64_t reported_ms; /* a hub received one then; 0: none reported */
	int silence_ms; /* time without a datagram after which it is dead */
	int relay_ms;	/* additional time for what a hub reports */
	int64_t unanswered_ms; /* first datagram to it since its last; 0: none */
	int64_t unregistered_ms; /* its registration expired; 0: it has not */
	uint64_t boot;
	int64_t boot_seen_ms; /* first datagram with this boot */
	uint32_t seq;
	int64_t stamp_ms; /* of its newest datagram, to be echoed */
	int64_t acked_ms; /* our newest datagram that it echoed; 0: none */
	bool accepting, store_ok;
	bool relays;		   /* opens tunnels to endpoints for others */
	bool cut_off;		   /* from all endpoints */
	int64_t relay_failed_ms;   /* it opened no tunnel then; 0: it did */
	bool selected;		   /* in the core by its rank (ovl.h) */
	bool serves;		   /* clients may be directed to it */
	bool hub;		   /* may be a hub by its rank */
	bool has_role;		   /* its release declares a role */
	enum gsp_role role;	   /* as declared in its newest datagram */
	bool wants_members;	   /* likewise */
	enum prs_list list;	   /* the list that it is in */
	bool collects_counts;	   /* is sent all usage counts */
	int64_t collects_since_ms; /* 0: it does not */
	int64_t clock_offset_ms;   /* its time-of-day estimate minus ours */
	int64_t counts_true_ms; /* its time of day when it last sent counts */
	uint32_t group;		/* of its newest datagram */
	uint64_t parts;		/* bit n: part n of that group arrived */
	int nr_parts;		/* of that group; 0: not known yet */
	struct prs_demand *demands; /* of all parts */
	size_t nr_demands, max_demands;
	/*
	 * The first datagram of its newest group, without demands and counts;
	 * NULL: none, or a leaf.
	 */
	struct gsp_record *last;
};

struct prs {
	struct cds_list_head peers;
	struct cds_list_head core;   /* peers to exchange all state with */
	struct cds_list_head leaves; /* they send datagrams to this entry */
	struct prs_peer *names;	     /* by info.name */
	struct prs_peer *ids;	     /* by id */
	size_t count, nr_core, nr_leaves;
	bool changed; /* peers came or went; reset by ovl_update() */
};

void prs_init(struct prs *p);

/* Frees all peers, but not `p` itself. */
void prs_free(struct prs *p);

/*
 * Decodes a registration: a JSON object with `zone`, and the addresses `callers`
 * and `peers`. Returns false, with `out` undefined, if `name`, the zone or an
 * address is not valid or does not fit.
 */
bool prs_decode(const char *name, const char *text, size_t len,
		struct prs_info *out);

/*
 * Adds or updates a peer that is registered in the store. Returns the peer,
 * owned by `p`; NULL if its peer_address is not valid.
 */
struct prs_peer *prs_register(struct prs *p, const struct prs_info *info,
			      int64_t now_ms);

/* The registration of `name` is gone. The peer is kept until prs_expire(). */
void prs_unregister(struct prs *p, const char *name, int64_t now_ms);

/*
 * Records a received datagram (copied; of a leaf, only the head). `now_true_ms` is our estimate of the
 * time of day in ms. Returns the sender, or NULL if it is unknown or if the
 * datagram is not newer than its last one; then nothing is recorded.
 */
struct prs_peer *prs_receive(struct prs *p, const struct gsp_record *r,
			     int64_t now_ms, int64_t now_true_ms);

/*
 * Returns the time on our clock at which r->cfg_version was, at the earliest,
 * confirmed as the newest configuration. It is computed from the echo of our
 * own timestamp. 0 if `r` has no confirmation or no echo of a datagram of this
 * process (`my_boot`).
 */
int64_t prs_config_confirmed_ms(const struct gsp_record *r, uint64_t my_boot);

/*
 * Prepares `r` for the receiver `peer`, which is sent it now: sets the echo
 * fields.
 */
void prs_address(struct prs_peer *peer, struct gsp_record *r, int64_t now_ms);

/*
 * Records which datagram of ours, of the process `my_boot`, the peer's newest
 * one echoes.
 */
void prs_acknowledge(struct prs_peer *peer, const struct gsp_record *r,
		     uint64_t my_boot);

/*
 * True if what changed in the last `within_ms` may be all that the peer lacks:
 * it echoed a datagram that was sent since then.
 */
bool prs_up_to_date(const struct prs_peer *peer, int within_ms, int64_t now_ms);

/* Moves the peer to the list. */
void prs_set_list(struct prs *p, struct prs_peer *peer, enum prs_list list);

/*
 * Records the members that a hub reported in `r`, which was sent at `sent_ms`
 * on our clock. Peers that the table does not have are skipped.
 */
void prs_report_members(struct prs *p, const struct gsp_record *r,
			int64_t sent_ms);

/* True if a datagram of the peer arrived within its silence_ms. */
bool prs_heard(const struct prs_peer *peer, int64_t now_ms);

/*
 * True if prs_heard(), or if a hub reported a datagram of the peer that is no
 * older than silence_ms and relay_ms.
 */
bool prs_alive(const struct prs_peer *peer, int64_t now_ms);

/*
 * Returns the number of entries that may be running, this one included: those
 * that are registered, or whose last datagram arrived within PRS_EXPIRE_MS.
 * They share the limits.
 */
unsigned prs_count_running(const struct prs *p, int64_t now_ms);

/*
 * Frees the peers that have not been registered for PRS_EXPIRE_MS and whose
 * last datagram is older than that.
 */
void prs_expire(struct prs *p, int64_t now_ms);

/*
 * Returns the time on our clock at which `r` was sent, at the earliest, from
 * the echo of our own timestamp; 0 if it echoes no datagram of this process.
 */
int64_t prs_sent_ms(const struct gsp_record *r, uint64_t my_boot);

/* Returns the peer of this name, owned by `p`, or NULL. */
struct prs_peer *prs_find(struct prs *p, const char *name);

#endif
