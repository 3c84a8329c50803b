#include "config/vfy.h"

/* Age of the last confirmation at which the entry calls the store itself. */
static int64_t max_age_ms(const struct vfy_input *s)
{
	if (s->watcher_rank == 0)
		return 0;
	if (s->watcher_rank > 0)
		return VFY_MAX_AGE_MS + s->watcher_rank * VFY_RANK_STEP_MS;
	return VFY_MAX_AGE_MS + VFY_NON_WATCHER_DELAY_MS + s->relay_ms +
	       (int64_t)(s->jitter_seed % VFY_NON_WATCHER_JITTER_MS);
}

static enum vfy_call store_call(const struct vfy *v, int64_t now)
{
	if (!v->revision || now - v->revision_ms > VFY_MAX_REVISION_AGE_MS)
		return VFY_READ;
	return VFY_CHANGES;
}

/* Minimum time between the starts of two calls. */
static int64_t min_interval_ms(const struct vfy *v, const struct vfy_input *s)
{
	if (!v->store_empty || s->behind)
		return VFY_RETRY_MS;
	return s->watcher_rank == 0 ? VFY_ABSENT_MS : VFY_ABSENT_OTHERS_MS;
}

/* Whether to try the followed entry before the store; once per version. */
static bool use_peer(const struct vfy *v, const struct vfy_input *s)
{
	return s->behind && !s->request_waiting && s->has_followed_entry &&
	       s->watcher_rank < 0 && s->announced_version &&
	       v->last_peer_version != s->announced_version;
}

static bool peer_due(const struct vfy *v, const struct vfy_input *s,
		     int64_t now)
{
	return now - v->behind_since_ms >=
	       VFY_PEER_DELAY_MS +
		       (int64_t)(s->jitter_seed % VFY_PEER_JITTER_MS);
}

static enum vfy_call call_peer(struct vfy *v, const struct vfy_input *s,
			       int64_t now)
{
	v->last_peer_version = s->announced_version;
	v->call_pending = true;
	v->call_started_ms = now;
	v->long_poll_ms = 0;
	return VFY_PEER;
}

enum vfy_call vfy_next(struct vfy *v, const struct vfy_input *s, int64_t now,
		       int *wait_ms)
{
	const bool urgent = s->behind || s->request_waiting;

	*wait_ms = 0;
	if (!s->behind)
		v->behind_since_ms = 0;
	else if (!v->behind_since_ms)
		v->behind_since_ms = now;
	if (v->call_pending)
		return VFY_NONE;
	if (v->call_started_ms && !s->request_waiting &&
	    now - v->call_started_ms < min_interval_ms(v, s))
		return VFY_NONE;
	if (use_peer(v, s))
		return peer_due(v, s, now) ? call_peer(v, s, now) : VFY_NONE;
	if (!urgent && (s->awaits_announcement || s->age_ms < max_age_ms(s)))
		return VFY_NONE;
	/* No long poll while a confirmation is overdue. */
	if (!urgent && s->watcher_rank == 0 && s->age_ms < VFY_MAX_AGE_MS)
		*wait_ms = VFY_LONG_POLL_MS;
	v->call_pending = true;
	v->call_started_ms = now;
	v->long_poll_ms = *wait_ms;
	return store_call(v, now);
}

void vfy_received_version(struct vfy *v, int64_t revision, bool in_force,
			  int64_t now)
{
	v->call_pending = false;
	v->revision = revision;
	v->revision_ms = now;
	v->in_force = in_force;
	v->store_empty = false;
}

int64_t vfy_as_of_ms(const struct vfy *v)
{
	return v->call_started_ms -
	       (v->long_poll_ms ? VFY_MAX_NOTIFY_DELAY_MS : 0);
}

int64_t vfy_unchanged(struct vfy *v, int64_t revision, int64_t now)
{
	const int waited = v->long_poll_ms > VFY_MAX_NOTIFY_DELAY_MS
				   ? v->long_poll_ms - VFY_MAX_NOTIFY_DELAY_MS
				   : 0;

	vfy_received_version(v, revision, v->in_force, now);
	return v->in_force ? v->call_started_ms + waited : 0;
}

void vfy_history_lost(struct vfy *v)
{
	v->call_pending = false;
	v->revision = 0;
	v->call_started_ms = 0;
}

void vfy_failed(struct vfy *v)
{
	v->call_pending = false;
}

void vfy_peer_failed(struct vfy *v)
{
	v->call_pending = false;
	v->call_started_ms = 0;
}

void vfy_absent(struct vfy *v)
{
	v->call_pending = false;
	v->store_empty = true;
}
