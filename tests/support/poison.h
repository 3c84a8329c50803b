/*
 * psn (poison): parts of prompts that crash the endpoints of a stand-in, and how
 * often requests with them were sent after that was to be known.
 */
#ifndef POISON_H
#define POISON_H

#include <stdbool.h>
#include <stdint.h>

#define PSN_MAX_PARTS 8
#define PSN_MAX_ENTRIES 512

/*
 * The rule: from PSN_STABLE_MS after this crash on, such requests are not sent
 * any more by entries that were neither restarted nor cut off since.
 */
#define PSN_KNOWN_CRASHES 5
#define PSN_STABLE_MS 3000

struct psn_part {
	char id[24];
	char version[32]; /* only its endpoints crash; "": all */
	int events;	  /* whole ones before the crash; -1: not even a head */
	bool within;	  /* the crash leaves half an event more */
	bool reset;	  /* connections are reset; false: closed in order */
	unsigned sends, late;
	unsigned crashes;
	int64_t known_ms; /* of crash PSN_KNOWN_CRASHES; 0: none */
	int64_t last_ms;  /* of the last of the first PSN_KNOWN_CRASHES */
};

struct psn {
	struct psn_part parts[PSN_MAX_PARTS];
	unsigned nr_parts;
	int64_t excused_ms[PSN_MAX_ENTRIES]; /* by the entry's number */
};

/* Adds a part by the query of `url`: part, events, within, reset, version. */
void psn_add(struct psn *p, const char *url);

/* No part crashes endpoints any more; the counts are dropped. */
void psn_clear(struct psn *p);

/* The entry was restarted or cut off: its sends do not count for a while. */
void psn_excuse(struct psn *p, unsigned entry, int64_t now_ms);

/*
 * Counts the send of a request with this Prefix-Hash (NULL: none) to an endpoint
 * of `version`. `id`: of the attempt, which names the entry. Returns the set of
 * its parts that crash the endpoint, a bit each.
 */
unsigned psn_sent(struct psn *p, const char *prefix, const char *id,
		  const char *version, int64_t now_ms);

/* Which one of the set decides how the endpoint crashes; NULL: the set is empty. */
const struct psn_part *psn_first(const struct psn *p, unsigned set);

/* An endpoint crashed under the parts of the set. */
void psn_crashed(struct psn *p, unsigned set, int64_t now_ms);

#endif
