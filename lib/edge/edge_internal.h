/*
 * edge: declarations shared by the files of the entry.
 *
 * An entry is one process of the request proxy: it admits the requests of
 * callers (HTTP clients), sends them to endpoints and passes the answers on.
 * All entries have the same role, except that one of them holds the duties
 * (lead.h) and few watch the store for the others. They share state by gossip
 * (UDP datagrams) and by the key-value store.
 *
 * Lifetimes: `struct edge` lives as long as the process, `struct edge_req` as
 * a request, `struct hsc` as a connection, `struct cfg` as a version of the
 * configuration.
 *
 * Times: *_ms are durations in milliseconds, or points in time on the clock of
 * edge_now(); `now` is such a point. *_true_ms are points in time on the
 * corrected wall clock (walltime.h), in milliseconds since 1970.
 *
 * Each *_open function is called once at the start, each *_tick function
 * periodically from the event loop (edge.c).
 */
#ifndef EDGE_INTERNAL_H
#define EDGE_INTERNAL_H

#include <ev.h>
#include <urcu/list.h>

#include "base/decay.h"
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
#include "io/inp.h"
#include "limit/acct.h"
#include "limit/again.h"
#include "limit/shed.h"
#include "member/ovl.h"
#include "member/prs.h"
#include "member/rows.h"
#include "member/rank.h"
#include "model/svc.h"
#include "request/fatal.h"
#include "request/leave.h"
#include "request/rq.h"
#include "route/pick.h"
#include "route/reach.h"
#include "store/feed.h"
#include "store/mir.h"
#include "store/snap.h"
#include "store/sto.h"
#include "stream/bnd.h"
#include "stream/bnd_log.h"
#include "stream/evs.h"
#include "stream/hand.h"
#include "stream/vrs.h"
#include "stream/whole.h"

/* Services with a retry budget of their own; further ones share the first. */
#define EDGE_MAX_RETRY_BUDGETS 32

/* Maximum number of endpoints excluded from further sends of a request. */
#define EDGE_MAX_EXCLUDED PICK_MAX_EXCLUDED

/* How long a stall of this process is taken to come again. */
#define EDGE_STALL_MEMORY_MS 30000

/*
 * Time constant of the rate of callers' requests: longer than the gaps between
 * requests at an advertised entry, shorter than a burst.
 */
#define EDGE_ARRIVAL_RATE_MS 2000.0

/* Named after the metrics that they hold; see register_metrics (edge.c). */
struct edge_metrics {
	met_value *requests, *answers_passed, *answers_refused, *answers_failed,
		*streams_cut, *callers_gone, *requests_denied,
		*requests_cut_by_exit, *rejected_leaving;
	met_value *moves, *moves_failed, *moves_untargeted, *copies_unused;
	met_value *streams_taken_up, *streams_mixed;
	met_value *answers_oversized, *streams_paused;
	met_value *bindings, *bindings_asked, *bindings_unknown,
		*binding_datagrams, *place_waits;
	met_value *binding_writes, *bindings_recalled, *version_writes,
		*versions_read, *endpoints_unrecorded;
	met_value *probes, *endpoints_ended, *answers_verified;
	met_value *limits_stated, *statements_malformed, *sends_to_limited,
		*endpoints_limited, *answers_withheld;
	met_value *leaving_stated, *sends_to_leaving, *waits_stated,
		*sends_in_wait;
	met_value *sends_unreached, *endpoints_unreached, *endpoint_age_ms;
	met_value *cut_off, *reach_checks, *sends_relayed, *relay_failures;
	met_value *admitted_congested, *admission_waits, *rejected_congested,
		*rejected_no_time;
	met_value *brittle_refusals, *endpoints_brittle;
	met_value *endpoints_slow, *sends_off_slow;
	met_value *tunnels, *tunnels_opened, *tunnels_refused;
	met_value *held_bytes, *large_held_bytes, *connections,
		*connections_closed, *memory_shed[MEM_RANKS];
	/* Of whole requests, and of parts of their prompts. */
	struct edge_suspect_metrics {
		met_value *suspected, *convicted, *cleared;
	} suspects[2];
	met_value *requests_withheld, *sends_quarantined;
	met_value *sends, *resends, *resumes, *sends_not_run, *sends_lost;
	met_value *store_calls[STO_KINDS], *store_followed, *store_relayed;
	met_value *store_failures, *store_returns, *config_checks;
	met_value *usage_reports, *scale_orders;
	met_value *rollouts_completed, *rollouts_rolled_back, *sends_on_trial;
	met_value *entries_unreadable; /* endpoint_entries_unreadable_total */
	met_value *items_skipped;      /* store_items_skipped_total */
	met_value *lines_dropped, *config_version, *endpoints, *entries;
	met_value *list_age_ms;
	met_value *gossip_sent, *gossip_received, *gossip_bytes_sent,
		*gossip_rows_cut, *core_entries, *in_core;
	struct met_histogram *first_event_ms, *answer_ms, *endpoint_ms;
	struct met_histogram *prediction_error_ms, *admission_wait_ms;
};

/* The retry budget of one service. */
struct edge_retry_budget {
	char service[FLT_NAME];
	struct again budget;
};

/* The lease in the store that this entry's registration is bound to. */
struct edge_lease {
	int64_t id;	      /* 0: none */
	int64_t expires_ms;   /* valid until then at least */
	int64_t next_call_ms; /* time of the next grant, renewal or retry */
	bool call_in_flight;
	bool registered; /* the entry's key was written under it */
};

/*
 * The groups of keys that are mirrored from the store, each by a watch of its
 * own. An answer of the store is received whole or not at all, so small and
 * urgent keys are kept apart from large ones: otherwise the removal of an
 * endpoint would be known only with the last byte of a configuration. The
 * configuration is read separately (edge_config.c).
 */
enum edge_watch_id {
	EDGE_WATCH_ENDPOINTS, /* wire.endpoint_prefix */
	EDGE_WATCH_SYSTEM,    /* EDGE_SYSTEM_PREFIX: keys of the entries */
	EDGE_WATCH_ROLLOUTS,  /* wire.rollout_prefix; only by the duty holder */
	EDGE_NR_WATCHES,
};

