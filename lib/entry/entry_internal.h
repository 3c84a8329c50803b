/*
 * The parts of an entry, shared by the files of this folder.
 *
 * Locks, outermost first: a request's, then a model's, an account's or a
 * pool's. `member_lock` and `judge_lock` are leaves. No lock is held while
 * calling out.
 */
#ifndef ENTRY_INTERNAL_H
#define ENTRY_INTERNAL_H

#include <pthread.h>
#include <stdatomic.h>
#include <urcu/list.h>

#include "base/buf.h"
#include "base/clk.h"
#include "base/log.h"
#include "base/met.h"
#include "base/ring.h"
#include "base/rnd.h"
#include "claim/claim.h"
#include "claim/judge.h"
#include "config/doc.h"
#include "config/set.h"
#include "config/spread.h"
#include "entry/entry.h"
#include "limit/admit.h"
#include "limit/share.h"
#include "limit/wfq.h"
#include "member/swim.h"
#include "member/view.h"
#include "net/hcl.h"
#include "net/hsv.h"
#include "net/link.h"
#include "net/mux.h"
#include "net/sse.h"
#include "platform/cloud.h"
#include "platform/engine.h"
#include "place/rescue.h"
#include "platform/kv.h"
#include "request/flow.h"
#include "route/route.h"

/* ---- What lives for a version: snapshots ---- */

#define ENT_MAX_VIEWS 16

struct ent_doc {
	struct cds_list_head node; /* of the catalog */
	char service[DOC_NAME_MAX];
	uint64_t rev;
	struct doc *doc;
};

struct ent_account_ref {
	const char *key_sha256;
	const struct ent_doc *doc;
	const struct doc_account *account;
};

struct ent_member {
	struct view_member info;
	enum swim_state state;
};

struct ent_snap {
	struct ent_doc **docs;
	size_t nr_docs;
	struct ent_account_ref *accounts; /* sorted by key hash */
	size_t nr_accounts;
	struct view *views[ENT_MAX_VIEWS]; /* the newest last */
	size_t nr_views;
	struct ent_member *members; /* not dead, sorted by id */
	size_t nr_members;
};

/* ---- What lives for a request ---- */

enum ent_role {
	ENT_OWNER,  /* runs it here */
	ENT_HOLDER, /* holds the copy for the owner */
};

struct ent_req {
	struct cds_list_head node; /* of the table's bucket */
	struct cds_list_head open_node;
	bool open; /* in the list of open ones; both under table_lock */
	struct entry *en;
	atomic_int refs;
	pthread_mutex_t lock;
	pthread_cond_t changed;

	/* Fixed once it is in the table. */
	char key[GRANT_KEY_MAX];
	char account[DOC_NAME_MAX];
	char service[DOC_NAME_MAX];
	char model[DOC_NAME_MAX]; /* or the plain service */
	char route[128];	  /* "METHOD /path" of a plain call */
	bool plain;
	bool chat;
	uint64_t slot_view; /* where its judges are */
	unsigned slot;
	int64_t birth_ms;
	struct ent_model *mod;	  /* NULL for plain calls */
	struct ent_account *acct; /* NULL at a holder */
	uint32_t prompt_tokens;
	uint32_t max_tokens;
	bool batch;
	double weight;

	/* Under the lock. */
	enum ent_role role;
	uint64_t owner;
	char version[DOC_NAME_MAX];
	char *body;
	char *prompt;
	struct prefix_key *prefix; /* NULL once it has ended */
	bool stripped;		   /* the answer is no longer kept */
	struct flow flow;
	struct buf text;
	uint32_t *token_ends; /* end offset of each token in text */
	size_t token_ends_cap;
	char finish[32];
	int status;   /* of a failure, or of a plain call's reply */
	char *result; /* a plain call's body or a failure's words */
	size_t result_len;
	char result_type[64];
	uint64_t stream; /* mux id of the open stream */
	struct wfq_item item;
	bool queued;
	bool kv_move_pending; /* a KV move is under way */
	bool released;
	size_t acct_max; /* in flight at once, by the document */
	char kv_from[GRANT_KEY_MAX + 16]; /* run whose KV was moved */
	double charged_tokens; /* tokens taken from the account's share */
	int64_t start_by_ms;   /* give up waiting for a start */
	int64_t arrived_ms;
	int64_t ended_ms;
	struct buf log; /* decisions, for `explain` */

	/* The copy at the holder. */
	char holder[SET_ADDR_MAX];
	unsigned holder_place;
	uint64_t previous_owner; /* whose request was taken over; 0: none */
	unsigned tried_places;	 /* of judges that did not take the copy */
	int64_t next_rehome_ms;	 /* no other holder is asked for before */
	uint32_t copied_tokens;
	bool in_copy_queue;
	bool end_copied;
};

/* ---- What lives for the process ---- */

