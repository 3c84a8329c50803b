/*
 * The HTTP API for clients. A worker thread serves one connection from the
 * first byte of the request to the last byte of the response. The run does not
 * depend on the connection: a client that reconnects to this entry or another
 * one receives the rest of the response.
 */
#include "entry/ent_answer.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/hsh.h"
#include "base/jsn.h"
#include "base/pub.h"

/* Maximum number of entries listed to a client: enough if two crash. */
#define MAX_LISTED_ENTRIES 4

/* Characters per token assumed for the estimate of the prompt's tokens. */
#define CHARS_PER_TOKEN 4
/* Maximum number of tokens to generate if the client sets none. */
#define DEFAULT_MAX_TOKENS 256

/* The client that sent a request: its account and the account's limits. */
struct client {
	struct entry *en;
	struct hsv_request *rq;
	char account[DOC_NAME_MAX];
	char service[DOC_NAME_MAX];
	double weight;
	bool batch;
	size_t in_flight;
	double tokens_per_s;
};

/* ---- Authentication ---- */

static const char *bearer_token(const struct hsv_request *rq)
{
	const char *h = hsv_header(rq, "Authorization");

	return !strncmp(h, "Bearer ", 7) ? h + 7 : "";
}

/*
 * Sets `c` to the account that has the request's bearer token. Replies 401 and
 * returns false if there is none.
 */
static bool authenticate(struct entry *en, struct hsv_request *rq,
			 struct client *c)
{
	const struct ent_account_ref *r;
	const char *bearer = bearer_token(rq);

	memset(c, 0, sizeof(*c));
	c->en = en;
	c->rq = rq;
	pub_read_lock();
	r = *bearer ? ent_snap_account(ent_snap(en), bearer) : NULL;
	if (r) {
		str_copy(c->account, r->account->name, sizeof(c->account));
		str_copy(c->service, r->doc->service, sizeof(c->service));
		c->weight = r->account->weight;
		c->batch = r->account->urgency == DOC_BATCH;
		c->in_flight = (size_t)r->account->in_flight;
		c->tokens_per_s = r->account->tokens_per_s;
	}
	pub_read_unlock();
	if (r)
		return true;
	met_inc(en->m.denied);
	ent_refuse_not_run(
		en, rq, 401, "Unknown account",
		"send the account's key as: Authorization: Bearer KEY");
	return false;
}

/* ---- GET /v1/entries ---- */

struct listed_entry {
	uint64_t weight;
	bool same_zone;
	char http[VIEW_ADDR_MAX];
	char zone[VIEW_NAME_MAX];
};

static int compare_listed(const void *a, const void *b)
{
	const struct listed_entry *x = a, *y = b;

	if (x->same_zone != y->same_zone)
		return x->same_zone ? -1 : 1;
	return x->weight > y->weight ? -1 : x->weight < y->weight;
}

/*
 * Fills `best` with up to MAX_LISTED_ENTRIES alive entries and returns their
 * number. Entries in `zone` come first; within that, they are ordered by
 * rendezvous weight for the account. Takes one pass over the members.
 */
static size_t list_entries(struct entry *en, const char *account,
			   const char *zone, struct listed_entry *best)
{
	const uint64_t key = hsh_str(account, 21);
	const struct ent_snap *s;
	size_t n = 0, i;

	pub_read_lock();
	s = ent_snap(en);
	for (i = 0; i < s->nr_members; i++) {
		const struct ent_member *m = &s->members[i];
		struct listed_entry l = { .same_zone =
						  !strcmp(m->info.zone, zone) };

		if (m->state != SWIM_ALIVE)
			continue;
		l.weight = hsh_rendezvous(key, m->info.id);
		str_copy(l.http, m->info.http, sizeof(l.http));
		str_copy(l.zone, m->info.zone, sizeof(l.zone));
		if (n < MAX_LISTED_ENTRIES)
			best[n++] = l;
		else if (compare_listed(&l, &best[n - 1]) < 0)
			best[n - 1] = l;
		qsort(best, n, sizeof(*best), compare_listed);
	}
	pub_read_unlock();
	return n;
}