/* Watches with a lower id can be followed at another entry. */
#define EDGE_NR_SHARED_WATCHES EDGE_WATCH_ROLLOUTS

/* The lane (sto_follow) on which entries fetch configurations from others. */
#define EDGE_CONFIG_LANE EDGE_NR_SHARED_WATCHES

/* A mirror of the keys with a prefix, kept up to date by a watch. */
struct edge_watch {
	struct edge *en;
	const char *prefix;
	int wait_ms; /* the store holds a watch without changes this long */
	struct mir mirror;
	struct feed feed;	 /* changes kept for followers */
	bool watched_store;	 /* at least one watch was sent to the store */
	bool following;		 /* the last watch was sent to another entry */
	bool from_store;	 /* the last answer came from the store */
	int64_t follow_after_ms; /* watches go to the store until then */
	int64_t complete_ms;	 /* the mirror was complete then; 0: never */
	int64_t era;		 /* of the store when the keys were read */
	bool resyncing;		 /* re-reading all keys in a new era */
	int64_t list_wanted_ms;	 /* the keys are to be listed since; 0: not */
	int64_t list_failed_ms;	 /* no listing from a peer; 0: none failed */
	unsigned list_attempts;	 /* that failed */
	bool seeds_chosen;	 /* too many entries for a small fleet */
	bool is_seed;		 /* this entry lists all of them */
	bool entries_known;	 /* registrations were listed by a seed */
	struct snap snap;	 /* as a hub, for entries that start */
	bool snap_pending;	 /* a page of it was requested */
	int64_t snap_retry_ms;	 /* no listing before */
};

/*
 * The store's era (edge_era.c): its number rises each time the store is
 * restored from an older copy.
 */
struct edge_era {
	int64_t detected_ms;	/* this entry detected the restore; 0: none */
	int64_t began_true_ms;	/* begin of the era; 0: no restore known */
	int64_t record_version; /* of the record in the store; 0: no record */
	int64_t recorded_era;	/* the era that the record states */
	int64_t next_write_ms;	/* no write of the record before */
	bool record_read;	/* if present, the record was read */
};

/* The record of versions in the store (edge_versions.c). */
struct edge_version_record {
	int64_t version;       /* of the key; 0: there is none */
	int64_t next_plan_ms;  /* compared with the list of endpoints then */
	int64_t differs_ms;    /* from it since; 0: it does not */
	int64_t next_write_ms; /* no write before */
	bool in_flight;	       /* a write of `next` */
	struct vrs next;
	int64_t stall_ms, era; /* when the times of en->versions began */
};

/* The bindings that this entry keeps in the store (edge_bind_log.c). */
struct edge_binding_log {
	struct bnd_log log;
	int64_t lease;	  /* of the keys; 0: none */
	int64_t renew_ms; /* the lease is renewed then */
	double next_ms;	  /* no call before */
	bool in_flight;	  /* a call; of a segment, the following */
	unsigned number, nr_rows;
	bool deleting;
	int64_t written_under; /* the lease of the keys then */
};

/* Reads of versions and bindings from the store (edge_recall.c). */
struct edge_recall {
	uint64_t read; /* number of the latest one */
	bool in_flight;
	bool wanted; /* a request waits for the next one */
	int64_t began_ms;
	unsigned pages;	 /* of bindings, that were read */
	char after[256]; /* last key of the page before */
};

/* The entry. */
struct edge {
	struct ev_loop *loop;
	const struct clk *clk;
	const struct conf *conf;  /* mutable_conf, read-only */
	struct conf mutable_conf; /* changes on SIGHUP */
	const char *settings_path;
	const struct wire *wire;
	struct jlog *log;
	struct met met;
	struct edge_metrics m;
	struct rnd rnd;
	int64_t start_ms;
	uint64_t boot;	 /* random id of this process, not 0 */
	uint64_t source; /* edge_source() of this process */

	/* The listeners. */
	struct hsc_server callers, ready, lookup, peers;
	struct mem mem; /* what their connections hold */
	struct {
		int64_t since_ms;
		unsigned lines, suppressed;
	} refusal_log; /* lines of requests that were not read */
	struct cds_list_head requests;	/* of edge_req.node */
	struct cds_list_head verifying; /* of edge_verify.node */

	struct sto *store;
	struct edge_watch watches[EDGE_NR_WATCHES];
	struct cds_list_head followers; /* of edge_follower.node */
	int64_t listings_sent_ms; /* the link has sent the last one by then */
	struct edge_era era;
	struct force force; /* the configuration in force */
	struct {
		int64_t era;
		/* In the form of a watch's answer; empty: too large. */
		struct buf body;
		int64_t version;
	} config_copy;	/* the configuration, for followers */
	struct vfy vfy; /* when to check for a newer configuration */
	int watch_rank; /* ovl_watch_rank() at the last gossip round */
	struct cds_list_head awaiting_config; /* of edge_req.wait_node */
	struct edge_lease lease;

	struct flt fleet;	      /* the endpoints */
	int64_t endpoint_received_ms; /* last bytes of any of them; 0: none yet */
	int64_t direct_received_ms; /* the same without those through relays */
	struct reach reach;	    /* of endpoints by own connections */
	int64_t links_revised_ms;   /* connections through relays */
	struct cds_list_head held_probes; /* of edge_probe.node */
	struct cds_list_head tunnels;	  /* of edge_tunnel.node */
	unsigned nr_tunnels;
	struct cds_list_head models;	 /* of svc, one per service */
	struct cds_list_head admissions; /* of edge_admission */
	unsigned nr_admit_waits;	 /* requests with admit.waiting */
	struct parts parts; /* where shared prompt parts were sent */
	struct acct_table accounts;
	struct edge_retry_budget budgets[EDGE_MAX_RETRY_BUDGETS];
	unsigned nr_budgets;

	struct cds_list_head rollouts; /* of edge_rollout, one per service */
	int64_t rollout_reported_ms;   /* last report of bad answers */

	struct bnd bindings; /* of streams to the versions that began them */
	uint64_t binding_members; /* entries of the core, to see changes */
	struct edge_binding_log binding_log;
	struct vrs versions;		   /* that may have begun streams */
	struct edge_version_record record; /* of the above */
	struct edge_recall recall;
	unsigned nr_place_waits; /* requests with place.waiting */

