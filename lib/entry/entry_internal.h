/*
 * ent: internals of an entry (see entry.h), shared by the files of this folder.
 *
 * Terms:
 * - owner: the entry that runs a request; it won the claim or took over
 * - holder: the entry that keeps a copy of the request's record and tokens, and
 *   takes the request over if the owner crashes or hands it over
 * - judge: a member that votes on claims (see claim/judge.h)
 * - view: a numbered list of the members with a table of slots (see
 *   member/view.h)
 * - slot: the judges of a part of the keys, and their reserve
 * - reserve: the member that adopts the votes of a judge that leaves
 * - place: index of a judge in its slot
 * - run: the execution of a request by an engine
 * - generation: a run that continues from a known prefix of the answer (see
 *   request/flow.h)
 * - plain service: a service without a model; its calls are not streamed
 *
 * Lock order, outermost first: ent_req.lock; then the lock of a model, an
 * account or a pool, or table_lock. member_lock and judge_lock are leaves. No
 * lock is held while waiting for the network. Unless stated otherwise,
 * functions are called without locks; "lock held" means the lock of the
 * request.
 *
 * Times are monotonic, in ms (ent_now()), unless they are called wall clock.
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

/* ---- Snapshots: replaced as a whole, read under RCU ---- */

#define ENT_MAX_VIEWS 16 /* views kept at once */

/* A service's document in force. */
struct ent_doc {
	struct cds_list_head node; /* in entry.docs */
	char service[DOC_NAME_MAX];
	uint64_t rev;
	struct doc *doc;
};

/* An account and the document that defines it; pointers into the document. */
struct ent_account_ref {
	const char *key_sha256;
	const struct ent_doc *doc;
	const struct doc_account *account;
};

/* A member of the cluster and its state in the failure detector. */
struct ent_member {
	struct view_member info;
	enum swim_state state;
};

/* All that the request path reads without locks. Immutable. */
struct ent_snap {
	struct ent_doc **docs;
	size_t nr_docs;
	struct ent_account_ref *accounts; /* sorted by key_sha256 */
	size_t nr_accounts;
	struct view *views[ENT_MAX_VIEWS]; /* by ascending number */
	size_t nr_views;
	struct ent_member *members; /* alive or suspect, sorted by id */
	size_t nr_members;
};

/* ---- Requests ---- */

enum ent_role {
	ENT_OWNER,  /* this entry runs the request */
	ENT_HOLDER, /* this entry keeps the copy */
};

/* A request that this entry owns or holds. Reference-counted. */
struct ent_req {
	struct cds_list_head node; /* in its bucket of entry.table */
	struct cds_list_head open_node;
	bool open; /* in entry.open; guarded by table_lock, like the nodes */
	struct entry *en;
	atomic_int refs;
	pthread_mutex_t lock;
	pthread_cond_t changed;

	/* Immutable once it is in the table. */
	char key[GRANT_KEY_MAX];
	char account[DOC_NAME_MAX];
	char service[DOC_NAME_MAX];
	char model[DOC_NAME_MAX]; /* or plain service */
	char route[128];	  /* "METHOD /path" of a plain call, or "" */
	bool plain;		  /* a call to a plain service */
	bool chat;		  /* chat completion, not text completion */
	uint64_t slot_view;	  /* number of the view that has its judges */
	unsigned slot;		  /* slot of its judges in that view */
	int64_t birth_ms;	  /* wall clock, from the grant */
	struct ent_model *mod;	  /* NULL for plain calls */
	struct ent_account *acct; /* NULL if received as a copy */
	uint32_t prompt_tokens;
	uint32_t max_tokens;
	bool batch;    /* batch priority, not interactive */
	double weight; /* of the account, in the fair queue and rescue */