static void handle_entries(struct entry *en, struct hsv_request *rq)
{
	struct listed_entry best[MAX_LISTED_ENTRIES];
	BUF_AUTO b = BUF_INIT;
	char zone[VIEW_NAME_MAX];
	struct client c;
	struct grant g;
	size_t n, i;

	if (!authenticate(en, rq, &c))
		return;
	if (!hsv_query(rq, "zone", zone, sizeof(zone)))
		str_copy(zone, en->self.zone, sizeof(zone));
	n = list_entries(en, c.account, zone, best);
	buf_str(&b, "{\"entries\":[");
	for (i = 0; i < n; i++)
		buf_fmt(&b, "%s{\"address\":\"%s\",\"zone\":\"%s\"}",
			i ? "," : "", best[i].http, best[i].zone);
	buf_fmt(&b, "],\"keep_ms\":%lld", (long long)en->set.entry_list_ms);
	if (ent_new_grant(en, &g)) {
		char text[GRANT_MAX];

		grant_print(&g, c.account, en->set.grant_secret, text);
		buf_fmt(&b, ",\"grant\":\"%s\",\"grant_ms\":%lld", text,
			(long long)en->set.key_life_ms);
	}
	buf_str(&b, "}\n");
	hsv_json(rq, 200, b.data);
}

/* ---- Keys ---- */

/*
 * Creates the request with its effective key and the slot of the key's judges;
 * replies and returns false if the key is not valid. `given` is the client's
 * key, or "". A key without a grant is accepted only if the call is repeatable:
 * it has no time of issue, so its judges are those of the current view, and a
 * second submission may run again after a change of view.
 */
static bool resolve_key(struct client *c, const char *given, bool repeatable,
			struct ent_req **out)
{
	struct entry *en = c->en;
	char key[GRANT_KEY_MAX], text[GRANT_MAX];
	struct err e = ERR_INIT;
	struct grant g;

	if (!*given || !grant_has_form(given)) {
		if (*given && (!repeatable || strlen(given) > 64)) {
			ent_refuse_not_run(
				en, c->rq, 400, "Key without a grant",
				"calls that may not be repeated need a key "
				"GRANT.SUFFIX with a grant from /v1/entries");
			return false;
		}
		if (!ent_new_grant(en, &g)) {
			ent_refuse_not_run(
				en, c->rq, 503, "Not ready",
				"there is no view of the entries yet");
			return false;
		}
		grant_print(&g, c->account, en->set.grant_secret, text);
		if (!*given) {
			snprintf(key, sizeof(key), "%s.%016llx", text,
				 (unsigned long long)rnd_secret());
		} else {
			snprintf(key, sizeof(key), "raw.%.40s.%.64s",
				 c->account, given);
			snprintf(g.nonce, sizeof(g.nonce), "%08x",
				 (unsigned)hsh_str(key, 0));
		}
	} else {
		if (grant_parse(given, c->account, en->set.grant_secret, &g,
				&e)) {
			ent_refuse_not_run(en, c->rq,
					   e.code == ERR_DENIED ? 403 : 400,
					   "Grant not valid", e.text);
			return false;
		}
		str_copy(key, given, sizeof(key));
	}
	if (clk_wall_ms(en->clk) > g.issued_ms + en->set.key_life_ms) {
		ent_refuse(
			en, c->rq, 410, "unknown", 0, "Key expired",
			"the key's life is over; whether it ran cannot be told "
			"any more; take a new grant for new work");
		return false;
	}
	*out = ent_req_create(en, key);
	(*out)->slot_view = g.view;
	(*out)->slot = view_slot_of(g.nonce);
	(*out)->birth_ms = g.issued_ms;
	str_copy((*out)->account, c->account, sizeof((*out)->account));
	str_copy((*out)->service, c->service, sizeof((*out)->service));
	(*out)->weight = c->weight;
	(*out)->batch = c->batch;
	(*out)->acct_max = c->in_flight;
	return true;
}

/* ---- Claiming ---- */

static void reply_claim_failed(struct client *c, enum claim_outcome outcome)
{
	if (outcome == CLAIM_BURNED)
		ent_refuse(
			c->en, c->rq, 409, "not-run", 0, "Key burned",
			"several entries claimed the key at once and none can "
			"run it; take a new key");
	else if (outcome == CLAIM_EXPIRED)
		ent_refuse(c->en, c->rq, 410, "unknown", 0, "Key expired",
			   "whether the key ran cannot be told any more");
	else
		ent_refuse(
			c->en, c->rq, 503, "unknown", 1000, "Claim not decided",
			"too few of the key's judges answer; it was not run by "
			"this entry, which cannot speak for others");
}