	struct fatal fatal;	     /* suspected poison requests */
	struct cds_list_head parked; /* of edge_req.wait_node */
	ev_timer fatal_gossip_timer; /* batches gossip about suspects */
	int64_t fatal_gossip_ms;     /* when it last fired */
	int64_t fatal_expiry_ms;     /* when old suspects were last removed */
	unsigned nr_fatal_news;	     /* rows in gossip_out.fatal that changed */
	bool fatal_marked;	     /* some suspect_runs may not be 0 */
	bool fatal_from_others;	     /* applying gossip or records */

	struct prs prs;		   /* the other entries */
	struct ovl ovl;		   /* which of them exchange gossip */
	struct decay_sum arrivals; /* callers' requests per second */
	int64_t busy_ms; /* last round with a load for the core; 0: none */
	double core_requests_per_s; /* at all entries, as a hub reported */
	unsigned nr_running;	    /* prs_count_running() at the last round */
	struct rank ranking;	    /* scratch space */
	int gossip_fd;		    /* UDP socket */
	ev_io gossip_watcher;
	uint32_t seq;		   /* of the last datagram sent */
	int64_t loads_averaged_ms; /* last average of peers' loads */
	int64_t gossip_round_ms;   /* start of the last gossip round */
	unsigned sending_peers;	   /* peers that send requests to endpoints */
	struct gsp_record gossip_out, gossip_in; /* scratch space */
	struct rows rows;	  /* that gossip_out may be too small for */
	unsigned statements_from; /* those before were sent last */
	unsigned speeds_from;	  /* rows that take turns start here */
	uint64_t
		*live_sources; /* sorted edge_source() of live peers; scratch */
	size_t nr_live_sources, max_live_sources;
	char peer_address[80]; /* IP:PORT, TCP and UDP */

	struct lead lead; /* election of the duty holder */
	struct saved_plan
		plan; /* of the duty holder, as last read from the store */
	char duty_holder[GSP_NAME_SIZE]; /* name of the entry; "": none */
	struct usage usage;
	struct walltime walltime;
	struct edge_duty *duty;

	int64_t totals_ms; /* when the totals were last logged */
	struct inp input;
	ev_timer tick;
	ev_check iteration;   /* of the event loop, before its other watchers */
	int64_t iteration_ms; /* the last one */
	int64_t config_since_ms; /* the configuration in force came then; 0: none */
	/* The process was suspended, or had no processor, until then; 0: never. */
	int64_t stalled_ms;
	int64_t stall_began_ms;
	int64_t stall_length_ms; /* the longest recent one */
	ev_signal on_term, on_int, on_hup;
	ev_prepare turn; /* of the event loop, before it polls */
	bool stopping;
	int64_t stop_ms;   /* the signal came then or later */
	int64_t ending_ms; /* the grace period was found to be over; 0: not yet */
	struct cds_list_head route_times; /* of edge_route_times */
};

/* A caller's request, from its head to the end of its answer. */
struct edge_req {
	struct cds_list_head node;	/* in edge.requests */
	struct cds_list_head wait_node; /* in edge.awaiting_config or .parked */
	struct edge *en;
	struct hsc *conn; /* the caller's connection */
	struct cfg *cfg;  /* referenced; NULL before admission */
	const struct cfg_route *route;
	const struct cfg_account *account; /* NULL: none */
	const struct cfg_service *service;
	struct attempt attempt;
	struct rq rq; /* what was sent, and what may be sent again */
	/* Hash of account, host, path and body: the same for all retries. */
	struct hsh128 content;
	struct fatal_request fatal; /* its features, once it is admitted */
	bool awaiting_config;	    /* in edge.awaiting_config */
	bool parked;	     /* in edge.parked, until a probe has ended */
	bool isolated;	     /* suspect: sent where few other requests run */
	bool config_checked; /* the configuration was checked after arrival */
	int64_t arrived_ms;
	int64_t deadline_at_ms; /* the earlier of deadline and route timeout */
	int64_t sent_true_ms;	/* the current send */
	int64_t sent_ms;
	ev_timer deadline_timer; /* fires after deadline_at_ms */
	ev_timer verify_timer;	 /* bounds the wait in awaiting_config */
	double charged; /* to the account's limit: requests or tokens */

	/* The current send; endpoint is NULL between sends. */
	struct flt_endpoint *endpoint; /* referenced */
	struct htc_call *call;
	char relay[GSP_NAME_SIZE]; /* it goes through this entry; "": none */
	bool avoid_direct;     /* a connection of this entry failed before */
	double prefill_tokens; /* counted in endpoint->prefill_tokens */
	struct svc *model;     /* of the service */
	struct svc_state endpoint_state; /* when the request was sent */
	double predicted_ms; /* to the first event, or an answer without any */
	bool prefill_known;  /* endpoint_state.tokens_to_prefill is certain */

