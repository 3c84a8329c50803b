#include "route/parts.h"

#include <string.h>

void parts_init(struct parts *p)
{
	memset(p, 0, sizeof(*p));
}

void parts_record(struct parts *p, uint64_t part, uint64_t endpoint,
		  int64_t now)
{
	struct parts_row *set = p->rows[part % PARTS_SETS], *oldest = set;
	int i;

	for (i = 0; i < PARTS_WAYS; i++) {
		if (set[i].part == part && set[i].endpoint == endpoint) {
			set[i].used_ms = now;
			return;
		}
		if (set[i].used_ms < oldest->used_ms)
			oldest = &set[i];
	}
	*oldest = (struct parts_row){ part, endpoint, now };
}

bool parts_likely_cached(const struct parts *p, uint64_t part,
			 uint64_t endpoint, int64_t now)
{
	const struct parts_row *set = p->rows[part % PARTS_SETS];
	int i;

	for (i = 0; i < PARTS_WAYS; i++) {
		if (set[i].used_ms && set[i].part == part &&
		    set[i].endpoint == endpoint)
			return now - set[i].used_ms < PARTS_CACHED_MS;
	}
	return false;
}
