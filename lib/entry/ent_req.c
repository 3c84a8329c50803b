/*
 * The table of the requests that this entry owns, and of the copies it holds.
 */
#include "entry/entry_internal.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/hsh.h"

/* Decisions kept per request for `explain`; the log has all of them. */
#define MAX_LOG_BYTES 4096

static struct cds_list_head *bucket_of(struct entry *en, const char *key)
{
	return &en->table[hsh_str(key, 0) % ENT_REQ_BUCKETS];
}

struct ent_req *ent_req_create(struct entry *en, const char *key)
{
	struct ent_req *rq = mem_new(sizeof(*rq));
	pthread_condattr_t attr;

	rq->en = en;
	atomic_init(&rq->refs, 1);
	pthread_mutex_init(&rq->lock, NULL);
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&rq->changed, &attr);
	pthread_condattr_destroy(&attr);
	str_copy(rq->key, key, sizeof(rq->key));
	rq->owner = en->self.id;
	rq->arrived_ms = ent_now(en);
	rq->weight = 1.0;
	return rq;
}

void ent_req_get(struct ent_req *rq)
{
	atomic_fetch_add(&rq->refs, 1);
}

void ent_req_put(struct ent_req *rq)
{
	if (atomic_fetch_sub(&rq->refs, 1) != 1)
		return;
	buf_free(&rq->text);
	buf_free(&rq->log);
	free(rq->token_ends);
	free(rq->body);
	free(rq->prompt);
	free(rq->prefix);
	free(rq->result);
	pthread_cond_destroy(&rq->changed);
	pthread_mutex_destroy(&rq->lock);
	free(rq);
}

/* Called with the table's lock held. */
static struct ent_req *find_locked(struct entry *en, const char *key)
{
	struct ent_req *rq;

	cds_list_for_each_entry(rq, bucket_of(en, key), node) {
		if (!strcmp(rq->key, key))
			return rq;
	}
	return NULL;
}

struct ent_req *ent_req_find(struct entry *en, const char *key)
{
	struct ent_req *rq;

	pthread_mutex_lock(&en->table_lock);
	rq = find_locked(en, key);
	if (rq)
		ent_req_get(rq);
	pthread_mutex_unlock(&en->table_lock);
	return rq;
}

struct ent_req *ent_req_add(struct entry *en, struct ent_req *rq)
{
	struct ent_req *found;

	pthread_mutex_lock(&en->table_lock);
	found = find_locked(en, rq->key);
	if (!found) {
		cds_list_add(&rq->node, bucket_of(en, rq->key));
		en->nr_reqs++;
		found = rq;
		ent_req_get(rq); /* the table's reference */
	}
	ent_req_get(found); /* the caller's reference */
	pthread_mutex_unlock(&en->table_lock);
	return found;
}

void ent_req_remove(struct entry *en, struct ent_req *rq)
{
	bool found;

	pthread_mutex_lock(&en->table_lock);
	found = find_locked(en, rq->key) == rq;
	if (found) {
		cds_list_del(&rq->node);
		en->nr_reqs--;
	}
	pthread_mutex_unlock(&en->table_lock);
	if (found)
		ent_req_put(rq);
}

/*
 * Calls `fn` for each request and drops its reference. The references let the
 * caller release table_lock first: `fn` takes locks that come before it.
 */
static void call_each(struct entry *en, struct ent_req **all, size_t n,
		      void (*fn)(struct ent_req *rq, void *arg), void *arg)
{
	size_t i;

	(void)en;
	for (i = 0; i < n; i++) {
		fn(all[i], arg);
		ent_req_put(all[i]);
	}
	free(all);
}

static void each_bucket(struct entry *en, size_t first, size_t end,
			void (*fn)(struct ent_req *rq, void *arg), void *arg)
{
	struct ent_req **all, *rq;
	size_t n = 0, i;

	pthread_mutex_lock(&en->table_lock);
	all = mem_new(en->nr_reqs * sizeof(*all));
	for (i = first; i < end; i++) {
		cds_list_for_each_entry(rq, &en->table[i], node) {
			ent_req_get(rq);
			all[n++] = rq;
		}
	}
	pthread_mutex_unlock(&en->table_lock);
	call_each(en, all, n, fn, arg);
}