struct ent_account {
	struct cds_list_head node;
	char name[2 * DOC_NAME_MAX]; /* service/account */
	pthread_mutex_t lock;
	struct share share;
	struct retry_budget retries;
	struct share_keeper *keeper; /* if this entry is the keeper */
	uint64_t reported_keeper;    /* who was told what we use */
	double limit;
	atomic_size_t in_flight;
	atomic_bool share_pending;
};

struct ent_model {
	struct cds_list_head node;
	char service[DOC_NAME_MAX];
	char name[DOC_NAME_MAX];
	pthread_mutex_t lock;
	char version[DOC_NAME_MAX]; /* as the document has it */
	struct route_table *table;
	struct prefix *prefix;
	struct wfq *queue;
	struct rnd rnd;
	double recompute_weight;
	int64_t first_token_ms;
	int64_t between_tokens_ms;
	atomic_llong last_used_ms; /* when a request last asked for it */
};

struct ent_pool_member {
	uint64_t id;
	char address[64];
	char zone[DOC_NAME_MAX];
	bool leaving;
	int64_t own_open;
	int64_t avoid_until_ms;
};

#define ENT_POOL_MAX 256

struct ent_pool {
	struct cds_list_head node;
	char service[DOC_NAME_MAX];
	char name[DOC_NAME_MAX];
	pthread_mutex_t lock;
	struct ent_pool_member rows[ENT_POOL_MAX];
	size_t nr;
};

struct ent_inst {
	struct cds_list_head node;
	uint64_t id;
	struct cloud_instance info;
	int64_t reclaim_ms; /* of a notice; monotonic, 0 if none */
};

/* An availability zone where reclaim notices are coming in. */
struct ent_alert {
	char zone[DOC_NAME_MAX];
	int64_t until_ms;
};

#define ENT_MAX_ALERTS 16

struct ent_metrics {
	met_value *requests, *accepted, *whole, *not_run, *unknown, *failed;
	met_value *refused[8];
	met_value *claims_won, *claims_join, *claims_burned, *claims_unknown;
	met_value *judge_reasons[JUDGE_REASONS];
	met_value *attempts, *resumes, *moved_kv, *continued, *restarts;
	met_value *recomputed, *generated, *takeovers, *unprotected;
	met_value *copies, *copy_tokens, *copy_failed;
	met_value *items_new, *items_old, *items_conflict, *items_invalid;
	met_value *denied, *stale_versions, *tokens_dropped;
	met_value *in_flight, *queued, *votes, *view, *members, *drain;
	met_value *peer_calls, *peer_bytes, *alarms;
};

enum ent_command_kind {
	ENT_CMD_ROUTE,
	ENT_CMD_RESCUE,
	ENT_CMD_WAKE
};

struct ent_command {
	struct cds_list_head node;
	enum ent_command_kind kind;
	struct ent_req *rq; /* holds a reference */
	uint64_t instance;
	int64_t at_ms;
	int64_t end_ms;
};

#define ENT_REQ_BUCKETS 4096

struct entry {
	struct set set;
	const struct clk *clk;
	struct view_member self;
	struct met met;
	struct ent_metrics m;
	char peer_mac[17];

	struct hcl *hcl;
	struct mux *mux;
	struct links *links;
	struct hsv *hsv;
	struct kv *kv;

	/* Membership and spreading. */
	pthread_mutex_t member_lock;
	struct swim *swim;
	struct spread *spread;
	struct cds_list_head recent_items; /* items to offer, names */
	int64_t last_put_ms;
	int64_t kv_contact_ms;	    /* control told us the service answers */
	struct ring *wake;	    /* wakes the member thread */
	struct ring *changed_items; /* names of items to act on */
	struct ent_snap *snap;
	struct cds_list_head docs;
	struct cds_list_head insts;
	struct view *views[ENT_MAX_VIEWS];
	size_t nr_views;
	uint64_t seen_epoch;
	struct ent_alert alerts[ENT_MAX_ALERTS];
	size_t nr_alerts;

	pthread_mutex_t judge_lock;
	struct judge *judge;

	pthread_mutex_t table_lock;
	struct cds_list_head table[ENT_REQ_BUCKETS];
	size_t nr_reqs;
	size_t next_expire;	   /* bucket */
	struct cds_list_head open; /* owned and not ended */
	atomic_size_t in_flight;   /* callers being answered */
	atomic_size_t nr_open;	   /* requests owned and open */

	pthread_mutex_t list_lock; /* of models, pools, accounts */
	struct cds_list_head models;
	struct cds_list_head pools;
	struct cds_list_head accounts;

	struct ring *commands; /* to dispatch */
	struct ring *moves;    /* to the mover */
	struct ring *copies;   /* to the copier */