	struct flt_endpoint *tried[EDGE_MAX_EXCLUDED]; /* referenced */
	unsigned nr_tried;
	unsigned sends;
	unsigned sends_reached; /* sends that may have reached an endpoint */
	bool retry_charged;	/* the current send, to the retry budget */
	bool offered;		/* counted in the load that clients offer */
	struct reply reply;
	bool unframed;		    /* the answer ended with its connection */
	const char *conn_end;	    /* how that ended during the send; "" */
	size_t request_unacked;	    /* bytes, when it ended */
	struct edge_verify *verify; /* of its end; NULL: none */
	struct buf answer_head;	    /* until the first event was passed on */
	struct buf answer_body;	    /* of an answer without a stream */
	struct {
		uint64_t order; /* hash of the order; 0: not counted */
		uint32_t route, group;
		bool answered;
	} tally; /* how the current send is counted in a roll-out (tally.h) */
	struct evs events;
	uint64_t events_before_send; /* events.events when it began */
	struct hand hand; /* state of the migration off this endpoint */
	/* Where a run that was stopped can go on; of a stream that is not repeated. */
	struct {
		char at[FLT_NAME + 128];    /* IP:PORT/HANDLE; "": nowhere */
		struct flt_endpoint *to;    /* the next one; both referenced */
		struct flt_endpoint *other; /* NULL: it refused */
		int64_t again_ms; /* of the next try; 0: none is due */
		unsigned tries;	  /* move_tries of the source */
	} copy;
	struct edge_move *move; /* the migration's call; NULL: none */
	bool move_untargeted;	/* there was no endpoint to move it to */
	unsigned move_tries;	/* copies requested of this endpoint */
	int64_t move_after_ms;	/* no further one before */
	struct flt_endpoint
		*move_refused; /* last target; referenced, or NULL */
	bool streaming;	       /* the current answer is a stream of events */
	bool unread; /* the caller reads too slowly: the call is paused */
	bool announced_close; /* the head has "Connection: close" */
	bool usage_counted;   /* in the account's usage */
	struct hsh128 stream; /* bnd_stream() of a stream */
	/* Query of homes and store for a stream that the caller continues. */
	struct {
		bool active;
		bool repeated;
		bool over; /* it ended */
		int64_t began_ms;
		bool homes_over; /* they answered, or did not in time */
		bool store_over; /* the read ended */
		uint64_t read;	 /* the one it waits for (edge_recall) */
		bool mixed;	 /* a home or the record has several versions */
		bool proved;	 /* the record has only this one: */
		uint64_t only_version;
		unsigned nr_asked;
		struct sockaddr_in asked[BND_MAX_ASKED];
		bool answered[BND_MAX_ASKED]; /* that it does not know it */
		ev_timer timer;
	} query;
	/* Wait for a place at an endpoint of the stream's version. */
	struct {
		bool waiting;
		int64_t since_ms; /* the first one; 0: there was none */
		int64_t retry_ms; /* to the next try where it was refused */
		ev_timer timer;
	} place;
	/* Wait at this entry while the endpoints are congested. */
	struct {
		struct shd_entry entry;
		bool waiting;
		bool woken;	  /* is decided on without further delay */
		unsigned waits;	  /* decisions to wait */
		int64_t since_ms; /* the first one; 0: none, or it is over */
		ev_timer timer;
	} admit;
	/* Only this version, flt_version(), can continue the stream. */
	bool bound;
	uint64_t version;
	char began_version[FLT_NAME]; /* its name */
	int64_t first_event_ms;	      /* passed on; 0: none yet */
	int64_t last_event_ms;	      /* passed on; 0: none yet */
	int64_t max_pause_ms;	      /* longest time between two events */
};

/* ---- edge_req.c: admission ---- */

extern const struct hsc_vtable edge_caller_vtable; /* owner: struct edge */

/* Resumes the admission of all requests in en->awaiting_config. */
void edge_req_resume_waiting(struct edge *en);

/*
 * Ends the request with an error response of the entry itself, and frees it.
 * `status`: of HTTP; `why`: for the response and the log; `retry_ms`: for
 * Retry-After; -1: none. An amount that was charged to the account's limit is
 * refunded unless the request may have run.
 */
void edge_req_answer(struct edge_req *r, int status, const char *why,
		     int64_t retry_ms);

/* Frees the request, and cancels what is in flight for it. */
void edge_req_free(struct edge_req *r);

/* True if enough of the request's time is left for another send. */
bool edge_has_time(const struct edge_req *r);

/* True if the service's retry budget allows a retry; `spend`: charges it. */
bool edge_may_retry(struct edge_req *r, bool spend);

/* Returns what the current send was charged to the retry budget. */
void edge_retry_refund(struct edge_req *r);

/* Puts back a retry that edge_may_retry() spent and that no send follows. */
void edge_retry_put_back(struct edge_req *r);

/* ---- edge_memory.c: what connections hold ---- */

/* Why a request or answer is given up when memory is short. */
#define EDGE_WHY_NO_MEMORY "memory is short"

/* Bytes that the kernel receives for a connection to an endpoint, unread. */
#define EDGE_WINDOW_BYTES 65536

/* Longer bodies are shared on their way instead of copied (shb.h). */
#define EDGE_COPY_BYTES MEM_SMALL_BYTES

/* Bounds the listeners, which are open. */
void edge_memory_open(struct edge *en);

/* Logs a configuration with bodies that the memory cannot hold. */
void edge_memory_check_config(struct edge *en, const struct cfg *c);

/* Connections closed as others needed their descriptors, ever. */
unsigned long edge_memory_closed(const struct edge *en);

/* Sets the metrics of memory and connections. */
void edge_memory_set_metrics(struct edge *en);

/* Accounts for what the request holds now. */
void edge_req_hold(struct edge_req *r);

/* Of hsc_vtable: gives up the request or its answer. */
void edge_req_shed(struct hsc *c);

/* ---- edge_cut.c: requests that end without a whole answer ---- */

/*
 * Adds to the current log line how far the request has come, what is left unread or
 * unsent, and what may have held it up: a stall, a new configuration. Times are in
 * ms, -1 if there was no such event.
 */
void edge_cut_log(struct edge_req *r);

/* ---- edge_stop.c: the entry's own shutdown ---- */

/* Why a leaving entry rejects a request, and its Retry-After: others serve. */
#define EDGE_WHY_STOPPING "this entry is leaving"
#define EDGE_STOPPING_RETRY_MS 300

/* Begins to watch for SIGTERM and SIGINT. */
void edge_stop_open(struct edge *en);

/* Ends the event loop once the requests have ended, or the grace period has. */
void edge_stop_tick(struct edge *en, int64_t now);

/* Cuts off the requests that are left, and closes all listeners and the log. */
void edge_stop_finish(struct edge *en);

/* True if a new request is accepted. */
bool edge_stop_accepts(const struct edge_req *r);

/*
 * True if the request may be sent to `p->endpoint`. False: its answer would end
 * after this process; it was rejected as not run, and freed.
 */
bool edge_stop_may_send(struct edge_req *r, const struct pick_result *p);

/*
 * Fills in at most `max` endpoints of the service that a leaving entry does not
 * send to if there are others: silent and slow ones. Returns their number.
 */
unsigned edge_stop_avoided(const struct edge *en, const char *service,
			   const struct flt_endpoint **out, unsigned max);

/* The current send ended with a complete answer. */
void edge_stop_learn(struct edge_req *r);

/* Logs an event of the process, with its requests and connections. */
void edge_log_process(struct edge *en, const char *event);