/*
 * Claims `rq`. Returns true if this entry won the claim and is the only one
 * that may run it; the caller then checks that another entry holds the copy.
 * Otherwise serves the request from the entry that has it, or replies with an
 * error, and returns false.
 */
static bool claim_or_join(struct client *c, struct ent_req *rq,
			  struct ent_writer *w)
{
	struct entry *en = c->en;
	const struct ent_claim_result r = ent_claim(en, rq);

	pthread_mutex_lock(&rq->lock);
	ent_req_log(rq, "claim outcome=%s holder=%s",
		    claim_outcome_name(r.outcome), r.holder);
	str_copy(rq->holder, r.holder, sizeof(rq->holder));
	rq->holder_place = r.holder_place;
	pthread_mutex_unlock(&rq->lock);
	if (r.outcome == CLAIM_WON) {
		if (!*r.holder)
			met_inc(en->m.unprotected);
		return true;
	}
	/* Other connections that joined this attempt must not wait for it. */
	pthread_mutex_lock(&rq->lock);
	rq->released = true;
	pthread_cond_broadcast(&rq->changed);
	pthread_mutex_unlock(&rq->lock);
	ent_req_remove(en, rq);
	/*
	 * Too few judges may be left to decide the claim while one of them has
	 * the request from an earlier claim: it is served from there.
	 */
	if (r.outcome == CLAIM_JOIN)
		ent_serve_remote(w, rq, r.winner);
	else if (r.outcome == CLAIM_UNKNOWN && ent_find_remote(en, rq))
		ent_serve_remote(w, rq, 0);
	else
		reply_claim_failed(c, r.outcome);
	return false;
}

/* True if no other entry holds a copy although there are other entries. */
static bool is_copy_missing(struct entry *en, const struct ent_req *rq)
{
	size_t members;

	if (*rq->holder)
		return false;
	pub_read_lock();
	members = ent_snap(en)->nr_members;
	pub_read_unlock();
	return members > 1;
}

/* Ends a claimed request that was not started. `status`: the HTTP status. */
static void end_not_run(struct ent_req *rq, int status)
{
	pthread_mutex_lock(&rq->lock);
	rq->flow.phase = FLOW_DONE;
	rq->flow.outcome = FLOW_NOT_RUN;
	rq->status = status;
	rq->ended_ms = ent_now(rq->en);
	free(rq->body);
	rq->body = NULL;
	ent_queue_copy(rq);
	pthread_cond_broadcast(&rq->changed);
	pthread_mutex_unlock(&rq->lock);
	met_inc(rq->en->m.not_run);
}

/*
 * Finds the request in this entry or claims it. Returns true if `rq` is new and
 * claimed by this entry, and another entry, if there is one, holds its copy.
 * Otherwise the client has been sent a response.
 */
static bool find_or_claim(struct client *c, struct ent_req *rq,
			  struct ent_writer *w)
{
	struct entry *en = c->en;
	struct ent_req *existing = ent_req_add(en, rq);
	bool claimed = false;

	w->key = rq->key;
	if (existing != rq) {
		enum ent_role role;
		uint64_t owner;

		pthread_mutex_lock(&existing->lock);
		role = existing->role;
		owner = existing->owner;
		pthread_mutex_unlock(&existing->lock);
		if (strcmp(existing->account, rq->account))
			ent_refuse_not_run(
				en, c->rq, 403, "Not yours",
				"the key belongs to another account");
		else if (role == ENT_OWNER)
			ent_serve_local(w, existing);
		else
			ent_serve_remote(w, rq, owner);
	} else if (claim_or_join(c, rq, w)) {
		claimed = true;
		if (is_copy_missing(en, rq)) {
			end_not_run(rq, 503);
			ent_refuse(
				en, c->rq, 503, "not-run", 500,
				"No second copy",
				"no other entry could take the record; it was "
				"not run");
			claimed = false;
		}
	}
	ent_req_put(existing);
	return claimed;
}