	atomic_bool ready;
	atomic_bool draining;
	atomic_bool drained;
	atomic_bool stopping;
	atomic_bool releasing; /* the bound of the drain came */
	atomic_llong drain_since;

	pthread_t dispatch_thread, mover_thread, copier_thread;
	pthread_t member_thread, rpc_thread, drain_thread;
	int rpc_fd;
	char peer_address[SET_ADDR_MAX];
};

static inline int64_t ent_now(const struct entry *en)
{
	return clk_ms(en->clk);
}

/* -- ent_state.c: snapshots -- */

/* Inside rcu_read_lock; never NULL. */
const struct ent_snap *ent_snap(const struct entry *en);
const struct view *ent_snap_view(const struct ent_snap *s, uint64_t number);
const struct view *ent_snap_current(const struct ent_snap *s);
const struct ent_member *ent_snap_member(const struct ent_snap *s, uint64_t id);
const struct ent_doc *ent_snap_doc(const struct ent_snap *s,
				   const char *service);
const struct ent_account_ref *ent_snap_account(const struct ent_snap *s,
					       const char *bearer);
/* Rebuilds the snapshot from the catalog; member thread only. */
void ent_publish(struct entry *en);
void ent_state_init(struct entry *en);
void ent_state_free(struct entry *en);
/* Acts on an item that came into force; member thread only. */
void ent_apply_item(struct entry *en, const char *name);
struct ent_account *ent_account_get(struct entry *en, const char *service,
				    const char *account, double limit);
struct ent_model *ent_model_get(struct entry *en, const char *service,
				const char *name, bool create);
struct ent_pool *ent_pool_get(struct entry *en, const char *service,
			      const char *name, bool create);
void ent_alarm(struct entry *en, const char *what, const char *detail);

/* -- ent_member.c: the member thread -- */
void *ent_member_run(void *arg);
void ent_member_free(struct entry *en);
/* Takes an item in, wakes the member thread if it is new. */
enum spread_verdict ent_put_item(struct entry *en, const char *name,
				 uint64_t rev, const void *body, size_t len,
				 int64_t ttl_ms);
void ent_fill_head(struct entry *en, peer_head *h);
void ent_fill_member(const struct view_member *m, peer_member *p);
bool ent_read_member(const peer_member *p, struct view_member *m);
struct link_call ent_prepare_call(const char *address, uint32_t proc,
				  xdrproc_t xa, void *args, xdrproc_t xr,
				  size_t size, int64_t timeout_ms);
bool ent_bootstrap(struct entry *en);
bool ent_is_cut_off(struct entry *en);
void ent_fill_item(const struct spread_item *it, peer_item *p, int64_t now);
/* Items that came in force a moment ago; member_lock held. */
void ent_list_recent(struct entry *en, peer_name **out, u_int *len);
/* Pulls from a peer those of the names that are news here. */
void ent_pull_recent(struct entry *en, const char *address,
		     const peer_name *names, size_t n);
size_t ent_read_deltas(const peer_delta *rows, size_t n, struct swim_delta *out,
		       size_t max);
void ent_write_deltas(const struct swim_delta *d, size_t n, peer_delta **rows,
		      u_int *len);

/* -- ent_rpc.c: answers to peers -- */
int ent_rpc_open(struct entry *en, struct err *e);
void *ent_rpc_run(void *arg);
void ent_rpc_stop(struct entry *en);
/* The text of a status call; also used by HTTP. */
void ent_status(struct entry *en, const char *what, struct buf *out);

/* -- ent_claim.c -- */
struct ent_claim_result {
	enum claim_outcome outcome;
	uint64_t winner;
	char holder[SET_ADDR_MAX]; /* accepted the copy, "" if none */
	unsigned holder_place;
};
/* Claims `rq` for this entry; blocks for at most a few hundred ms. */
struct ent_claim_result ent_claim(struct entry *en, struct ent_req *rq);
/*
 * Has another judge hold the copy, after the holder was lost or became the
 * owner. Returns at once; what the judge says is logged.
 */
void ent_rehome(struct entry *en, struct ent_req *rq);
struct judge_reply ent_judge_decide(struct entry *en,
				    const struct judge_ask *ask);
/*
 * Addresses that may know about a key: the winner (0: not known) if it is a
 * member, then the judges of the key.
 */
size_t ent_key_addresses(struct entry *en, uint64_t view, unsigned slot,
			 uint64_t winner, char out[5][SET_ADDR_MAX],
			 bool *winner_first);
void ent_transfer_votes(struct entry *en);
/* Chooses a slot of the current view whose judges are alive. */
bool ent_new_grant(struct entry *en, struct grant *g);

/* -- ent_req.c: the table -- */
struct ent_req *ent_req_create(struct entry *en, const char *key);
struct ent_req *ent_req_find(struct entry *en, const char *key);
/*
 * Adds it unless one with its key is there; returns the one in the table with
 * a reference of its own, besides the one the caller has on `rq`.
 */