void ent_req_each(struct entry *en, void (*fn)(struct ent_req *rq, void *arg),
		  void *arg)
{
	each_bucket(en, 0, ENT_REQ_BUCKETS, fn, arg);
}

void ent_req_each_open(struct entry *en,
		       void (*fn)(struct ent_req *rq, void *arg), void *arg)
{
	struct ent_req **all, *rq;
	size_t n = 0;

	pthread_mutex_lock(&en->table_lock);
	all = mem_new(en->nr_reqs * sizeof(*all));
	cds_list_for_each_entry(rq, &en->open, open_node) {
		ent_req_get(rq);
		all[n++] = rq;
	}
	pthread_mutex_unlock(&en->table_lock);
	call_each(en, all, n, fn, arg);
}

void ent_req_open(struct ent_req *rq)
{
	struct entry *en = rq->en;

	pthread_mutex_lock(&en->table_lock);
	if (!rq->open) {
		rq->open = true;
		cds_list_add(&rq->open_node, &en->open);
		ent_req_get(rq);
		atomic_fetch_add(&en->nr_open, 1);
	}
	pthread_mutex_unlock(&en->table_lock);
}

static void close_req(struct ent_req *rq)
{
	struct entry *en = rq->en;
	bool was_open;

	pthread_mutex_lock(&en->table_lock);
	was_open = rq->open;
	if (was_open) {
		rq->open = false;
		cds_list_del(&rq->open_node);
		atomic_fetch_sub(&en->nr_open, 1);
	}
	pthread_mutex_unlock(&en->table_lock);
	/* Not the last reference: the caller has its own. */
	if (was_open)
		ent_req_put(rq);
}

/* Frees the answer but keeps the key and its outcome. */
static void drop_answer(struct ent_req *rq)
{
	rq->stripped = true;
	buf_free(&rq->text);
	buf_free(&rq->log);
	free(rq->token_ends);
	rq->token_ends = NULL;
	rq->token_ends_cap = 0;
	free(rq->result);
	rq->result = NULL;
	rq->flow.tokens = 0;
	rq->flow.nr_gens = 0;
}

/*
 * Drops an answer replay_ms after its end, and removes a request at the end of
 * its key's life, since the judges then refuse the key. A request that this
 * entry still runs is kept for up to four times the life of a key.
 */
static void expire_request(struct ent_req *rq, void *arg)
{
	struct entry *en = arg;
	const int64_t now = ent_now(en);
	const int64_t age = now - rq->arrived_ms;
	bool expired;

	if (age < en->set.replay_ms)
		return;
	pthread_mutex_lock(&rq->lock);
	expired = age >= en->set.key_life_ms &&
		  (rq->flow.phase == FLOW_DONE || rq->role == ENT_HOLDER ||
		   age > 4 * en->set.key_life_ms);
	if (rq->ended_ms && !rq->stripped &&
	    now - rq->ended_ms >= en->set.replay_ms)
		drop_answer(rq);
	pthread_mutex_unlock(&rq->lock);
	if (expired)
		ent_req_remove(en, rq);
}

/* ent_req_expire() checks one part of the table per call. */
#define EXPIRE_PARTS 16

void ent_req_expire(struct entry *en)
{
	const size_t part = ENT_REQ_BUCKETS / EXPIRE_PARTS;
	const size_t first = en->next_expire;

	en->next_expire = (first + part) % ENT_REQ_BUCKETS;
	each_bucket(en, first, first + part, expire_request, en);
}

/* ---- The answer ---- */

