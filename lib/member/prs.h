/*
 * prs: the other entries: who is registered, who was heard lately, and what
 * they last told.
 *
 * Registration in the store says who exists; datagrams say who is alive and
 * takes requests. An entry that is heard counts although its registration
 * lapsed while the store was away.
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
 * An entry that was silent for so long is not named to callers: five
 * datagrams in a row were lost, which with 3 in 100 lost is one in 40
 * million, or it is gone.
 */
#define PRS_ALIVE_MS 1000

/*
 * So long the facts of a silent entry (its part of the limits) still count:
 * it may live behind a cut.
 */
#define PRS_EXPIRE_MS 10000

struct prs_info {
	char name[GSP_NAME_SIZE];
	char zone[GSP_NAME_SIZE];
	char client_address[32]; /* IP:PORT where callers connect */
	char peer_address[32];	 /* IP:PORT for datagrams and calls of peers */
};

struct prs_peer {
	struct cds_list_head node; /* in prs.peers */
	UT_hash_handle by_name;	   /* in prs.names */
	struct prs_info info;
	struct sockaddr_in addr; /* info.peers */
	bool registered;
	int64_t received_ms;	 /* 0: never */
	int64_t unregistered_ms; /* registration lost; 0: not */
	uint64_t boot;
	int64_t boot_seen_ms; /* this boot was first heard */
	uint32_t seq;
	int64_t stamp_ms; /* of its last datagram, to be echoed */
	bool accepting, store_ok;
	bool collects_counts;	 /* is told all counts of usage */
	int64_t clock_offset_ms; /* its estimate of the time of day against ours */
	int64_t counts_true_ms;	 /* its time of day when it last told counts */
	struct gsp_record *last; /* what it last told; NULL: nothing */
};

struct prs {
	struct cds_list_head peers;
	struct prs_peer *names; /* by info.name */
	size_t count;
};

void prs_init(struct prs *p);
void prs_free(struct prs *p);

/* The store has this registration. Returns the peer. */
struct prs_peer *prs_register(struct prs *p, const struct prs_info *info,
			      int64_t now_ms);
void prs_unregister(struct prs *p, const char *name, int64_t now_ms);

/*
 * A datagram came. Returns its sender if it is known and the datagram is the
 * newest of that sender, else NULL.
 */
struct prs_peer *prs_receive(struct prs *p, const struct gsp_record *r,
			     int64_t now_ms, int64_t now_true_ms);

/*
 * When the version that `r` names was the newest, in our time, at the
 * earliest: from the echo of our own stamp. 0: cannot be told.
 */
int64_t prs_config_confirmed_ms(const struct gsp_record *r, uint64_t my_boot);

/* Fills in the echo for this receiver. */
void prs_fill_echo(const struct prs_peer *peer, struct gsp_record *r,
		   int64_t now_ms);

bool prs_alive(const struct prs_peer *peer, int64_t now_ms);

/* Entries that share the limits: we, and all that may be running. */
unsigned prs_count_running(const struct prs *p, int64_t now_ms);

/* Drops those that are neither registered nor heard for long. */
void prs_expire(struct prs *p, int64_t now_ms);

struct prs_peer *prs_find(struct prs *p, const char *name);

#endif
