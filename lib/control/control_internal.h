#ifndef CONTROL_INTERNAL_H
#define CONTROL_INTERNAL_H

#include <pthread.h>
#include <stdatomic.h>
#include <stdint.h>

#include "base/clk.h"
#include "base/jsn.h"
#include "base/log.h"
#include "config/doc.h"
#include "control/control.h"
#include "member/view.h"
#include "net/hcl.h"
#include "net/link.h"
#include "place/duty.h"
#include "place/plan.h"
#include "platform/cloud.h"
#include "platform/engine.h"
#include "platform/kv.h"

#define CTL_MAX_SERVICES 64

/* A duty and the key it is held by. */
struct ctl_duty {
	struct duty duty;
	char key[KV_KEY_MAX];
	int64_t lease;
};

struct ctl_placement;

struct control {
	struct set set;
	const struct clk *clk;
	char mac[17];
	uint64_t boot;
	char holder[96]; /* what we write into duty keys */

	struct hcl *hcl;
	struct links *links;
	struct kv *kv;
	struct cloud *cloud;
	atomic_bool stopping;
	atomic_llong
		kv_last_reply_ms; /* last answer of the key-value service */

	struct ctl_duty members;
	struct ctl_placement *placements[CTL_MAX_SERVICES];
	size_t nr_placements;

	pthread_t watch_thread, list_thread, notice_thread;
	pthread_t member_thread, place_thread;
};

static inline int64_t ctl_now(const struct control *c)
{
	return clk_ms(c->clk);
}

/* Gives one item to the entry beside us. True if it answered. */
bool ctl_publish_item(struct control *c, const char *name, uint64_t rev,
		      const char *body, int64_t ttl_ms);

/* Asks the entry for a status; a new JSON object or NULL. */
struct json_object *ctl_query_entry(struct control *c, const char *what);

/* Takes, renews or drops a duty's lease as its state says. */
void ctl_duty_init(struct control *c, struct ctl_duty *d, const char *name);
void ctl_duty_step(struct control *c, struct ctl_duty *d);
void ctl_duty_release(struct control *c, struct ctl_duty *d);

/* Whether this control is one of the few that try for a duty, by rendezvous
 * hash: else each lease would be read by the whole fleet. */
bool ctl_is_candidate(struct control *c, struct json_object *members,
		      const char *duty);

/* Threads. */
void *ctl_watch_run(void *arg);
void *ctl_list_run(void *arg);
void *ctl_notice_run(void *arg);
void *ctl_members_run(void *arg);
void *ctl_placement_run(void *arg);
void ctl_placement_free(struct control *c);

/* The members of a status reply, as view members with states. */
size_t ctl_read_members(struct json_object *o, struct view_member *out,
			int *states, size_t max);

#endif