/* ---- POST /v1/completions and /v1/chat/completions ---- */

/* The parsed body of a completion request. */
struct completion_params {
	char model[DOC_NAME_MAX];
	char adapter[DOC_NAME_MAX];
	char *prompt; /* owned by the struct */
	int64_t max_tokens;
	bool stream;
};

static bool parse_body(struct client *c, bool chat, struct completion_params *p)
{
	JSN_AUTO *o = jsn_parse(buf_cstr(&c->rq->body), c->rq->body.len);
	struct json_object *prompt = jsn_get(o, chat ? "messages" : "prompt");
	char *colon;

	memset(p, 0, sizeof(*p));
	if (!o || !json_object_is_type(o, json_type_object)) {
		ent_refuse_not_run(
			c->en, c->rq, 400, "Body is not a JSON object",
			"see POST /v1/completions in docs/INTERFACES.md");
		return false;
	}
	str_copy(p->model, jsn_str(o, "model", ""), sizeof(p->model));
	colon = strchr(p->model, ':');
	if (colon) {
		str_copy(p->adapter, colon + 1, sizeof(p->adapter));
		*colon = '\0';
	}
	p->max_tokens = jsn_int(o, "max_tokens", DEFAULT_MAX_TOKENS);
	p->stream = jsn_bool(o, "stream", false);
	if (!prompt || p->max_tokens < 1 || p->max_tokens > 1000000) {
		ent_refuse_not_run(
			c->en, c->rq, 400, "Body incomplete",
			chat ? "\"messages\" and \"max_tokens\" from 1 to "
			       "1000000 are expected"
			     : "\"prompt\" and \"max_tokens\" from 1 to "
			       "1000000 are expected");
		return false;
	}
	p->prompt = mem_dup(json_object_get_string(prompt));
	return true;
}

/*
 * Looks the model and adapter up in the document and sets `*deadline_ms`, the
 * duration allowed for the request in ms. Replies 404 and returns false if
 * either is unknown.
 */
static bool find_model(struct client *c, const struct completion_params *p,
		       int64_t *deadline_ms)
{
	const struct ent_doc *d;
	const struct doc_model *m;
	bool adapter_ok = false, found = false;

	pub_read_lock();
	d = ent_snap_doc(ent_snap(c->en), c->service);
	m = d ? doc_find_model(d->doc, p->model) : NULL;
	if (m) {
		found = true;
		adapter_ok = doc_has_adapter(m, p->adapter);
		*deadline_ms = d->doc->deadline_ms;
	}
	pub_read_unlock();
	if (found && adapter_ok)
		return true;
	ent_refuse_not_run(c->en, c->rq, 404,
			   found ? "No such adapter" : "No such model",
			   found ? p->adapter : p->model);
	return false;
}

/* Fills in a completion request. Takes the prompt out of `p`. */
static void init_completion(struct client *c, struct ent_req *rq,
			    struct completion_params *p, bool chat,
			    int64_t deadline_ms)
{
	struct entry *en = c->en;
	const size_t len = strlen(p->prompt);

	str_copy(rq->model, p->model, sizeof(rq->model));
	rq->chat = chat;
	rq->mod = ent_model_get(en, c->service, p->model, true);
	rq->acct = ent_account_get(en, c->service, c->account, c->tokens_per_s);
	rq->max_tokens = (uint32_t)p->max_tokens;
	rq->prompt_tokens = (uint32_t)(len / CHARS_PER_TOKEN + 1);
	rq->prompt = p->prompt;
	p->prompt = NULL;
	rq->prefix = mem_new(sizeof(*rq->prefix));
	prefix_key_init(rq->prefix, rq->prompt, len,
			hsh_str(p->adapter, hsh_str(rq->model, 0)));
	rq->body = mem_dup(buf_cstr(&c->rq->body));
	flow_init(&rq->flow, rnd_secret(), rq->prompt_tokens,
		  ent_now(en) + deadline_ms);
}

static void reply_refused(struct client *c, struct ent_req *rq,
			  const struct admit_result *a)
{
	char detail[96];

	end_not_run(rq, a->http_status);
	snprintf(detail, sizeof(detail), "refused: %s; the key is spent",
		 admit_reason_name(a->reason));
	ent_refuse(c->en, c->rq, a->http_status, "not-run", a->retry_after_ms,
		   "Not taken", detail);
}