/* ---- edge_send.c: sending requests to endpoints ---- */

/* Picks an endpoint and sends the request, or ends it; may free `r`. */
void edge_send(struct edge_req *r);

/*
 * This entry was cut off: ends the sends that wait for an endpoint which may
 * never have got them, if they may be repeated.
 */
void edge_send_abandon_silent(struct edge *en);

/* True if a run that is about to be stopped may continue at `to`. */
bool edge_send_can_move(const struct edge_req *r,
			const struct flt_endpoint *to);

/* Sends stopped runs to their copies again that were not reached. */
void edge_send_copies_tick(struct edge *en, int64_t now);

/*
 * A send from a copy did not run. True: it will be repeated. `refused`: the endpoint
 * does not have the copy, but the other one may have the run.
 */
bool edge_send_copy_again(struct edge_req *r, bool refused);

/* The run goes on, or is lost: its copy cannot be used again. */
void edge_send_forget_copy(struct edge_req *r);

/*
 * Continues a migrated run on `to`, which holds a copy of its KV cache under
 * `handle`. May free `r`.
 */
void edge_send_moved(struct edge_req *r, struct flt_endpoint *to,
		     const char *handle);

/* ---- edge_admit.c: admission under congestion ---- */

/*
 * Decides on a request that is about to be sent to `p->endpoint`, which may be
 * replaced by one with a free slot. True: it is to be sent there. False: it
 * waits, after which it is picked an endpoint again, or it was rejected and
 * freed.
 */
bool edge_admit(struct edge_req *r, struct pick_result *p);

/*
 * A request of the service ended: the most urgent one that waits is decided on
 * again.
 */
void edge_admit_freed(struct edge *en, const char *service);

/* Ends the wait, if there is one. */
void edge_admit_cancel(struct edge_req *r);

/* ---- edge_bind.c: the versions that began streams ---- */

/*
 * True if the request may be sent: it is a new one, or the version that began
 * its stream is known (r->bound). False: a query for it was begun, after which the
 * request is sent, or the request was refused and freed.
 */
bool edge_bind_ready(struct edge_req *r);

/* Ends the query, if one is active. */
void edge_bind_cancel(struct edge_req *r);

/* The stream's first event is passed on: binds it to the endpoint's version. */
void edge_bind_started(struct edge_req *r);

/* True if streams of the request's service may have begun at several versions. */
bool edge_bind_is_mixed(const struct edge_req *r);

/* The store's record, and bindings if it has several versions, were read. */
void edge_bind_recalled(struct edge_req *r);

/* Handles a datagram of another entry; false: it is none about bindings. */
bool edge_bind_datagram(struct edge *en, const char *bytes, size_t n,
			const struct sockaddr_in *from);

/* Reports bindings that their homes lack; in each round of gossip. */
void edge_bind_tick(struct edge *en, int64_t now);

/*
 * True if the request continues a stream of a service with several versions: a
 * new one can go to each of them.
 */
bool edge_bind_comes_first(const struct edge_req *r);

/* ---- edge_bind_log.c: bindings in the store ---- */

/* Key prefix of the segments of all entries; not in the mirrored keys. */
#define EDGE_BINDING_PREFIX "mb/"

/* Adds a binding of this entry's own streams, unless that was done before. */
void edge_bind_log_add(struct edge *en, struct bnd_row *row, int64_t now);

void edge_bind_log_open(struct edge *en);

/* Writes what is due, unless a call is in flight. */
void edge_bind_log_tick(struct edge *en, int64_t now);

/* The store was restored from an older copy: writes the bindings again. */
void edge_bind_log_restored(struct edge *en);

/* ---- edge_recall.c: reads of versions and bindings from the store ---- */

/* Begins a read, or joins the next one, whose end calls edge_bind_recalled(). */
void edge_recall_request(struct edge_req *r);

/* Begins a read if a request waits for one and it is time. */
void edge_recall_tick(struct edge *en, int64_t now);

/* ---- edge_versions.c: the record of versions ---- */

/* The key of the record. */
#define EDGE_VERSIONS_KEY "md/versions"

/* The record was written, as this version of the key, or was deleted. */
void edge_versions_record_seen(struct edge *en, const char *value, size_t len,
			       int64_t version);
void edge_versions_record_deleted(struct edge *en);

/* Sets flt_endpoint.no_new_streams: the endpoint was listed, or the record changed. */
void edge_versions_endpoint_listed(struct edge *en, struct flt_endpoint *e);

/* Writes the record if the list of endpoints differs from it. */
void edge_versions_tick(struct edge *en, int64_t now);

/* The number of endpoints that get no new streams until they are recorded. */
unsigned edge_versions_count_withheld(const struct edge *en);

/* True if an endpoint of the service is among them. */
bool edge_versions_withholds(const struct edge *en, const char *service);

/* ---- edge_place.c: places for streams at their version ---- */

/*
 * There is no endpoint for the request now. True: one of its stream's version may
 * be open soon, and the request is sent then. False: it is bound to no version,
 * or there is none in time.
 */
bool edge_place_wait(struct edge_req *r);

/* A request ended at the endpoint: one that waits for a place is sent. */
void edge_place_freed(struct edge *en, const struct flt_endpoint *e);

/* Ends the wait, if there is one. */
void edge_place_cancel(struct edge_req *r);

/* ---- edge_relay.c: the way to endpoints, direct or through an entry ---- */

/*
 * Timeout for connecting to an endpoint. A round trip takes less than 3 ms, and
 * a request is late after a few hundred ms. A lost SYN is retransmitted only
 * after 1 s, which is too late.
 */
#define EDGE_CONNECT_TIMEOUT_MS 250

/* When connections to endpoints are given up. */
struct ioc_timeouts edge_endpoint_timeouts(void);

/* Closes and frees the endpoint's connections; a callback for flt_init(). */
void edge_link_free(struct flt_endpoint *e);

struct edge_way {
	/* Owned by the endpoint; NULL: its address cannot be parsed. */
	struct htc_peer *pool;
	const char *relay; /* the entry that it goes through; NULL: direct */
};

/*
 * The way to the endpoint. `avoid_direct`: a direct connection has just failed.
 * Direct all the same if no entry relays.
 */
