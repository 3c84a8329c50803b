#include "support/poison.h"

#include <stdlib.h>
#include <string.h>

#include "base/buf.h"
#include "io/hmsg.h"

/* The number of this name in the query of `url`; 0: none. */
static int query_number(const char *url, const char *name)
{
	char number[16] = "0";

	hmsg_query(url, name, number, sizeof(number));
	return atoi(number);
}

void psn_add(struct psn *p, const char *url)
{
	struct psn_part *part = &p->parts[p->nr_parts];

	if (p->nr_parts == PSN_MAX_PARTS)
		return;
	p->nr_parts++;
	memset(part, 0, sizeof(*part));
	hmsg_query(url, "part", part->id, sizeof(part->id));
	hmsg_query(url, "version", part->version, sizeof(part->version));
	part->events = query_number(url, "events");
	part->within = query_number(url, "within");
	part->reset = query_number(url, "reset");
}

void psn_clear(struct psn *p)
{
	p->nr_parts = 0;
}

/* The entry's number in the id of an attempt, "eN-..."; 0: not stated. */
static unsigned entry_of(const char *id)
{
	const int n = id && id[0] == 'e' ? atoi(id + 1) : 0;

	return n > 0 && n < PSN_MAX_ENTRIES ? (unsigned)n : 0;
}

void psn_excuse(struct psn *p, unsigned entry, int64_t now)
{
	if (entry < PSN_MAX_ENTRIES)
		p->excused_ms[entry] = now;
}

/* True if the list has the part, at any place but the last. */
static bool has_part(const char *prefix, const char *id)
{
	const size_t n = strlen(id);
	const char *at = prefix;

	for (; at && strchr(at, ','); at = strchr(at, ',') + 1) {
		if (!strncmp(at, id, n) && (at[n] == ':' || at[n] == ','))
			return true;
	}
	return false;
}

unsigned psn_sent(struct psn *p, const char *prefix, const char *id,
		  const char *version, int64_t now)
{
	const int64_t excused = p->excused_ms[entry_of(id)];
	unsigned i, set = 0;

	for (i = 0; i < p->nr_parts; i++) {
		struct psn_part *part = &p->parts[i];

		if (!has_part(prefix, part->id))
			continue;
		part->sends++;
		part->late += part->known_ms &&
			      now - part->known_ms > PSN_STABLE_MS &&
			      (!excused || now - excused > PSN_STABLE_MS);
		if (!part->version[0] || !strcmp(part->version, version))
			set |= 1u << i;
	}
	return set;
}

const struct psn_part *psn_first(const struct psn *p, unsigned set)
{
	unsigned i;

	for (i = 0; i < p->nr_parts; i++) {
		if (set & 1u << i)
			return &p->parts[i];
	}
	return NULL;
}

void psn_crashed(struct psn *p, unsigned set, int64_t now)
{
	struct psn_part *part;
	unsigned i;

	for (i = 0; i < p->nr_parts; i++) {
		part = &p->parts[i];
		if (!(set & 1u << i))
			continue;
		if (++part->crashes == PSN_KNOWN_CRASHES)
			part->known_ms = now;
		if (part->crashes <= PSN_KNOWN_CRASHES)
			part->last_ms = now;
	}
}