	/* Guarded by the lock. */
	enum ent_role role;
	uint64_t owner;		    /* id of the owning entry's incarnation */
	char version[DOC_NAME_MAX]; /* model version of the tokens so far */
	char *body;		    /* of the request; NULL once it ended */
	char *prompt;		    /* likewise */
	struct prefix_key *prefix;  /* likewise */
	bool stripped; /* the answer expired and was freed (drop_answer) */
	struct flow flow;
	struct buf text;      /* the answer so far */
	uint32_t *token_ends; /* end offset of each token in text */
	size_t token_ends_cap;
	char finish[32]; /* finish reason of the engine, or "" */
	int status;	 /* HTTP status of a failure or of a plain call */
	char *result;	 /* body of a plain call's answer, or an error text */
	size_t result_len;
	char result_type[64]; /* content type of result */
	uint64_t stream;      /* mux id of the open stream */
	struct wfq_item item;
	bool queued; /* item is in the model's wait queue */
	bool kv_move_pending;
	bool released;	 /* handed over by a drain, or the claim failed */
	size_t acct_max; /* the account's limit of requests in flight */
	char kv_from[GRANT_KEY_MAX + 16]; /* run whose KV cache was moved */
	double charged_tokens;		  /* taken from the account's share */
	int64_t start_by_ms; /* latest time to get an endpoint; 0: unset */
	int64_t arrived_ms;
	int64_t ended_ms; /* 0: open */
	struct buf log;	  /* decisions, for `explain` */

	/* State of the copy, at the owner. */
	char holder[SET_ADDR_MAX]; /* its peer address; "": no copy */
	unsigned holder_place;	   /* its index among the slot's judges */
	uint64_t previous_owner;   /* before a takeover by this entry; or 0 */
	unsigned tried_places;	   /* bit mask of judges that did not accept */
	int64_t next_rehome_ms;	   /* earliest time to search for a holder */
	uint32_t copied_tokens;	   /* sent to the holder */
	bool in_copy_queue;
	bool end_copied; /* the holder has the outcome */
};

/* ---- Process state ---- */

/* A client account. Never freed while the entry runs. */
struct ent_account {
	struct cds_list_head node;
	char name[2 * DOC_NAME_MAX]; /* "service/account" */
	pthread_mutex_t lock;
	struct share share;
	struct retry_budget retries;
	struct share_keeper *keeper; /* see limit/share.h; NULL: elsewhere */
	uint64_t reported_keeper;    /* id of the last keeper called, or 0 */
	double limit;		     /* tokens per second */
	atomic_size_t in_flight;     /* requests */
	atomic_bool share_pending;   /* a call to the keeper is in progress */
};

/* A model of a service. Never freed while the entry runs. */
struct ent_model {
	struct cds_list_head node;
	char service[DOC_NAME_MAX];
	char name[DOC_NAME_MAX];
	pthread_mutex_t lock;
	char version[DOC_NAME_MAX]; /* target version in the document */
	struct route_table *table;
	struct prefix *prefix;
	struct wfq *queue;
	struct rnd rnd;
	double recompute_weight;   /* of the expected recomputation cost */
	int64_t first_token_ms;	   /* target time to the first token */
	int64_t between_tokens_ms; /* target time between tokens */
	atomic_llong last_used_ms; /* time of the last request */
};

/* An endpoint of a plain service. */
struct ent_pool_member {
	uint64_t id;
	char address[64];
	char zone[DOC_NAME_MAX];
	bool leaving;	  /* gets no new calls */
	int64_t own_open; /* this entry's open calls */
	int64_t avoid_until_ms;
};

#define ENT_POOL_MAX 256 /* endpoints; further ones are ignored */

/* The endpoints of a plain service. Never freed while the entry runs. */
struct ent_pool {
	struct cds_list_head node;
	char service[DOC_NAME_MAX];
	char name[DOC_NAME_MAX];
	pthread_mutex_t lock;
	struct ent_pool_member rows[ENT_POOL_MAX];
	size_t nr;
};

/* An instance of the gossiped items. Used by the member thread only. */
struct ent_inst {
	struct cds_list_head node;
	uint64_t id;
	struct cloud_instance info;
	int64_t reclaim_ms; /* time of the announced reclaim; 0: none */
};