struct edge_way edge_way_to(struct edge *en, struct flt_endpoint *e,
			    bool avoid_direct);

/* True if another entry opens tunnels to endpoints. */
bool edge_has_relay(const struct edge *en, int64_t now);

/* The entry opened no tunnel: it is no relay for a while. */
void edge_relay_failed(struct edge *en, const char *relay);

/* What happened at `e` may mean that this entry is cut off: may begin a check. */
void edge_reach_suspect(struct edge *en, enum reach_suspicion why,
			const struct flt_endpoint *e);

/*
 * Begins a check with other endpoints than `e` unless one is in progress. True:
 * edge_probe_decide() is called after it. False: this entry is cut off, or there
 * is no other endpoint.
 */
bool edge_reach_verify(struct edge *en, const struct flt_endpoint *e);

void edge_relay_tick(struct edge *en, int64_t now);

/* ---- edge_tunnel.c: tunnels for other entries ---- */

/* Answers the request for a tunnel, now or later. */
void edge_tunnel_request(struct edge *en, struct hsc *c);

/* Drops the request of this connection; false: it is none for a tunnel. */
bool edge_tunnel_disconnected(struct edge *en, const struct hsc *c);

/* ---- edge_speed.c: time factors of endpoints (speed.h) ---- */

/* The time factor of the request's endpoint; 1 without policy.speeds. */
double edge_speed_factor(const struct edge_req *r);

/*
 * Samples for the factor of the request's endpoint: its first event came
 * `took_ms` after the send; its stream ended, with a mean of `between_ms`
 * between events (-1: unknown).
 */
void edge_speed_first_event(struct edge_req *r, double took_ms);
void edge_speed_completed(struct edge_req *r, double between_ms);

/* Updates all factors; called in each gossip round. */
void edge_speed_tick(struct edge *en, int64_t now);

/* Counts the endpoints that are slower than SPD_NORMAL. */
unsigned edge_speed_count_slow(const struct edge *en);

void edge_speed_fill_gossip(struct edge *en, struct gsp_record *r, int64_t now);
void edge_speed_apply_gossip(struct edge *en, uint64_t source,
			     const struct gsp_record *r, int64_t sent_ms,
			     int64_t now);

/* ---- edge_statement.c: what endpoints state in their answers ---- */

/* Takes over what the head of an answer (r->reply) states. */
void edge_statement_answered(struct edge_req *r);

/* Counts a request that is sent although the endpoint stated something. */
void edge_statement_count_send(struct edge *en, const struct flt_endpoint *e);

/* Sets this entry's share of each limit, after the senders have changed. */
void edge_statement_tick(struct edge *en, int64_t now);

/*
 * Adds the endpoints' statements to a datagram; takes over those that another
 * entry reported in `r`, which it sent at `sent_ms`.
 */
void edge_statement_fill_gossip(struct edge *en, struct gsp_record *r,
				int64_t now);
void edge_statement_apply_gossip(struct edge *en, const struct gsp_record *r,
				 int64_t sent_ms, int64_t now);

/* The number of endpoints that state a limit. */
unsigned edge_statement_count_limited(const struct edge *en);

/* The number of endpoints that state that they are brittle. */
unsigned edge_statement_count_brittle(const struct edge *en);

/* True if an endpoint of the service does. */
bool edge_statement_is_brittle(const struct edge *en, const char *service);

/* ---- edge_probe.c: probes of endpoints after broken connections ---- */

/*
 * Starts a probe of an endpoint, unless one is in flight. True: when the probe
 * has ended, edge_fatal_probed() is called, never before this returns. False:
 * no socket, or the address cannot be parsed.
 */
bool edge_probe(struct edge *en, struct flt_endpoint *e);

/*
 * A check has ended: decides whether the endpoints whose probes were refused
 * meanwhile have exited, or this entry is cut off.
 */
void edge_probe_decide(struct edge *en);

/* ---- edge_fatal.c: quarantine of poison requests ---- */

/* Key prefix of the records of quarantined requests. */
#define EDGE_FATAL_PREFIX "md/fatal/"

void edge_fatal_open(struct edge *en);
void edge_fatal_tick(struct edge *en, int64_t now);

/*
 * True if the request may be sent now; sets r->isolated if it is a suspect.
 * False: it was parked, or it was ended and freed.
 */
bool edge_fatal_may_send(struct edge_req *r);

/* True if the request has what crashes endpoints: it must not be sent. */
bool edge_fatal_is_quarantined(const struct edge_req *r);

/* True if it may crash its endpoint, or is known to. */
bool edge_fatal_is_suspect(const struct edge_req *r);

/* A send of the request began; a send ended, however it ended. */
void edge_fatal_sent(struct edge_req *r);
void edge_fatal_stopped(struct edge_req *r);

/* The current send broke off: the endpoint may have crashed. */
void edge_fatal_send_broken(struct edge_req *r);

/* The answer was complete, which clears the request of suspicion. */
void edge_fatal_answered(struct edge_req *r);

/* The result of a probe. */
void edge_fatal_probed(struct edge *en, struct flt_endpoint *e,
		       enum htc_probe_result found);

/* The endpoint was removed; unless it was draining, it counts as crashed. */
void edge_fatal_endpoint_gone(struct edge *en, const struct flt_endpoint *e);

/* Adds this entry's suspects to a datagram; merges those of another entry. */
void edge_fatal_fill_gossip(struct edge *en, struct gsp_record *out,
			    int64_t now);
void edge_fatal_apply_gossip(struct edge *en, const struct gsp_record *r,
			     int64_t now);

/* Recounts flt_endpoint.suspect_runs of all endpoints. */
void edge_fatal_mark_endpoints(struct edge *en);

/*
 * The record of a quarantined request was written, or was deleted. `value`
 * needs no final NUL.
 */
void edge_fatal_record_seen(struct edge *en, const char *key, const char *value,
			    size_t len);
void edge_fatal_record_deleted(struct edge *en, const char *key);

/* The store lost the record when it was restored from an older copy. */
void edge_fatal_record_lost(struct edge *en, const char *key);

/* ---- edge_answer.c: endpoints' answers, and the next step ---- */

/*
 * Retry-After when all endpoints are full, ms: about the time that one or two
 * requests take.
 */
#define EDGE_FULL_RETRY_MS 500

