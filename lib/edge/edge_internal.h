/*
 * What the parts of the entry share. Life spans: `struct edge_req` a request,
 * `struct hsc` a connection, `struct cfg` a version, `struct edge` a process.
 */
#ifndef EDGE_INTERNAL_H
#define EDGE_INTERNAL_H

#include <ev.h>
#include <urcu/list.h>

#include "base/fade.h"
#include "base/jlog.h"
#include "base/met.h"
#include "base/rnd.h"
#include "config/force.h"
#include "config/vfy.h"
#include "duty/saved_plan.h"
#include "duty/lead.h"
#include "duty/scale.h"
#include "duty/walltime.h"
#include "duty/usage.h"
#include "edge/conf.h"
#include "edge/wire.h"
#include "fleet/flt.h"
#include "io/hsc.h"
#include "io/htc.h"
#include "limit/acct.h"
#include "limit/again.h"
#include "member/prs.h"
#include "member/rank.h"
#include "model/svc.h"
#include "request/fatal.h"
#include "request/rq.h"
#include "route/pick.h"
#include "store/feed.h"
#include "store/mir.h"
#include "store/sto.h"
#include "stream/evs.h"
#include "stream/hand.h"

#define EDGE_SERVICES 32 /* services with a budget of repeats */
#define EDGE_EXCLUDED PICK_MAX_EXCLUDED

/*
 * The rate of callers' requests is measured over so long: longer than the
 * gaps of a named entry, shorter than a burst.
 */
#define EDGE_ARRIVALS_MS 2000.0

struct edge_metrics {
	met_value *requests, *passed, *refused, *failed, *cut, *gone, *denied;
	met_value *moves, *moves_failed;
	met_value *probes, *endpoints_ended;
	met_value *suspected, *convicted, *withheld;
	met_value *sends, *resends, *resumes, *not_run, *lost;
	met_value *store_calls[STO_KINDS], *store_followed, *store_relayed;
	met_value *store_failures, *store_returns, *refreshes;
	met_value *usage_reports, *scale_orders;
	met_value *rollouts_completed, *rollouts_rolled_back, *sent_on_trial;
	met_value *entries_unreadable; /* of endpoints, in the store */
	met_value *lines_dropped, *config_version, *endpoints, *entries;
	met_value *list_age_ms;
	struct met_histogram *first_event_ms, *answer_ms, *endpoint_ms;
	struct met_histogram *prediction_error_ms;
};

struct edge_budget {
	char service[FLT_NAME];
	struct again again;
};

/* Our registration in the store and the lease that it hangs on. */
struct edge_lease {
	int64_t id; /* 0: none */
	int64_t until_ms;
	int64_t next_ms; /* when to renew, or to try again */
	bool calling;
	bool registered; /* the entry's key is written under this lease */
};

/*
 * The store's keys that are read and watched, each kind by itself. An answer
 * comes whole or not at all, so what is urgent and small is not asked for
 * together with what may be large: an endpoint's leaving would be learned
 * with the last byte of a configuration. That is read apart (edge_config.c).
 */
enum edge_keys {
	EDGE_ENDPOINTS,
	EDGE_OWN,      /* entries, the duties' holder and plan */
	EDGE_ROLLOUTS, /* operators' orders, watched only by the holder */
	EDGE_NR_KEYS,
};

/* Entries follow each other's watches of the kinds before this one. */
#define EDGE_NR_FOLLOWED EDGE_ROLLOUTS

/* Beside these, the lane on which versions of the configuration are handed on. */
#define EDGE_CONFIG_LANE EDGE_NR_FOLLOWED

struct edge_watch {
	struct edge *en;
	const char *prefix;
	int wait_ms; /* of a watch */
	struct mir mirror;
	struct feed feed;
	bool asked;		 /* the store was watched since the start */
	bool following;		 /* the last call asked another entry */
	bool direct;		 /* the last answer was the store's own */
	int64_t follow_after_ms; /* no entry is followed before */
	int64_t complete_ms;	 /* when all was known last; 0: never */
	int64_t era;		 /* of the store, of what was read */
	bool returning; /* it is read anew: the store came back from a copy */
};

/* What is known of the store's era (edge_era.c). */
struct edge_era {
	int64_t seen_ms;       /* we noted that the store had come back */
	int64_t began_true_ms; /* time of day; 0: not known to have come back */
	int64_t record;	       /* version of the record in the store; 0: none */
	int64_t recorded;      /* the era in it */
	int64_t write_ms;      /* it is not written before */
	bool known;	       /* the record was looked for */
};