struct ent_req *ent_req_add(struct entry *en, struct ent_req *rq);
void ent_req_remove(struct entry *en, struct ent_req *rq);
void ent_req_get(struct ent_req *rq);
void ent_req_put(struct ent_req *rq);
void ent_req_append(struct ent_req *rq, const char *token);
void ent_req_truncate(struct ent_req *rq, uint32_t tokens);
/*
 * Copies of the tokens after `from`, in a new array; none if the asker is
 * ahead, as it may be of an entry that took over. Lock held.
 */
char **ent_req_tokens(const struct ent_req *rq, uint32_t from, uint32_t *n);
void ent_req_log(struct ent_req *rq, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
/* Ends it: outcome set, waiters woken, the copy queued. Lock held. */
void ent_req_end(struct ent_req *rq);
void ent_req_each(struct entry *en, void (*fn)(struct ent_req *rq, void *arg),
		  void *arg);
/* The same over those owned here and not ended. */
void ent_req_each_open(struct entry *en,
		       void (*fn)(struct ent_req *rq, void *arg), void *arg);
/* Counts it as running here, until ent_req_end. */
void ent_req_open(struct ent_req *rq);
/* Looks over a part of the table; call about once a second. */
void ent_req_expire(struct entry *en);

/* -- ent_copy.c -- */
void *ent_copier_run(void *arg);
void ent_queue_copy(struct ent_req *rq); /* lock held */
void ent_fill_record(struct ent_req *rq, peer_record *r);
bool ent_store_record(struct entry *en, const peer_record *r, uint64_t view,
		      unsigned slot, int64_t birth_ms);
/*
 * Becomes the holder for the owner in the record, also in place of an earlier
 * owner: one that took over did not win the claim, so its judges' votes say
 * nothing. False if this entry runs the request itself or knows its end.
 */
bool ent_become_holder(struct entry *en, const peer_hold_args *a);
bool ent_apply_update(struct entry *en, const peer_update *u);
/* Becomes the owner of a record whose owner is gone. */
void ent_take_over(struct entry *en, struct ent_req *rq);
void ent_take_over_from_dead(struct entry *en);
void ent_serve_fetch(struct entry *en, const peer_fetch_args *a,
		     peer_fetch_reply *r);

/* -- ent_dispatch.c, ent_poll.c, ent_admit.c, ent_run.c -- */
void ent_poll_for_request(struct entry *en, struct ent_model *m);
void ent_poll_model(struct entry *en, struct ent_model *m);
void ent_dispatch_queue(struct entry *en, struct ent_model *m);
/* Routes a request that is due and calls the endpoint. Lock held. */
void ent_route_and_call(struct ent_req *rq);
/* What routing is asked for this request. The model's lock is held. */
void ent_fill_query(const struct ent_req *rq, struct route_query *ask);
void *ent_dispatch_run(void *arg);
void *ent_mover_run(void *arg);
/* First admission; the verdict of admit for the caller. */
struct admit_result ent_admit(struct entry *en, struct ent_req *rq);
void ent_do_action(struct ent_req *rq, struct flow_action a); /* lock held */
void ent_give_up(struct ent_req *rq, const char *why);	      /* lock held */
void ent_send_command(struct entry *en, enum ent_command_kind kind,
		      struct ent_req *rq, uint64_t instance, int64_t at_ms,
		      int64_t end_ms);

/* The engine's name for the current run. Lock held. */
void ent_stream_id(const struct ent_req *rq, char *out, size_t size);
/* Chooses for a move: only where there is room. Lock held. */
struct route_choice ent_choose_endpoint(struct ent_req *rq,
					bool only_with_room);
/* Moves the flow to `endpoint`, where the KV cache is now. Lock held. */
void ent_move_to(struct ent_req *rq, uint64_t endpoint, const char *kv_from);
void ent_release_endpoint(struct ent_model *m, uint64_t id, bool failed,
			  int64_t now);

/* -- ent_rescue.c: reclaim notices -- */
void ent_rescue(struct entry *en, uint64_t instance, int64_t end_ms);

/* -- ent_plain.c -- */
void ent_plain_run(struct entry *en, struct ent_req *rq,
		   const struct doc_plain *p, const char *method,
		   const char *path, bool repeatable, const char *type);

/* -- ent_share.c -- */
void ent_share_tick(struct entry *en);
/* Asks at once if this entry has no share, or has used it up (`empty`). */
void ent_share_ask_now(struct entry *en, struct ent_account *a, bool empty);
bool ent_share_serve(struct entry *en, const char *account, uint64_t view,
		     uint64_t who, double demand, double in_use, double *rate);

/* -- ent_http.c -- */
void ent_http_handle(struct hsv_request *rq, void *arg);

#endif
