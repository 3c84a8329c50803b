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

/* After a call that brought nothing, the next one comes so much later. */
static int64_t pause(const struct vfy *v, const struct vfy_state *s)
{
	if (!v->absent || s->behind)
		return VFY_RETRY_MS;
	return s->place == 0 ? VFY_ABSENT_MS : VFY_ABSENT_OTHERS_MS;
}

/* True if another entry is to be asked first; once for each version. */
static bool peer_first(const struct vfy *v, const struct vfy_state *s)
{
	return s->behind && !s->wanted && s->follows && s->place < 0 &&
	       s->named && v->peer_asked != s->named;
}

static bool peer_due(const struct vfy *v, const struct vfy_state *s,
		     int64_t now)
{
	return now - v->behind_ms >=
	       VFY_PEER_MS + (int64_t)(s->spread % VFY_PEER_SPREAD_MS);
}

static enum vfy_call ask_peer(struct vfy *v, const struct vfy_state *s,
			      int64_t now)
{
	v->peer_asked = s->named;
	v->calling = true;
	v->asked_ms = now;
	v->wait_ms = 0;
	return VFY_PEER;
}

enum vfy_call vfy_next(struct vfy *v, const struct vfy_state *s, int64_t now,
		       int *wait_ms)
{
	const bool soon = s->behind || s->wanted;

	*wait_ms = 0;
	if (!s->behind)
		v->behind_ms = 0;
	else if (!v->behind_ms)
		v->behind_ms = now;
	if (v->calling)
		return VFY_NONE;
	if (v->asked_ms && !s->wanted && now - v->asked_ms < pause(v, s))
		return VFY_NONE;
	if (peer_first(v, s))
		return peer_due(v, s, now) ? ask_peer(v, s, now) : VFY_NONE;
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
	v->absent = false;
}

int64_t vfy_asked_ms(const struct vfy *v)
{
	return v->asked_ms - (v->wait_ms ? VFY_NOTICE_MS : 0);
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

void vfy_peer_failed(struct vfy *v)
{
	v->calling = false;
	v->asked_ms = 0;
}

void vfy_absent(struct vfy *v)
{
	v->calling = false;
	v->absent = true;
}