/* An availability zone with recent reclaim notices. */
struct ent_alert {
	char zone[DOC_NAME_MAX];
	int64_t until_ms;
};

#define ENT_MAX_ALERTS 16 /* zones; further ones raise no alert */

/* The metrics; their names and help texts are in register_metrics(). */
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
	met_value *peer_calls, *peer_bytes, *no_room, *alarms;
};

enum ent_command_kind {
	ENT_CMD_ROUTE,	/* route `rq`, not before at_ms */
	ENT_CMD_RESCUE, /* `instance` ends at end_ms: rescue its streams */
	ENT_CMD_WAKE	/* capacity became free: check the wait queues */
};

/* A command to the dispatch thread. */
struct ent_command {
	struct cds_list_head node;
	enum ent_command_kind kind;
	struct ent_req *rq; /* referenced; may be NULL */
	uint64_t instance;
	int64_t at_ms;
	int64_t end_ms;
};

#define ENT_REQ_BUCKETS 4096 /* of the hash table of requests */

struct entry {
	struct set set;
	const struct clk *clk;
	struct view_member self;
	struct met met;
	struct ent_metrics m;
	char peer_mac[17]; /* authenticates this entry to its peers */

	struct hcl *hcl;
	struct mux *mux;
	struct links *links;
	struct hsv *hsv;
	struct kv *kv;

	/* Membership and gossip. */
	pthread_mutex_t member_lock;
	struct swim *swim;
	struct spread *spread;
	struct cds_list_head recent_items; /* items to offer to peers */
	int64_t last_put_ms;		   /* last time of a new item */
	int64_t kv_contact_ms;		   /* last bootstrap or "kv-up" call */
	struct ring *wake;		   /* wakes the member thread */
	struct ring *changed_items; /* names for ent_apply_item(), owned */
	struct ent_snap *snap;
	struct cds_list_head docs;
	struct cds_list_head insts;
	struct view *views[ENT_MAX_VIEWS];
	size_t nr_views;
	uint64_t seen_epoch; /* swim_epoch() at the last ent_publish() */
	struct ent_alert alerts[ENT_MAX_ALERTS];
	size_t nr_alerts;

	pthread_mutex_t judge_lock;
	struct judge *judge;

	pthread_mutex_t table_lock;
	struct cds_list_head table[ENT_REQ_BUCKETS];
	size_t nr_reqs;
	size_t next_expire;	   /* first bucket of the next ent_req_expire */
	struct cds_list_head open; /* requests owned and not ended */
	atomic_size_t in_flight;   /* client requests being answered */
	atomic_size_t nr_open;	   /* requests owned and not ended */

	pthread_mutex_t list_lock; /* guards these lists */
	struct cds_list_head models;
	struct cds_list_head pools;
	struct cds_list_head accounts;

	struct ring *commands; /* struct ent_command, to dispatch */
	struct ring *moves;    /* KV cache transfers, to the mover */
	struct ring *copies;   /* referenced ent_req, to the copier */

	atomic_bool ready; /* has a document and a view */
	atomic_bool draining;
	atomic_bool drained;
	atomic_bool stopping;
	atomic_bool releasing; /* end of the drain: hands requests over */
	atomic_llong drain_since;

	pthread_t dispatch_thread, mover_thread, copier_thread;
	pthread_t member_thread, rpc_thread, drain_thread;
	int rpc_fd;
	char peer_address[SET_ADDR_MAX];
};

/* Monotonic time in ms. */
static inline int64_t ent_now(const struct entry *en)
{
	return clk_ms(en->clk);
}

/* -- ent_state.c: snapshots -- */

/*
 * Returns the current snapshot, never NULL. It and all that the functions below
 * return are valid until the end of the enclosing pub_read_lock() section.
 */
const struct ent_snap *ent_snap(const struct entry *en);
/*
 * Look up the view with a number, the latest view, a member by id and a
 * document by service name. NULL if there is none.
 */
