#include "config/force.h"

#include <stddef.h>
#include <string.h>

void force_init(struct force *f)
{
	memset(f, 0, sizeof(*f));
}

void force_free(struct force *f)
{
	cfg_put(f->cfg);
	f->cfg = NULL;
}

static void freshen(struct force *f, int64_t at_ms)
{
	if (at_ms > f->fresh_ms && at_ms >= f->doubt_ms)
		f->fresh_ms = at_ms;
}

void force_doubt(struct force *f, int64_t until_ms)
{
	if (until_ms > f->doubt_ms)
		f->doubt_ms = until_ms;
}

bool force_offer(struct force *f, struct cfg *c, int64_t asked_ms)
{
	if (c->version > f->wanted)
		f->wanted = c->version;
	if (!f->cfg || c->version > f->cfg->version) {
		cfg_put(f->cfg);
		f->cfg = c;
		/* The store may give an older one than others have. */
		if (!force_behind(f))
			freshen(f, asked_ms);
		return true;
	}
	if (c->version == f->cfg->version)
		freshen(f, asked_ms);
	cfg_put(c);
	return false;
}

void force_confirm(struct force *f, int64_t version, int64_t at_ms)
{
	if (version > f->wanted)
		f->wanted = version;
	if (f->cfg && version == f->cfg->version)
		freshen(f, at_ms);
}

bool force_behind(const struct force *f)
{
	return f->wanted > (f->cfg ? f->cfg->version : 0);
}

int64_t force_age(const struct force *f, int64_t now_ms)
{
	return f->fresh_ms ? now_ms - f->fresh_ms : INT64_MAX;
}

bool force_covers(const struct force *f, int64_t arrived_ms, int revoke_ms)
{
	return f->fresh_ms && arrived_ms - f->fresh_ms < revoke_ms;
}