static void handle_completion(struct entry *en, struct hsv_request *hr,
			      bool chat)
{
	struct ent_writer w = { .en = en, .rq = hr, .chat = chat };
	int64_t deadline_ms = 0;
	struct admit_result a;
	struct ent_req *rq;
	struct completion_params p;
	struct client c;

	if (!authenticate(en, hr, &c) || !parse_body(&c, chat, &p))
		return;
	if (!find_model(&c, &p, &deadline_ms) ||
	    !resolve_key(&c, hsv_header(hr, "Idempotency-Key"), true, &rq)) {
		free(p.prompt);
		return;
	}
	met_inc(en->m.requests);
	w.stream = p.stream;
	ent_parse_last_event(hr, &w);
	init_completion(&c, rq, &p, chat, deadline_ms);
	if (find_or_claim(&c, rq, &w)) {
		a = ent_admit(en, rq);
		if (a.verdict == ADMIT_REFUSE)
			reply_refused(&c, rq, &a);
		else
			ent_serve_local(&w, rq);
	}
	ent_req_put(rq);
}

/* ---- /v1/services/NAME/... ---- */

/*
 * Copies the plain service into `out` and sets `*repeatable` for this method
 * and path. Replies 404 and returns false if the service is unknown.
 */
static bool find_plain(struct client *c, const char *name, const char *path,
		       struct doc_plain *out, bool *repeatable)
{
	const struct ent_doc *d;
	const struct doc_plain *p;

	pub_read_lock();
	d = ent_snap_doc(ent_snap(c->en), c->service);
	p = d ? doc_find_plain(d->doc, name) : NULL;
	if (p) {
		*out = *p;
		*repeatable = doc_repeatable(p, c->rq->method, path);
	}
	pub_read_unlock();
	if (!p)
		ent_refuse_not_run(c->en, c->rq, 404, "No such plain service",
				   name);
	return p != NULL;
}

/* Admits a plain call, or replies with the refusal and returns false. */
static bool admit_plain(struct client *c, struct ent_req *rq)
{
	struct admit_facts f = {
		.draining = atomic_load(&c->en->releasing),
		.cut_off = ent_is_cut_off(c->en),
		.in_flight = atomic_load(&c->en->nr_open),
		.max_in_flight = (size_t)c->en->set.in_flight,
		.account_in_flight = atomic_load(&rq->acct->in_flight),
		.account_max_in_flight = c->in_flight,
		.share_ok = true,
		.has_endpoint = true,
		.has_room = true,
		.wait_limit_ms = 1000, /* no effect: no wait is predicted */
	};
	const struct admit_result a = admit_decide(&f);

	if (a.verdict != ADMIT_REFUSE) {
		ent_req_open(rq);
		atomic_fetch_add(&rq->acct->in_flight, 1);
		return true;
	}
	met_inc(c->en->m.refused[a.reason]);
	reply_refused(c, rq, &a);
	return false;
}

static void handle_plain_call(struct entry *en, struct hsv_request *hr)
{
	const char *service_path = hr->path + strlen("/v1/services/");
	const size_t name_len = strcspn(service_path, "/");
	const char *path = service_path[name_len] ? service_path + name_len
						  : "/";
	struct ent_writer w = { .en = en, .rq = hr };
	char name[DOC_NAME_MAX] = "";
	struct doc_plain plain;
	struct ent_req *rq;
	struct client c;
	bool repeatable = false;

	if (!authenticate(en, hr, &c))
		return;
	if (name_len < sizeof(name))
		str_copy(name, service_path, name_len + 1);
	if (!find_plain(&c, name, path, &plain, &repeatable) ||
	    !resolve_key(&c, hsv_header(hr, "Idempotency-Key"), repeatable,
			 &rq))
		return;
	met_inc(en->m.requests);
	rq->plain = true;
	str_copy(rq->model, name, sizeof(rq->model));
	snprintf(rq->route, sizeof(rq->route), "%.8s %.110s", hr->method, path);
	rq->acct = ent_account_get(en, c.service, c.account, c.tokens_per_s);
	rq->body = mem_dup(buf_cstr(&hr->body));
	flow_init(&rq->flow, rnd_secret(), 0, ent_now(en) + plain.timeout_ms);
	if (find_or_claim(&c, rq, &w) && admit_plain(&c, rq)) {
		ent_plain_run(en, rq, &plain, hr->method, path, repeatable,
			      hsv_header(hr, "Content-Type"));
		ent_serve_local(&w, rq);
	}
	ent_req_put(rq);
}

