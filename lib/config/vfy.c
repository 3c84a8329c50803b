#include "config/vfy.h"

/* The age at which an entry asks by itself. */
static int64_t age_to_ask(const struct vfy_state *s)
{
	if (s->place == 0)
		return 0;
	if (s->place > 0)
		return VFY_AGE_MS + s->place * VFY_STEP_MS;
	return VFY_AGE_MS + VFY_OTHERS_MS +
	       (int64_t)(s->spread % VFY_SPREAD_MS);
}

static enum vfy_call how(const struct vfy *v, int64_t now)
{
	if (!v->revision || now - v->revision_ms > VFY_HISTORY_MS)
		return VFY_READ;
	return VFY_CHANGES;
}

enum vfy_call vfy_next(struct vfy *v, const struct vfy_state *s, int64_t now,
		       int *wait_ms)
{
	const bool soon = s->behind || s->wanted;

	*wait_ms = 0;
	if (v->calling)
		return VFY_NONE;
	if (v->asked_ms && !s->wanted && now - v->asked_ms < VFY_RETRY_MS)
		return VFY_NONE;
	if (!soon && s->age_ms < age_to_ask(s))
		return VFY_NONE;
	/* While a confirmation is overdue, the answer must not wait. */
	if (!soon && s->place == 0 && s->age_ms < VFY_AGE_MS)
		*wait_ms = VFY_WAIT_MS;
	v->calling = true;
	v->asked_ms = now;
	v->wait_ms = *wait_ms;
	return how(v, now);
}

void vfy_brought(struct vfy *v, int64_t revision, bool in_force, int64_t now)
{
	v->calling = false;
	v->revision = revision;
	v->revision_ms = now;
	v->in_force = in_force;
}

int64_t vfy_unchanged(struct vfy *v, int64_t revision, int64_t now)
{
	const int waited =
		v->wait_ms > VFY_NOTICE_MS ? v->wait_ms - VFY_NOTICE_MS : 0;

	vfy_brought(v, revision, v->in_force, now);
	return v->in_force ? v->asked_ms + waited : 0;
}

void vfy_history_lost(struct vfy *v)
{
	v->calling = false;
	v->revision = 0;
	v->asked_ms = 0;
}

void vfy_failed(struct vfy *v)
{
	v->calling = false;
}