extern const struct htc_vtable edge_answer_vtable; /* owner: struct edge_req */

/* Maximum body of an answer that is no stream, bytes. */
#define EDGE_MAX_ANSWER_BYTES (16u << 20)

/* The caller has received all of the answer so far. */
void edge_answer_drained(struct hsc *c);

/*
 * Ends the current send, if there is one: cancels its call and releases the
 * endpoint.
 */
void edge_send_stop(struct edge_req *r);

/*
 * Carries out the step that rq.h decided on; may free `r`. `why`: for the log
 * and the response.
 */
void edge_step(struct edge_req *r, enum rq_step step, const char *why);

/* The prefill of the current send is done: it no longer counts as waiting. */
void edge_prefill_done(struct edge_req *r);

/*
 * The endpoint did not run the request: retries it or ends it. May free `r`.
 * `o`: recorded for the endpoint; `why`: for the log and the response.
 */
void edge_send_not_run(struct edge_req *r, enum flt_outcome o, const char *why);

/*
 * There was no connection to the endpoint: as edge_send_not_run(), but the send
 * is not charged to the retry budget.
 */
void edge_send_unreached(struct edge_req *r, const char *why);

/* The relay opened no tunnel: as above, without an outcome of the endpoint. */
void edge_send_relay_failed(struct edge_req *r);

/*
 * Time since any endpoint last sent a byte of an answer, ms; -1: none did since
 * the start.
 */
int64_t edge_endpoint_age(const struct edge *en, int64_t now);

/* The number of endpoints that get no requests as they were not reached. */
unsigned edge_count_unreached(const struct edge *en, int64_t now);

/* Logs the end of the current send. `status`: HTTP status; 0: no answer. */
void edge_log_send_ended(struct edge_req *r, const char *outcome, int status);

/* Drops the current answer, which takes too much memory. May free `r`. */
void edge_answer_drop(struct edge_req *r, const char *why);

/* Why the rest of a stream is lost whose run was stopped for its migration. */
#define EDGE_WHY_STOPPED "stopped for a copy that failed"

/*
 * The current send broke off after its migration had failed. May free `r`. `why`:
 * for the log and the response.
 */
void edge_send_lost(struct edge_req *r, const char *why);

/*
 * The connection of the current send closed in order: passes the answer on if it is
 * whole (whole.h), else takes the next step. May free `r`. `process`: UNKNOWN until
 * edge_verify_start() has found it out.
 */
void edge_answer_end(struct edge_req *r, enum whole_process process);

/* ---- edge_verify.c: the process behind an answer without framing ---- */

/*
 * Finds out whether the process that answered still runs, after its connection
 * has closed: calls edge_answer_end() later, never from within. False: it is
 * gone, or cannot be found out.
 */
bool edge_verify_start(struct edge_req *r);

/* Bytes of the current answer were received. */
void edge_verify_received(struct edge_req *r);

/*
 * The request's deadline has passed. Returns the time for which a verification in
 * progress may still go on, ms; 0: none is, or that time is over.
 */
int edge_verify_last(struct edge_req *r);

/* Stops the verification, if one is in progress. */
void edge_verify_cancel(struct edge_req *r);

void edge_verify_tick(struct edge *en, int64_t now);

/* ---- edge_learn.c: samples for the services' models ---- */

/* The model of the service, made on first use and never freed. */
struct svc *edge_service_model(struct edge *en, const char *service);

/*
 * Counts the request once in the load offered to its service, as soon as it is
 * known how much of its prompt the endpoint `p->endpoint` (NULL: none) would
 * have to process.
 */
void edge_learn_offered(struct edge_req *r, const struct pick_result *p);

/* The first event of the current send arrived. */
void edge_learn_first_event(struct edge_req *r);

/* The current send ended with a complete answer. */
void edge_learn_completed(struct edge_req *r);

/* ---- edge_move.c: migration of streams off leaving endpoints ---- */

void edge_move_tick(struct edge *en, int64_t now);

/* Cancels the migration, if one is in progress. */
void edge_move_cancel(struct edge_req *r);

/* The stream ended at the source; cancels a migration that has not stopped it. */
void edge_move_stream_ended(struct edge_req *r);

/* No copy of the run is made at `target` until another one is excluded; NULL: none is. */
void edge_move_exclude(struct edge_req *r, struct flt_endpoint *target);

/* True if a stopped run may continue at the endpoint, which may be leaving. */
bool edge_move_is_in_time(const struct edge *en, const struct flt_endpoint *e);

/*
 * The KV cache was copied and the stream has stopped: continues at the copy.
 * May free `r`.
 */
void edge_move_continue(struct edge_req *r);

/* ---- edge_store.c: changes of keys in the store ---- */

extern const struct mir_vtable edge_mirror_vtable; /* arg: struct edge */

/* `addr`: of the store. */
void edge_store_open(struct edge *en, const struct sockaddr_in *addr);
void edge_store_tick(struct edge *en, int64_t now);

/*
 * Interval in ms between calls of this entry if all entries that send requests are
 * to use at most this share of the store's limit; 0: there is no limit.
 */
double edge_store_interval_ms(const struct edge *en, int64_t limit_per_s,
			      double share);

/* Logs that the value of a key cannot be decoded. */
void edge_log_unreadable(struct edge *en, const char *key, const char *why);

/* Time since the list of endpoints was last complete, ms; -1: never. */
int64_t edge_list_age(const struct edge *en, int64_t now);

#define EDGE_SYSTEM_PREFIX "md/"      /* all keys that entries write */
#define EDGE_DUTY_KEY "md/duty"	      /* the duty holder */
#define EDGE_USAGE_PREFIX "md/usage/" /* usage reports */
#define EDGE_PLAN_KEY "md/plan"	      /* the duty holder's saved_plan */

/* ---- edge_watch.c: watches of the store, direct or at another entry ---- */

void edge_watch_open(struct edge *en);
void edge_watch_tick(struct edge *en, int64_t now);

/* The largest answer that is passed on to followers, bytes as sent. */
size_t edge_max_body(const struct edge *en);

/* True if the watch is current enough to serve followers. */
bool edge_watch_is_current(const struct edge_watch *w, int64_t now);