/* ---- GET /v1/requests/KEY ---- */

/* Returns the state or the answer of a request. Neither claims nor runs it. */
static void handle_get_request(struct entry *en, struct hsv_request *hr)
{
	const char *key = hr->path + strlen("/v1/requests/");
	struct ent_writer w = { .en = en, .rq = hr, .key = key };
	struct ent_req *rq, *existing;
	struct client c;
	char mode[8];

	if (!authenticate(en, hr, &c))
		return;
	if (!grant_has_form(key) && strncmp(key, "raw.", 4)) {
		hsv_problem(hr, 400, "", "Not a request key", key);
		return;
	}
	w.stream = hsv_query(hr, "stream", mode, sizeof(mode));
	ent_parse_last_event(hr, &w);
	existing = ent_req_find(en, key);
	if (existing && !strcmp(existing->account, c.account) &&
	    existing->role == ENT_OWNER) {
		w.chat = existing->chat;
		ent_serve_local(&w, existing);
		ent_req_put(existing);
		return;
	}
	if (existing)
		ent_req_put(existing);
	if (!grant_has_form(key)) {
		hsv_problem(hr, 404, "", "No such request", key);
		return;
	}
	if (!resolve_key(&c, key, false, &rq))
		return;
	w.key = rq->key;
	ent_serve_remote(&w, rq, 0);
	ent_req_put(rq);
}

/* ---- Health, metrics and dispatch ---- */

static void handle_health(struct entry *en, struct hsv_request *rq)
{
	if (!atomic_load(&en->ready))
		hsv_json(rq, 503, "{\"status\":\"not ready\"}\n");
	else if (atomic_load(&en->draining))
		hsv_json(rq, 503, "{\"status\":\"draining\"}\n");
	else
		hsv_json(rq, 200, "{\"status\":\"ok\"}\n");
}

static void handle_metrics(struct entry *en, struct hsv_request *rq)
{
	BUF_AUTO b = BUF_INIT;

	met_print(&en->met, &b);
	hsv_reply(rq, 200, "text/plain; version=0.0.4", "", b.data, b.len);
}

static bool check_ready(struct entry *en, struct hsv_request *rq)
{
	if (atomic_load(&en->ready))
		return true;
	ent_refuse(
		en, rq, 503, "not-run", 1000, "Not ready",
		"neither the key-value service nor a peer has told this entry "
		"what is in force");
	return false;
}

static bool matches(const struct hsv_request *rq, const char *method,
		    const char *path)
{
	return !strcmp(rq->method, method) && !strcmp(rq->path, path);
}

static bool has_prefix(const char *s, const char *prefix)
{
	return !strncmp(s, prefix, strlen(prefix));
}

static void dispatch(struct entry *en, struct hsv_request *rq)
{
	if (matches(rq, "GET", "/healthz"))
		handle_health(en, rq);
	else if (matches(rq, "GET", "/metrics"))
		handle_metrics(en, rq);
	else if (!check_ready(en, rq))
		return;
	else if (matches(rq, "GET", "/v1/entries"))
		handle_entries(en, rq);
	else if (matches(rq, "POST", "/v1/completions"))
		handle_completion(en, rq, false);
	else if (matches(rq, "POST", "/v1/chat/completions"))
		handle_completion(en, rq, true);
	else if (has_prefix(rq->path, "/v1/services/"))
		handle_plain_call(en, rq);
	else if (has_prefix(rq->path, "/v1/requests/") &&
		 !strcmp(rq->method, "GET"))
		handle_get_request(en, rq);
}

void ent_http_handle(struct hsv_request *rq, void *arg)
{
	struct entry *en = arg;

	atomic_fetch_add(&en->in_flight, 1);
	dispatch(en, rq);
	atomic_fetch_sub(&en->in_flight, 1);
}