const struct view *ent_snap_view(const struct ent_snap *s, uint64_t number);
const struct view *ent_snap_current(const struct ent_snap *s);
const struct ent_member *ent_snap_member(const struct ent_snap *s, uint64_t id);
const struct ent_doc *ent_snap_doc(const struct ent_snap *s,
				   const char *service);
/* Returns the account with the API key `bearer`, or NULL. */
const struct ent_account_ref *ent_snap_account(const struct ent_snap *s,
					       const char *bearer);
/*
 * Builds and publishes a new snapshot and frees the old one after a grace
 * period. Member thread only, apart from ent_state_init().
 */
void ent_publish(struct entry *en);
/* Initializes the lists of entry and publishes an empty snapshot. */
void ent_state_init(struct entry *en);
/* Frees them with their contents; no other thread may run any more. */
void ent_state_free(struct entry *en);
/*
 * Applies the current revision of an item: a document, a view, an instance or a
 * reclaim notice. Unknown names are ignored. Member thread only.
 */
void ent_apply_item(struct entry *en, const char *name);
/*
 * Finds the account, or creates it with `limit` in tokens per second (ignored
 * if it exists). Never NULL; valid until ent_state_free().
 */
struct ent_account *ent_account_get(struct entry *en, const char *service,
				    const char *account, double limit);
/*
 * Find a model or a pool, or create it. NULL if it is unknown and `create` is
 * not set. Valid until ent_state_free().
 */
struct ent_model *ent_model_get(struct entry *en, const char *service,
				const char *name, bool create);
struct ent_pool *ent_pool_get(struct entry *en, const char *service,
			      const char *name, bool create);
/* Logs and counts an alarm of the kind `what`. */
void ent_alarm(struct entry *en, const char *what, const char *detail);

/* -- ent_member.c: the member thread -- */
/* Thread function; `arg` is the entry. Returns when it stops. */
void *ent_member_run(void *arg);
/* Frees the list of recent items. */
void ent_member_free(struct entry *en);
/*
 * Stores an item (see config/spread.h) if `rev` is higher than the stored one,
 * and queues it for the member thread. `ttl_ms` 0: does not expire. `body` is
 * copied.
 */
enum spread_verdict ent_put_item(struct entry *en, const char *name,
				 uint64_t rev, const void *body, size_t len,
				 int64_t ttl_ms);
/*
 * Fill in messages and read them. Strings and arrays that are filled in belong
 * to the message and are freed by xdr_free().
 */
void ent_fill_head(struct entry *en, peer_head *h);
void ent_fill_member(const struct view_member *m, peer_member *p);
/* False if the addresses are malformed. */
bool ent_read_member(const peer_member *p, struct view_member *m);
/*
 * Builds a call for links_send() or links_call(), without a completion
 * callback. `address` is borrowed until that function returns; `args` is owned
 * by the link; `size`: of the result, in bytes.
 */
struct link_call ent_prepare_call(const char *address, uint32_t proc,
				  xdrproc_t xa, void *args, xdrproc_t xr,
				  size_t size, int64_t timeout_ms);
/*
 * Reads documents from the key-value service and from the seed peers. False if
 * none could be reached.
 */
bool ent_bootstrap(struct entry *en);
/*
 * True if neither the key-value service nor a peer was reached for cut_off_ms.
 */
bool ent_is_cut_off(struct entry *en);
/* Fills in an item and its time to live as of `now` (monotonic, in ms). */
void ent_fill_item(const struct spread_item *it, peer_item *p, int64_t now);
/* Lists recently changed items in a new array; member_lock held. */
void ent_list_recent(struct entry *en, peer_name **out, u_int *len);
/*
 * Requests from a peer the items among `names` whose revision is newer than the
 * one stored here. Does not wait.
 */
void ent_pull_recent(struct entry *en, const char *address,
		     const peer_name *names, size_t n);
/* Converts up to `max` valid deltas; returns their number. */
size_t ent_read_deltas(const peer_delta *rows, size_t n, struct swim_delta *out,
		       size_t max);
/* Converts `n` deltas to a new array. */
void ent_write_deltas(const struct swim_delta *d, size_t n, peer_delta **rows,
		      u_int *len);