/* ---- edge_snapshot.c: listings for entries that start ---- */

/* Adds a page of this entry's own listing. */
void edge_snapshot_page(struct edge_watch *w, const struct sto_answer *a);

/*
 * The listing to send to a follower now, counted against the link; NULL: not
 * now. Unless `any` will do, lists the keys again if changes can no longer
 * follow on the listing.
 */
const struct buf *edge_snapshot_take(struct edge_watch *w, bool any,
				     int64_t now);

/* ---- edge_era.c: detection of a restored store ---- */

/* The key that holds the era and when it began. */
#define EDGE_ERA_KEY "md/era"

void edge_era_open(struct edge *en);
void edge_era_tick(struct edge *en, int64_t now);

/*
 * True if operators have had time since the era began to write again what the
 * store lost.
 */
bool edge_era_settled(const struct edge *en, int64_t now);

/* The record of the era was written, with this key version, or was deleted. */
void edge_era_record_seen(struct edge *en, const char *value, size_t len,
			  int64_t version);
void edge_era_record_deleted(struct edge *en);

/* ---- edge_config.c: the configuration in force ---- */

/* Starts a check of the configuration if one is due or a request waits. */
void edge_config_tick(struct edge *en, int64_t now);

/* ---- edge_lease.c: registration, and election of the duty holder ---- */

/* Key prefix of the entries' registrations. */
#define EDGE_ENTRY_PREFIX "md/entry/"

void edge_lease_tick(struct edge *en, int64_t now);

/*
 * The lease is of an earlier era and no longer valid: drops it, and requests
 * another one at `next_ms`.
 */
void edge_lease_invalidate(struct edge *en, int64_t next_ms);

/* Gives up the duties and revokes the lease; for shutdown. */
void edge_lease_resign(struct edge *en);

/*
 * EDGE_DUTY_KEY was read, or was found to be deleted, at `revision`. `value`
 * needs no final NUL.
 */
void edge_lease_duty_seen(struct edge *en, const char *value, size_t len,
			  int64_t revision);
void edge_lease_duty_deleted(struct edge *en, int64_t revision);

/* Applies the answer to a STO_GET of EDGE_DUTY_KEY. */
void edge_lease_duty_read(struct edge *en, const struct sto_answer *a);

/*
 * Reads EDGE_DUTY_KEY from the store without waiting for its watch. For writes on
 * condition of the key that the store refused: this entry may no longer hold the
 * duties.
 */
void edge_lease_read_duty(struct edge *en);

/* ---- edge_peer_http.c: HTTP server for other entries ---- */

extern const struct hsc_vtable edge_peer_http_vtable; /* owner: struct edge */

/* Answers the followers that have news, or whose wait is over. */
void edge_serve_followers(struct edge *en, int64_t now);

/* ---- edge_gossip.c: datagrams to other entries ---- */

/* Usage windows whose counts are sent: the current one and those before it. */
#define EDGE_GOSSIP_WINDOWS 3

/* Sends the datagrams of a round of gossip. */
void edge_gossip_round(struct edge *en, int64_t now);

/* Sends all of this entry's state to the whole core. */
void edge_gossip_to_core(struct edge *en, int64_t now);

/* Sends a leaf the members of the core. */
void edge_gossip_to_leaf(struct edge *en, struct prs_peer *p, int64_t now);

/* Sends to all peers at once instead of in rounds, for urgent news. */
void edge_gossip_broadcast(struct edge *en, int64_t now);

/* Sends to one peer. */
void edge_gossip_send(struct edge *en, struct prs_peer *p, int64_t now);

/* ---- edge_peer.c: gossip from other entries ---- */

/* Opens the listener and the socket for datagrams; 0, or -1 with an error. */
int edge_peer_open(struct edge *en, struct err *e);

/* Finds out this entry's and the peers' roles again after a change. */
void edge_peer_update_overlay(struct edge *en, int64_t now);

/* Runs a gossip round, and evaluates what peers last sent. */
void edge_peer_tick(struct edge *en, int64_t now);

/*
 * Sum up what peers last reported: accounts' demands into en->accounts,
 * endpoints' loads into en->fleet.
 */
void edge_peer_sum_demands(struct edge *en, int64_t now);
void edge_peer_sum_loads(struct edge *en, int64_t now);

/*
 * An entry that receives more requests per second from callers counts as
 * sending to endpoints.
 */
#define EDGE_SENDING_PER_S 0.5

/* True if the peer is alive and sends requests to endpoints. */
bool edge_peer_is_sending(const struct prs_peer *p, int64_t now);

/* ---- edge_rank.c: selection of entries for roles that few have ---- */

/* Callers' requests per second at all entries. */
double edge_total_request_rate(const struct edge *en, int64_t now);

/* Sets prs_peer.collects_counts: the peers that are sent all usage counts. */
void edge_mark_count_keepers(struct edge *en, int64_t now);

/*
 * The addresses that look-ups return to callers: fills in at most `max` and
 * returns their number. The strings belong to `en`.
 */
size_t edge_advertised(struct edge *en, const char **out, size_t max,
		       int64_t now);

/* ---- edge_lookup.c: look-ups of entries, readiness checks ---- */

extern const struct hsc_vtable edge_lookup_vtable; /* owner: struct edge */

/* True if this entry is ready for callers' requests. */
bool edge_is_ready(const struct edge *en);

/* ---- edge_duty.c: duties of the one entry that holds them ---- */

void edge_duty_open(struct edge *en);
void edge_duty_tick(struct edge *en, int64_t now);

/* Counts a run of the request's account, which began at `true_ms`. */
void edge_duty_count_run(struct edge_req *r, int64_t true_ms);

/* The id of one process of an entry; after a restart it differs. */
static inline uint64_t edge_source(const char *name, uint64_t boot)
{
	return boot ^ hsh_str(name, 0);
}

/* Adds the log field by which all attempts with this content are found. */
static inline void edge_log_content(struct edge *en, struct hsh128 content)
{
	char digits[33];

	hsh128_hex(content, digits);
	jlog_str(en->log, "content", digits);
}

/* Now, in ms, on a monotonic clock that includes suspension of the machine. */
static inline int64_t edge_now(const struct edge *en)
{
	return clk_boot_ms(en->clk);
}

#endif
