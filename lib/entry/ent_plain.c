/*
 * Calls to plain services. A call that the document does not list as repeatable
 * runs at most once: this entry holds the claim, and retries only if no byte
 * of the previous attempt can have been sent.
 */
#include "entry/entry_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* How long an endpoint is not chosen after a failed call. */
#define AVOID_AFTER_FAILURE_MS 1000
/* Maximum number of attempts per call. */
#define MAX_ATTEMPTS 4
/* Timeout for connecting to an endpoint. */
#define CONNECT_TIMEOUT_MS 500

struct chosen_endpoint {
	uint64_t id;
	char name[64];
	char address[64];
};

/*
 * True if `a` is a better choice than `b`: it has fewer open calls of this
 * entry or, with as many, is in `zone` and `b` is not.
 */
static bool is_better(const struct ent_pool_member *a,
		      const struct ent_pool_member *b, const char *zone)
{
	if (a->own_open != b->own_open)
		return a->own_open < b->own_open;
	return !strcmp(a->zone, zone) && strcmp(b->zone, zone);
}

/*
 * Chooses the better of the first two usable endpoints after a random start,
 * which avoids both herding and a scan of the pool. Counts the call as open
 * until release_endpoint(). Returns false if no endpoint is usable.
 */
static bool choose_endpoint(struct entry *en, struct ent_pool *p,
			    struct chosen_endpoint *c)
{
	const int64_t now = ent_now(en);
	struct ent_pool_member *best = NULL;
	size_t start, i, seen = 0;

	pthread_mutex_lock(&p->lock);
	start = p->nr ? (size_t)(rnd_secret() % p->nr) : 0;
	for (i = 0; i < p->nr && seen < 2; i++) {
		struct ent_pool_member *m = &p->rows[(start + i) % p->nr];

		if (m->leaving || now < m->avoid_until_ms)
			continue;
		seen++;
		if (!best || is_better(m, best, en->self.zone))
			best = m;
	}
	if (best) {
		best->own_open++;
		c->id = best->id;
		str_copy(c->address, best->address, sizeof(c->address));
	}
	pthread_mutex_unlock(&p->lock);
	return best != NULL;
}

static void release_endpoint(struct ent_pool *p, uint64_t id,
			     int64_t avoid_until)
{
	size_t i;

	pthread_mutex_lock(&p->lock);
	for (i = 0; i < p->nr; i++) {
		if (p->rows[i].id != id)
			continue;
		p->rows[i].own_open--;
		if (avoid_until)
			p->rows[i].avoid_until_ms = avoid_until;
	}
	pthread_mutex_unlock(&p->lock);
}

static void end_request(struct ent_req *rq, enum flow_outcome outcome,
			int status)
{
	rq->flow.phase = FLOW_DONE;
	rq->flow.outcome = outcome;
	rq->status = status;
	ent_req_end(rq);
}

static void store_reply(struct ent_req *rq, struct hcl_reply *r)
{
	rq->result = mem_new(r->body.len + 1);
	memcpy(rq->result, buf_cstr(&r->body), r->body.len);
	rq->result_len = r->body.len;
	str_copy(rq->result_type, r->content_type, sizeof(rq->result_type));
	end_request(rq, FLOW_COMPLETED, r->status);
}

/*
 * Makes one attempt. Returns true if its outcome is final. ERR_REFUSED means
 * that there was no connection, so nothing was sent.
 */
static bool try_once(struct entry *en, struct ent_req *rq, struct ent_pool *p,
		     const struct chosen_endpoint *c,
		     const struct hcl_request *call, bool repeatable)
{
	HCL_REPLY_AUTO r = HCL_REPLY_INIT;
	struct err e = ERR_INIT;
	const int failed = hcl_call(en->hcl, call, &r, &e);

	release_endpoint(p, c->id,
			 failed ? ent_now(en) + AVOID_AFTER_FAILURE_MS : 0);
	pthread_mutex_lock(&rq->lock);
	ent_req_log(rq, "plain endpoint=%s outcome=%s status=%d", c->address,
		    failed ? err_name(e.code) : "answered", r.status);
	if (!failed) {
		rq->flow.ran = true;
		store_reply(rq, &r);
	} else if (e.code != ERR_REFUSED) {
		rq->flow.ran = true;
		if (!repeatable)
			end_request(rq, FLOW_FAILED, 504);
	}
	if (!failed)
		met_inc(en->m.attempts);
	pthread_mutex_unlock(&rq->lock);
	return !failed || (e.code != ERR_REFUSED && !repeatable);
}

void ent_plain_run(struct entry *en, struct ent_req *rq,
		   const struct doc_plain *plain, const char *method,
		   const char *path, bool repeatable, const char *type)
{
	struct ent_pool *p = ent_pool_get(en, rq->service, plain->name, true);
	char key_header[GRANT_KEY_MAX + 32], type_header[128];
	struct chosen_endpoint c;
	const struct hcl_request call = {
		.method = method,
		.address = c.address,
		.path = path,
		.headers = { key_header, *type ? type_header : NULL },
		.body = rq->body,
		.body_len = rq->body ? strlen(rq->body) : 0,
		.connect_ms = CONNECT_TIMEOUT_MS,
		.total_ms = plain->timeout_ms,
		.once = true,
	};
	int attempt;

	snprintf(key_header, sizeof(key_header), "Idempotency-Key: %s",
		 rq->key);
	snprintf(type_header, sizeof(type_header), "Content-Type: %.100s",
		 type);
	for (attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
		if (ent_now(en) >= rq->flow.deadline_ms ||
		    !choose_endpoint(en, p, &c))
			break;
		if (try_once(en, rq, p, &c, &call, repeatable))
			return;
	}
	pthread_mutex_lock(&rq->lock);
	if (rq->flow.phase != FLOW_DONE)
		end_request(rq, rq->flow.ran ? FLOW_FAILED : FLOW_NOT_RUN,
			    rq->flow.ran ? 504 : 503);
	pthread_mutex_unlock(&rq->lock);
}