void ent_req_append(struct ent_req *rq, const char *token)
{
	const uint32_t n = rq->flow.tokens;

	/* flow.tokens includes this one. */
	if (n > rq->token_ends_cap) {
		rq->token_ends_cap = rq->token_ends_cap ? 2 * rq->token_ends_cap
							: 64;
		rq->token_ends =
			realloc(rq->token_ends,
				rq->token_ends_cap * sizeof(*rq->token_ends));
		if (!rq->token_ends)
			abort();
	}
	buf_str(&rq->text, token);
	rq->token_ends[n - 1] = (uint32_t)rq->text.len;
}

void ent_req_truncate(struct ent_req *rq, uint32_t tokens)
{
	if (!rq->text.data)
		return;
	rq->text.len = tokens ? rq->token_ends[tokens - 1] : 0;
	rq->text.data[rq->text.len] = '\0';
}

char **ent_req_tokens(const struct ent_req *rq, uint32_t from, uint32_t *n)
{
	char **out;
	uint32_t i;

	*n = rq->flow.tokens > from ? rq->flow.tokens - from : 0;
	out = mem_new(*n * sizeof(*out));
	for (i = 0; i < *n; i++) {
		const uint32_t k = from + i;
		const uint32_t begin = k ? rq->token_ends[k - 1] : 0;

		out[i] = mem_new(rq->token_ends[k] - begin + 1);
		memcpy(out[i], rq->text.data + begin,
		       rq->token_ends[k] - begin);
	}
	return out;
}

void ent_req_log(struct ent_req *rq, const char *fmt, ...)
{
	char line[512];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(line, sizeof(line), fmt, ap);
	va_end(ap);
	log_line(LOG_LEVEL_INFO, "route", "key=%s account=%s %s", rq->key,
		 rq->account, line);
	if (rq->log.len + strlen(line) + 32 > MAX_LOG_BYTES)
		return;
	buf_fmt(&rq->log, "+%lldms %s\n",
		(long long)(ent_now(rq->en) - rq->arrived_ms), line);
}

static void count_outcome(struct ent_req *rq)
{
	struct ent_metrics *m = &rq->en->m;
	met_value *const rows[] = {
		[FLOW_OPEN] = m->failed,
		[FLOW_COMPLETED] = m->whole,
		[FLOW_NOT_RUN] = m->not_run,
		[FLOW_FAILED] = rq->plain ? m->unknown : m->failed,
	};

	met_inc(rows[rq->flow.outcome]);
	met_add(m->recomputed, rq->flow.recomputed);
	met_add(m->generated, rq->flow.tokens);
}

/* Returns the tokens that were charged but not used to the account. */
static void refund_unused(struct ent_req *rq)
{
	const double used = rq->prompt_tokens + (double)rq->flow.tokens;

	if (!rq->acct || rq->charged_tokens <= used)
		return;
	pthread_mutex_lock(&rq->acct->lock);
	share_refund(&rq->acct->share, rq->charged_tokens - used);
	pthread_mutex_unlock(&rq->acct->lock);
	rq->charged_tokens = used;
}

void ent_req_end(struct ent_req *rq)
{
	if (rq->ended_ms)
		return;
	rq->ended_ms = ent_now(rq->en);
	if (rq->role == ENT_OWNER) {
		close_req(rq);
		if (rq->acct)
			atomic_fetch_sub(&rq->acct->in_flight, 1);
		refund_unused(rq);
		count_outcome(rq);
	}
	ent_req_log(rq,
		    "end outcome=%d tokens=%u status=%d attempts=%u "
		    "recomputed=%u",
		    rq->flow.outcome, rq->flow.tokens, rq->status,
		    rq->flow.attempt, rq->flow.recomputed);
	/* The prompt is no longer needed. Answers are kept for replay without
	 * spare capacity: thousands of them dominate the memory usage. */
	buf_trim(&rq->text);
	buf_trim(&rq->log);
	free(rq->prompt);
	rq->prompt = NULL;
	free(rq->body);
	rq->body = NULL;
	free(rq->prefix);
	rq->prefix = NULL;
	ent_queue_copy(rq);
	pthread_cond_broadcast(&rq->changed);
}