struct edge {
	struct ev_loop *loop;
	const struct clk *clk;
	const struct conf *conf;
	struct conf conf_now;
	const char *settings_path;
	const struct wire *wire;
	struct jlog *log;
	struct met met;
	struct edge_metrics m;
	struct rnd rnd;
	int64_t start_ms;
	uint64_t boot;	 /* of this process */
	uint64_t source; /* hash of name and boot: whose counts these are */

	struct hsc_server callers, ready, lookup, peers;
	struct cds_list_head requests; /* of edge_req */

	struct sto *store;
	struct edge_watch watches[EDGE_NR_KEYS];
	struct cds_list_head followers; /* of edge_follower */
	struct edge_era era;
	struct force force;
	struct {
		int64_t era;
		struct buf body; /* as an answer of a watch; empty: too large */
		int64_t version;
	} copy; /* of the configuration, for entries that follow us */
	struct vfy vfy;
	int watch_place; /* among the entries that watch the store; -1 */
	struct cds_list_head verifying; /* of edge_req.wait_node */
	struct edge_lease lease;

	struct flt fleet;
	struct cds_list_head models; /* of svc: what services' answers showed */
	struct parts parts;
	struct acct_table accounts;
	struct edge_budget budgets[EDGE_SERVICES];
	unsigned nr_budgets;

	struct cds_list_head rollouts; /* of edge_rollout, one per service */
	int64_t rollout_told_ms; /* last report of bad answers to the holder */

	struct fatal fatal;	     /* requests that may end endpoints */
	struct cds_list_head parked; /* of edge_req.wait_node */
	ev_timer fatal_teller;	     /* news of them waits for it */
	int64_t fatal_told_ms;
	int64_t fatal_looked_ms; /* when old ones were last looked for */
	unsigned nr_fatal_fresh; /* of the rows told, those that are news */
	bool fatal_marked;	 /* flt_endpoint.suspects may be set */
	bool fatal_hearing;	 /* news are of others, or of the store */

	struct prs prs;
	struct fade arrivals; /* of callers' requests, a second */
	struct rank ranking;  /* work space: too large for the stack */
	int datagrams;	      /* socket */
	ev_io datagram_reader;
	uint32_t seq;
	int64_t smoothed_ms; /* when peers' loads were last averaged */
	int64_t peers_ms;    /* when the last round of datagrams was sent */
	unsigned next_peer;  /* where that round ended */
	unsigned sending_peers;
	struct gsp_record said, heard; /* too large for the stack */
	char self_peers[80];	       /* IP:PORT for other entries */

	struct lead lead;
	struct saved_plan plan; /* of the holder, as last read from the store */
	char duty_holder[GSP_NAME]; /* entry that holds the duties; "": none */
	struct usage usage;
	struct walltime walltime;
	struct edge_duty *duty;

	ev_timer tick;
	ev_signal on_term, on_int, on_hup;
	bool stopping;
	int64_t stop_ms; /* when SIGTERM came */
};

struct edge_req {
	struct cds_list_head node;	/* in edge.requests */
	struct cds_list_head wait_node; /* in edge.verifying or edge.parked */
	struct edge *en;
	struct hsc *conn;
	struct cfg *cfg;
	const struct cfg_route *route;
	const struct cfg_account *account;
	const struct cfg_service *service;
	struct attempt a;
	struct rq rq;
	struct hsh_wide content; /* account, host, path and body */
	bool waiting;  /* in edge.verifying, for the newest configuration */
	bool parked;   /* in edge.parked, until an endpoint was looked at */
	bool apart;    /* it may end the endpoint that it is sent to */
	bool verified; /* the configuration was asked for since it came */
	int64_t arrived_ms;
	int64_t until_ms; /* deadline and route's time-out */
	int64_t sent_true_ms;
	int64_t sent_ms;
	ev_timer timer; /* until_ms */
	ev_timer again; /* the wait for the configuration is over */
	double charged; /* of the account's limit */

	struct flt_endpoint *endpoint; /* of the send under way */
	struct htc_call *call;
	double prefill_tokens; /* counted at the endpoint */
	struct svc *model;     /* of the service of the send under way */
	struct svc_state at;   /* the endpoint when the request was sent */
	double expected_ms; /* the first event or answer was expected after */
	bool sure;	    /* that at.tokens_to_prefill must be read */
	struct flt_endpoint *tried[EDGE_EXCLUDED]; /* referenced */
	unsigned nr_tried;
	unsigned sends;
	unsigned reached; /* sends that reached an endpoint, or may have */
	bool paid; /* the send under way is paid of the budget of repeats */
	struct reply reply;
	struct buf head; /* of the answer, until its first event */
	struct buf body; /* of an answer that is not streamed */
	struct {
		uint64_t order; /* 0: not counted */
		uint32_t route, group;
		bool answered;
	} counted_as; /* of the send under way, in a roll-out (tally.h) */
	struct evs events;
	struct hand hand;	/* the stream's hand-over, from this endpoint */
	struct edge_move *move; /* the call for it; NULL: none */
	bool streaming;
	bool said_last; /* the head said that the connection closes */
	bool counted;	/* in the usage */
	int64_t first_ms;
	int64_t event_ms; /* the last event was passed on; 0: none yet */
	int64_t pause_ms; /* the longest between two events */
};

