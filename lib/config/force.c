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

static void update_confirmed(struct force *f, int64_t at_ms)
{
	if (at_ms > f->confirmed_ms && at_ms >= f->ignore_before_ms)
		f->confirmed_ms = at_ms;
}

void force_reject_confirmations(struct force *f, int64_t until_ms)
{
	if (until_ms > f->ignore_before_ms)
		f->ignore_before_ms = until_ms;
}

bool force_offer(struct force *f, struct cfg *c, int64_t asked_ms)
{
	if (c->version > f->newest_known_version)
		f->newest_known_version = c->version;
	if (!f->cfg || c->version > f->cfg->version) {
		cfg_put(f->cfg);
		f->cfg = c;
		/* The store may return an older version than peers have. */
		if (!force_behind(f))
			update_confirmed(f, asked_ms);
		return true;
	}
	if (c->version == f->cfg->version)
		update_confirmed(f, asked_ms);
	cfg_put(c);
	return false;
}

void force_confirm(struct force *f, int64_t version, int64_t at_ms)
{
	if (version > f->newest_known_version)
		f->newest_known_version = version;
	if (f->cfg && version == f->cfg->version)
		update_confirmed(f, at_ms);
}

bool force_behind(const struct force *f)
{
	return f->newest_known_version > (f->cfg ? f->cfg->version : 0);
}

int64_t force_age(const struct force *f, int64_t now_ms)
{
	return f->confirmed_ms ? now_ms - f->confirmed_ms : INT64_MAX;
}

bool force_can_check_key(const struct force *f, int64_t arrived_ms,
			 int revoke_ms)
{
	return f->confirmed_ms && arrived_ms - f->confirmed_ms < revoke_ms;
}