/* -- ent_rpc.c: serves the calls of peers -- */
/*
 * Listens on the peer address and sets entry.peer_address. Returns 0, or -1
 * with an error. One entry per process: the RPC library has no context
 * argument.
 */
int ent_rpc_open(struct entry *en, struct err *e);
/* Thread function; returns after ent_rpc_stop(). */
void *ent_rpc_run(void *arg);
/* Ends ent_rpc_run(); the caller joins the thread. */
void ent_rpc_stop(struct entry *en);
/*
 * Appends the JSON answer to a status call: "members", "revisions",
 * "endpoints", "explain KEY", "item NAME" and others. "kv-up" and "drain" also
 * have an effect. Used by peer calls and by HTTP.
 */
void ent_status(struct entry *en, const char *what, struct buf *out);

/* -- ent_claim.c: claims, holders and grants -- */
struct ent_claim_result {
	enum claim_outcome outcome;
	uint64_t winner; /* id of the entry that has the votes; or 0 */
	char holder[SET_ADDR_MAX]; /* peer address; "": no copy was accepted */
	unsigned holder_place;	   /* its index among the judges */
};
/*
 * Claims `rq` for this entry by the votes of its judges, one of which also
 * receives the copy. Waits up to 2 * JUDGE_TIMEOUT_MS + 100 ms (700 ms), and
 * again up to this time if the copy was refused. The outcome is never
 * CLAIM_PENDING.
 */
struct ent_claim_result ent_claim(struct entry *en, struct ent_req *rq);
/*
 * Asks another judge to hold the copy, after the holder was lost or became the
 * owner. Does not wait; the reply is logged, and a refusal leads to the next
 * judge.
 */
void ent_rehome(struct entry *en, struct ent_req *rq);
/* Votes as a judge; see judge_decide(). */
struct judge_reply ent_judge_decide(struct entry *en,
				    const struct judge_request *ask);
/*
 * Lists the peer addresses of the entries that may have a record of a key: the
 * winner of its claim (0: unknown) if it is a member, the judges and the
 * reserve; never this entry. Returns their number. `*winner_first`: out[0] is
 * the winner.
 */
size_t ent_key_addresses(struct entry *en, uint64_t view, unsigned slot,
			 uint64_t winner, char out[5][SET_ADDR_MAX],
			 bool *winner_first);
/*
 * Stops voting for good and transfers the votes to the reserves, one after the
 * other. Waits for each reply; up to 3 tries of 1 s per reserve and view.
 */
void ent_transfer_votes(struct entry *en);
/*
 * Fills in a grant for a slot of the current view, preferably one whose judges
 * are all alive. False if there is no view.
 */
bool ent_new_grant(struct entry *en, struct grant *g);

/* -- ent_req.c: the table of requests -- */
/* Creates a request with one reference, which is not in the table yet. */
struct ent_req *ent_req_create(struct entry *en, const char *key);
/* Returns a new reference, or NULL. */
struct ent_req *ent_req_find(struct entry *en, const char *key);
/*
 * Adds `rq` unless its key is in the table. Returns a new reference to the
 * request that is in the table; the caller keeps its reference to `rq` as well.
 */
struct ent_req *ent_req_add(struct entry *en, struct ent_req *rq);
/* Removes `rq` from the table, if it is there, and drops its reference. */
void ent_req_remove(struct entry *en, struct ent_req *rq);
/* Take and drop a reference; the last ent_req_put() frees. */
void ent_req_get(struct ent_req *rq);
void ent_req_put(struct ent_req *rq);
/* Appends a token that flow.tokens already counts. Lock held. */
void ent_req_append(struct ent_req *rq, const char *token);
/* Cuts the text to the first `tokens` tokens. Lock held. */
void ent_req_truncate(struct ent_req *rq, uint32_t tokens);
/*
 * Returns copies of the tokens from index `from` on, in a new array, and their
 * number in `*n`; free both. None if `from` is beyond the end: an entry that
 * took over may have fewer tokens than its client. Lock held.
 */