/* ---- edge_req.c: admission ---- */
extern const struct hsc_vtable edge_caller_vtable;
void edge_req_verified(struct edge *en);
/* Ends the request with an answer of ours. */
void edge_req_answer(struct edge_req *r, int status, const char *why,
		     int64_t retry_ms);
void edge_req_free(struct edge_req *r);
/* True if the service's budget has a repeat left; `spend` takes it. */
bool edge_may_repeat(struct edge_req *r, bool spend);
/* Gives back what the send under way was paid of it. */
void edge_unpay(struct edge_req *r);

/* ---- edge_send.c: to an endpoint ---- */
void edge_send(struct edge_req *r);
void edge_unlink(struct flt_endpoint *e);
/* The connections to the endpoint; NULL: its address makes no sense. */
struct htc_peer *edge_link(struct edge *en, struct flt_endpoint *e);
/* The run was copied: the request goes on at `to`, from that copy. */
void edge_send_moved(struct edge_req *r, struct flt_endpoint *to,
		     const char *handle);

/* ---- edge_probe.c: is an endpoint still there? ---- */
/*
 * A send that was under way there broke off. True: edge_fatal_probed follows,
 * never from within.
 */
bool edge_probe(struct edge *en, struct flt_endpoint *e);

/* ---- edge_fatal.c: requests that end endpoints ---- */
#define EDGE_FATAL_PREFIX "md/fatal/"
void edge_fatal_open(struct edge *en);
void edge_fatal_tick(struct edge *en, int64_t now);
/* False: it was answered, or waits, and is sent later. */
bool edge_fatal_may_send(struct edge_req *r);
/* A send of it began; it is over. */
void edge_fatal_sent(struct edge_req *r);
void edge_fatal_stopped(struct edge_req *r);
/* The send under way broke off. */
void edge_fatal_broke(struct edge_req *r);
/* A whole answer came: it does not end endpoints. */
void edge_fatal_whole(struct edge_req *r);
void edge_fatal_probed(struct edge *en, struct flt_endpoint *e,
		       enum htc_found found);
/* The endpoint is off the list for good. */
void edge_fatal_gone(struct edge *en, const struct flt_endpoint *e);
void edge_fatal_say(struct edge *en, struct gsp_record *out, int64_t now);
void edge_fatal_hear(struct edge *en, const struct gsp_record *r, int64_t now);
/* Notes at the endpoints where a suspect runs that it does. */
void edge_fatal_mark(struct edge *en);
/* The store's record of a conviction came, or went. */
void edge_fatal_recorded(struct edge *en, const char *key, const char *value,
			 size_t len);
void edge_fatal_lifted(struct edge *en, const char *key);
/* The store came back from a copy that has not got it. */
void edge_fatal_unrecorded(struct edge *en, const char *key);

/* ---- edge_answer.c: what comes back, and what is done next ---- */
/* When to come back after endpoints were full: a request's time or two. */
#define EDGE_FULL_RETRY_MS 500
extern const struct htc_vtable edge_answer_vtable; /* owner: edge_req */
/* The send under way is over, however it ended. */
void edge_send_stop(struct edge_req *r);
void edge_step(struct edge_req *r, enum rq_step step, const char *why);
/* Nothing of the prompt is left to be read at the endpoint. */
void edge_first_event_seen(struct edge_req *r);
/* The endpoint did not run it: it goes elsewhere, or is refused. */
void edge_not_run(struct edge_req *r, enum flt_outcome o, const char *why);
/* There was no connection to the endpoint. */
void edge_unreached(struct edge_req *r, const char *why);
void edge_log_outcome(struct edge_req *r, const char *outcome, int status);
/* The run was stopped, and there is no copy; or it had come to its end. */
void edge_send_lost(struct edge_req *r, const char *why);
void edge_send_finished(struct edge_req *r);

/* ---- edge_learn.c: what answers show of the endpoints ---- */

/* The model of the service, made on first use. */
struct svc *edge_model(struct edge *en, const char *service);
/* The first event of the send under way is there. */
void edge_learn_first(struct edge_req *r);
/* The send under way ended well. */
void edge_learn_end(struct edge_req *r);

/* ---- edge_move.c: streams on endpoints that leave ---- */
void edge_move_tick(struct edge *en, int64_t now);
void edge_move_stop(struct edge_req *r);
/* The copy is there and the stream has stopped. */
void edge_move_on(struct edge_req *r);

