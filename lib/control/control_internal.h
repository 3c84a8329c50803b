/*
 * ctl (control): declarations shared by the files of this module.
 */
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

/* Services that one process can place; further ones are ignored. */
#define CTL_MAX_SERVICES 64

/* A duty is a task that one process of the fleet does at a time. The key and
 * the lease in the key-value service assign it to its holder. */
struct ctl_duty {
	struct duty duty;
	char key[KV_KEY_MAX];
	int64_t lease; /* lease ID; 0: none */
};

struct ctl_placement;

struct control {
	struct set set;
	const struct clk *clk;
	char mac[17];	 /* hex; authenticates calls to the local entry */
	uint64_t boot;	 /* wall clock at the start of the process, ms */
	char holder[96]; /* value of duty keys: NAME#RANDOM */

	struct hcl *hcl;
	struct links *links;
	struct kv *kv;
	struct cloud *cloud;
	atomic_bool stopping;
	/* Last reply of the key-value service, on the monotonic clock. */
	atomic_llong kv_last_reply_ms;

	struct ctl_duty members; /* writing membership views */
	struct ctl_placement *placements[CTL_MAX_SERVICES];
	size_t nr_placements;

	pthread_t watch_thread, list_thread, notice_thread;
	pthread_t member_thread, place_thread;
};

/* Monotonic clock, in milliseconds. */
static inline int64_t ctl_now(const struct control *c)
{
	return clk_ms(c->clk);
}

/*
 * Publishes one item to the local entry, which gossips it.
 * @name   : name of the item, "view/7" for example.
 * @rev    : revision of the item; entries keep the highest one.
 * @body   : JSON text.
 * @ttl_ms : lifetime in milliseconds; 0: unlimited.
 * @return : true if the entry replied.
 */
bool ctl_publish_item(struct control *c, const char *name, uint64_t rev,
		      const char *body, int64_t ttl_ms);

/* Queries a status of the local entry: "members", "items PREFIX" or
 * "item NAME", for example. "kv-up" reports that the key-value service replies.
 * @return : a new JSON object that the caller releases, or NULL on error. */
struct json_object *ctl_query_entry(struct control *c, const char *what);

/* Initializes a duty without a lease. `name` is the suffix of its key. */
void ctl_duty_init(struct control *c, struct ctl_duty *d, const char *name);

/* Acquires or renews the duty's lease if that is due; blocks during the calls
 * to the key-value service. */
void ctl_duty_step(struct control *c, struct ctl_duty *d);

/* Revokes the duty's lease, if there is one. */
void ctl_duty_release(struct control *c, struct ctl_duty *d);

/* True if this process is one of the few candidates for a duty, which are
 * selected by rendezvous hashing. Without the selection, every process of the
 * fleet would read the key of each lease.
 * @members : reply to the status query "members". */
bool ctl_is_candidate(struct control *c, struct json_object *members,
		      const char *duty);

/* Thread functions; `arg` is the struct control. They return once `stopping`
 * is set. */
void *ctl_watch_run(void *arg);
void *ctl_list_run(void *arg);
void *ctl_notice_run(void *arg);
void *ctl_members_run(void *arg);
void *ctl_placement_run(void *arg);

/* Revokes the leases of all placements and frees the placements. */
void ctl_placement_free(struct control *c);

/* Parses the reply to the status query "members".
 * @out, @states : arrays of `max` elements; a state is an enum swim_state.
 * @return       : number of members stored. */
size_t ctl_read_members(struct json_object *o, struct view_member *out,
			int *states, size_t max);

#endif