char **ent_req_tokens(const struct ent_req *rq, uint32_t from, uint32_t *n);
/* Logs a decision and keeps it for `explain`. Lock held. */
void ent_req_log(struct ent_req *rq, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
/*
 * Ends the request with the outcome in `flow`: wakes its readers, returns
 * unused tokens to the account, frees what only a running request needs, and
 * queues the copy. Later calls have no effect. Lock held.
 */
void ent_req_end(struct ent_req *rq);
/* Calls `fn` for each request, without locks held. */
void ent_req_each(struct entry *en, void (*fn)(struct ent_req *rq, void *arg),
		  void *arg);
/* Likewise, for the requests that this entry owns and that have not ended. */
void ent_req_each_open(struct entry *en,
		       void (*fn)(struct ent_req *rq, void *arg), void *arg);
/* Adds it to the list of open requests, until ent_req_end(). */
void ent_req_open(struct ent_req *rq);
/*
 * Expires answers and keys in the next sixteenth of the table; to be called
 * about once a second.
 */
void ent_req_expire(struct entry *en);

/* -- ent_copy.c: copies of requests at their holders, takeover -- */
/* Thread function; `arg` is the entry. Returns when it stops. */
void *ent_copier_run(void *arg);
/*
 * Queues the request for the next batch to its holder, if this entry owns it.
 * Lock held.
 */
void ent_queue_copy(struct ent_req *rq);
/* Fills in the message. The strings are to be freed by xdr_free(). */
void ent_fill_record(struct ent_req *rq, peer_record *r);
/*
 * Fills in all but the head: the record and the present state, with all tokens.
 * The strings are to be freed by xdr_free().
 */
void ent_fill_hold(struct ent_req *rq, peer_hold_args *a);
/*
 * Stores a copy of a request that another entry claims. False if this entry has
 * the key for another owner, or if the key is malformed.
 */
bool ent_store_record(struct entry *en, const peer_record *r, uint64_t view,
		      unsigned slot, int64_t birth_ms);
/*
 * Becomes the holder for the owner in the record, which may replace an earlier
 * owner: an entry that took over did not win the claim, so the judges' votes do
 * not identify it. The copy is complete from then on. False if this entry owns the request, knows its outcome, or
 * has the key for another account.
 */
bool ent_become_holder(struct entry *en, const peer_hold_args *a);
/*
 * Applies the owner's update to the copy. False if the copy is missing or lacks
 * earlier tokens: the owner then sends the update from the start. May take the
 * request over, if the owner hands it over.
 */
bool ent_apply_update(struct entry *en, const peer_update *u);
/*
 * Becomes the owner of a held request and resumes or continues its run. No
 * effect if it has ended or this entry is not its holder.
 */
void ent_take_over(struct entry *en, struct ent_req *rq);
/*
 * Takes over a held request whose owner is lost: it is suspected by the
 * membership, or its process is gone; for a plain call, the membership has it
 * as dead. Returns true if this entry now owns the request or has its outcome.
 * May block for a third of a second.
 */
bool ent_take_over_if_lost(struct entry *en, struct ent_req *rq);
/* Takes over all held requests whose owner the membership has as dead. */
void ent_take_over_from_dead(struct entry *en);
/*
 * Answers a peer that serves a client of a request: the tokens after (gen,
 * from) and the outcome. `r` must be zeroed, and stays so if the key is unknown
 * here or belongs to another account. Takes the request over if the peer
 * reports its owner as lost and ent_take_over_if_lost() finds the same. The
 * strings in `r` are to be freed by xdr_free().
 */
void ent_serve_fetch(struct entry *en, const peer_fetch_args *a,
		     peer_fetch_reply *r);

/* -- ent_dispatch.c, ent_poll.c, ent_admit.c, ent_run.c -- */
/* Requests load reports from two endpoints, for routing later requests. */
void ent_poll_for_request(struct entry *en, struct ent_model *m);
/* Requests load reports that are due. To be called periodically. */
void ent_poll_model(struct entry *en, struct ent_model *m);
/*
 * Ends queued requests that waited too long, and routes others while there is
 * room.
 */
void ent_dispatch_queue(struct entry *en, struct ent_model *m);
/*
 * Chooses an endpoint for a request that waits for one, and calls it. Without
 * an endpoint it tries again later, restarts the answer or gives up. Lock held.
 */
void ent_route_and_call(struct ent_req *rq);
/* Fills in the routing query; borrows from `rq`. The model's lock is held. */
void ent_fill_query(const struct ent_req *rq, struct route_query *ask);
/* Thread functions; `arg` is the entry. They return when it stops. */
void *ent_dispatch_run(void *arg);
void *ent_mover_run(void *arg);
/* Admits, queues or refuses a new request; the result is for the client. */
struct admit_result ent_admit(struct entry *en, struct ent_req *rq);
/* Executes an action of the request's flow. Lock held. */
void ent_do_action(struct ent_req *rq, struct flow_action a);
/* Ends the request without an endpoint; `why` is logged. Lock held. */
void ent_give_up(struct ent_req *rq, const char *why);
/*
 * Queues a command to the dispatch thread, with a reference to `rq`, which may
 * be NULL; see struct ent_command for the others. If the queue is full, the
 * command is dropped, with an alarm unless it is ENT_CMD_WAKE.
 */
void ent_send_command(struct entry *en, enum ent_command_kind kind,
		      struct ent_req *rq, uint64_t instance, int64_t at_ms,
		      int64_t end_ms);

/* Prints the id of the current run, "KEY~GENERATION". Lock held. */
void ent_stream_id(const struct ent_req *rq, char *out, size_t size);
/*
 * Chooses an endpoint, counts the request as sent to it and adds its prefix to
 * the index; `only_with_room`: only if the endpoint has a free slot. Logs the
 * choice. Lock held.
 */
struct route_choice ent_choose_endpoint(struct ent_req *rq,
					bool only_with_room);
/*
 * Continues the run on `endpoint`, to which the KV cache of the run `kv_from`
 * was moved. Lock held.
 */
void ent_move_to(struct ent_req *rq, uint64_t endpoint, const char *kv_from);
/*
 * Counts a request as ended on an endpoint; `failed`: also avoids the endpoint
 * for a while. Unknown ids are ignored.
 */
void ent_release_endpoint(struct ent_model *m, uint64_t id, bool failed,
			  int64_t now);

/* -- ent_rescue.c: reclaim notices -- */
/*
 * Plans and starts the rescue of this entry's streams on an instance that ends
 * at `end_ms`. Dispatch thread only.
 */
void ent_rescue(struct entry *en, uint64_t instance, int64_t end_ms);

/* -- ent_plain.c: calls to plain services -- */
/*
 * Calls the service and waits for the outcome, within `timeout_ms` of `p` per
 * try. A call that is not `repeatable` is sent again only if no byte of the
 * previous one was sent. `type`: content type of the body, or "".
 */
void ent_plain_run(struct entry *en, struct ent_req *rq,
		   const struct doc_plain *p, const char *method,
		   const char *path, bool repeatable, const char *type);

/* -- ent_share.c: shares of account limits -- */
/* Requests the shares that are due. To be called about once a second. */
void ent_share_tick(struct entry *en);
/*
 * Requests a share now if this entry has none, or if it is used up (`empty`).
 * Does not wait.
 */
void ent_share_ask_now(struct entry *en, struct ent_account *a, bool empty);
/*
 * Answers the share request of entry `who` as the keeper of `account`
 * ("service/account") in `view`: sets `*rate` as share_keeper_request() does.
 * `demand`, `in_use` and the rate are in tokens per second. False if this entry
 * is not the keeper there.
 */
bool ent_share_serve(struct entry *en, const char *account, uint64_t view,
		     uint64_t who, double demand, double in_use, double *rate);

/* -- ent_http.c -- */
/* Serves a client's HTTP request; `arg` is the entry. */
void ent_http_handle(struct hsv_request *rq, void *arg);

#endif