/* ---- edge_store.c: what the store says ---- */
extern const struct mir_vtable edge_keys_vtable; /* arg: struct edge */
void edge_store_open(struct edge *en, const struct sockaddr_in *addr);
void edge_store_tick(struct edge *en, int64_t now);
/* Logs that the value of a key makes no sense. */
void edge_unreadable(struct edge *en, const char *key, const char *why);
/* How long ago the list of endpoints was complete; -1: it never was. */
int64_t edge_list_age(const struct edge *en, int64_t now);
#define EDGE_OWN_PREFIX "md/"
#define EDGE_DUTY_KEY "md/duty"
#define EDGE_USAGE_PREFIX "md/usage/"
#define EDGE_PLAN_KEY "md/plan"

/* ---- edge_watch.c: following the store's keys ---- */
void edge_watch_open(struct edge *en);
void edge_watch_tick(struct edge *en, int64_t now);
/* True if others may rely on what our watch of these keys brings. */
bool edge_watch_leads(const struct edge_watch *w, int64_t now);

/* ---- edge_era.c: the store comes back from an older copy ---- */
#define EDGE_ERA_KEY "md/era"
void edge_era_open(struct edge *en);
void edge_era_tick(struct edge *en, int64_t now);
/* True if operators have had time to write again since the era began. */
bool edge_era_settled(const struct edge *en, int64_t now);
/* The record of the era came, or is gone. */
void edge_era_recorded(struct edge *en, const char *value, size_t len,
		       int64_t version);
void edge_era_gone(struct edge *en);

/* ---- edge_config.c: the configuration in force ---- */
/* Asks the store if it is time to, or if a request waits for it. */
void edge_config_tick(struct edge *en, int64_t now);

/* ---- edge_lease.c: registration, holding the duties ---- */
#define EDGE_ENTRY_PREFIX "md/entry/"
void edge_lease_tick(struct edge *en, int64_t now);
/* The lease is of an earlier era: another one, not before `next_ms`. */
void edge_lease_void(struct edge *en, int64_t next_ms);
/* Gives up registration and duties at once: this entry leaves. */
void edge_lease_resign(struct edge *en);
/* How the duties' key names this boot. */
void edge_lease_holder(const struct edge *en, char *out, size_t size);
/* The entry that such a name speaks of. */
void edge_lease_entry(const char *holder, size_t len, char *out, size_t size);

/* ---- edge_inner.c: the internal listener ---- */
extern const struct hsc_vtable edge_inner_vtable;
/* Answers the entries that follow our watch, or wait for a version. */
void edge_inner_feed(struct edge *en, int64_t now);

/* ---- edge_peer.c: other entries ---- */
int edge_peer_open(struct edge *en, struct err *e);
void edge_peer_tick(struct edge *en, int64_t now);
/* Tells all the others at once, not in rounds: what cannot wait. */
void edge_peer_tell_all(struct edge *en, int64_t now);
/* Tells one of them. */
void edge_peer_tell(struct edge *en, const struct prs_peer *p, int64_t now);
/* Sum up what the others told. */
void edge_peer_demands(struct edge *en, int64_t now);
void edge_peer_loads(struct edge *en, int64_t now);

/* ---- edge_rank.c: which entries do what only some of them should ---- */

/* Our place among the entries that watch the store; -1: not one of them. */
int edge_watch_place(struct edge *en, int64_t now);

/*
 * The entry whose watch we follow; NULL: we watch the store ourselves.
 */
const struct prs_peer *edge_leader(struct edge *en, int64_t now);

/* Marks the peers that are told all counts (prs_peer.keeps_counts). */
void edge_mark_keepers(struct edge *en, int64_t now);

/* Addresses of the entries that callers should use; returns how many. */
size_t edge_named(struct edge *en, const char **out, size_t max, int64_t now);

/* ---- edge_look.c: look-ups, readiness ---- */
extern const struct hsc_vtable edge_look_vtable;
bool edge_taking(const struct edge *en);

/* ---- edge_duty.c ---- */
void edge_duty_open(struct edge *en);
void edge_duty_tick(struct edge *en, int64_t now);
void edge_duty_count(struct edge_req *r, int64_t true_ms);

/* How other entries know one start of an entry, in a word. */
static inline uint64_t edge_source(const char *name, uint64_t boot)
{
	return boot ^ hsh_str(name, 0);
}

/* The field by which lines on requests that ask the same are found. */
static inline void edge_log_content(struct edge *en, struct hsh_wide content)
{
	char digits[33];

	hsh_wide_hex(content, digits);
	jlog_str(en->log, "content", digits);
}

static inline int64_t edge_now(const struct edge *en)
{
	return clk_boot_ms(en->clk);
}

#endif
