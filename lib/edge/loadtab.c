#include "edge/loadtab.h"

#include <json-c/json.h>
#include <limits.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/jsn.h"
#include "base/tab.h"
#include "edge/explain.h"

/* Size of buffers for names and reasons; longer ones are truncated. */
#define NAME_SIZE 96

/* Size of the text on a step of a roll-out. */
#define ROLLOUT_SIZE 192

/* The time of a line, with milliseconds. */
#define TIME_SIZE 32

#define OTHER "other"

/* Start of the row for steps beyond LTB_STEPS; sorted last. */
#define OTHER_START INT64_MAX

/*
 * Waits are counted in buckets of 1 ms below 32 ms, and from there on in 16
 * buckets for each power of two: a quantile is at most a sixteenth too high.
 */
#define BUCKETS_PER_OCTAVE 16
#define OCTAVE_SHIFT 4
#define OCTAVES 16 /* up to 17 minutes; longer waits are in the last bucket */
#define WAIT_BUCKETS ((OCTAVES + 1) * BUCKETS_PER_OCTAVE)

enum count {
	SENT,	  /* requests: first sends */
	UNSENT,	  /* requests answered by the entry without a send */
	REFUSED,  /* own answers that state that the request has not run */
	FAILED,	  /* own answers of the entry's or the endpoint's faults */
	DENIED,	  /* own answers for a fault of the request itself */
	SENDS,	  /* all sends, also repeats */
	DECLINED, /* sends refused by the endpoint */
	HOPELESS, /* sends with a predicted wait beyond the time left */
	ON_TIME,
	LATE,
	ERRORS, /* errors of endpoints that were passed on */
	NR_COUNTS,
};

/* A service, account, route, endpoint, version or reason. */
struct ltb_row {
	char name[NAME_SIZE];
	unsigned index; /* order of creation among its kind, from 0 */
	int service;	/* index of an endpoint's or route's; -1: unknown */
	unsigned long n[NR_COUNTS];
	unsigned long total;	  /* of a reason */
	struct ltb_row *reasons;  /* of an account or route */
	unsigned char *endpoints; /* of a version: bit map by index */
	UT_hash_handle hh;
};

struct ltb_key {
	int64_t start; /* seconds since 1970 */
	int64_t service;
};

/* The last order of a step, and the sums over all its orders. */
struct ltb_orders {
	char time[TIME_SIZE];
	unsigned long n;
	int64_t added, removed;
	double need, load, offered_per_s;
	int64_t usable;
};

struct ltb_step {
	struct ltb_key key;
	unsigned long n[NR_COUNTS];
	unsigned waits[WAIT_BUCKETS]; /* of first sends */
	double in_flight_sum;	      /* over all sends */
	int64_t in_flight_max;
	struct ltb_row *versions, *reasons;
	struct ltb_orders orders;
	char rollout_time[TIME_SIZE], rollout[ROLLOUT_SIZE];
	UT_hash_handle hh;
};

struct ltb {
	struct ltb_step *steps;
	struct ltb_row *services, *accounts, *routes, *endpoints;
	size_t rows, used, unparsed;
};

struct ltb *ltb_create(void)
{
	return mem_new(sizeof(struct ltb));
}

static void free_rows(struct ltb_row **rows)
{
	struct ltb_row *r, *next;

	HASH_ITER(hh, *rows, r, next)
	{
		HASH_DEL(*rows, r);
		free_rows(&r->reasons);
		free(r->endpoints);
		free(r);
	}
}

void ltb_free(struct ltb *t)
{
	struct ltb_step *s, *next;

	HASH_ITER(hh, t->steps, s, next)
	{
		HASH_DEL(t->steps, s);
		free_rows(&s->versions);
		free_rows(&s->reasons);
		free(s);
	}
	free_rows(&t->services);
	free_rows(&t->accounts);
	free_rows(&t->routes);
	free_rows(&t->endpoints);
	free(t);
}

size_t ltb_unparsed(const struct ltb *t)
{
	return t->unparsed;
}

size_t ltb_rows(const struct ltb *t)
{
	return t->rows;
}

/* ---- Rows ---- */

static struct ltb_row *find_row(struct ltb_row *rows, const char *name)
{
	struct ltb_row *r;

	HASH_FIND_STR(rows, name, r);
	return r;
}

/* The row of the name; beyond `max` rows that of OTHER. */
/* The expanded uthash macros count as many statements. */
/* NOLINTNEXTLINE(readability-function-size) */
static struct ltb_row *get_row(struct ltb *t, struct ltb_row **rows,
			       const char *name, unsigned max)
{
	char key[NAME_SIZE];
	struct ltb_row *r;

	str_copy(key, name[0] ? name : "(none)", sizeof(key));
	r = find_row(*rows, key);
	if (!r && HASH_COUNT(*rows) >= max) {
		str_copy(key, OTHER, sizeof(key));
		r = find_row(*rows, key);
	}
	if (r)
		return r;
	r = mem_new(sizeof(*r));
	str_copy(r->name, key, sizeof(r->name));
	r->index = HASH_COUNT(*rows);
	r->service = -1;
	HASH_ADD_STR(*rows, name, r);
	t->rows++;
	return r;
}

static struct ltb_row *get_service(struct ltb *t, const char *name)
{
	return get_row(t, &t->services, name, LTB_SERVICES);
}

static struct ltb_row *get_account(struct ltb *t, struct json_object *o)
{
	return get_row(t, &t->accounts, jsn_str(o, "account", ""),
		       LTB_ACCOUNTS);
}

static struct ltb_row *get_route(struct ltb *t, struct json_object *o)
{
	return get_row(t, &t->routes, jsn_str(o, "route", ""), LTB_ROUTES);
}

static struct ltb_row *get_endpoint(struct ltb *t, struct json_object *o)
{
	return get_row(t, &t->endpoints, jsn_str(o, "endpoint", ""),
		       LTB_ENDPOINTS);
}

static void count_reason(struct ltb *t, struct ltb_row **reasons,
			 const char *reason)
{
	get_row(t, reasons, reason, LTB_REASONS)->total++;
}

/* NOLINTNEXTLINE(readability-function-size) */
static struct ltb_step *get_step(struct ltb *t, int64_t start, int service)
{
	struct ltb_key key = { start, service };
	struct ltb_step *s;

	HASH_FIND(hh, t->steps, &key, sizeof(key), s);
	if (!s && HASH_COUNT(t->steps) >= LTB_STEPS) {
		key.start = OTHER_START;
		key.service = (int)get_service(t, OTHER)->index;
		HASH_FIND(hh, t->steps, &key, sizeof(key), s);
	}
	if (s)
		return s;
	s = mem_new(sizeof(*s));
	s->key = key;
	HASH_ADD(hh, t->steps, key, sizeof(s->key), s);
	t->rows++;
	return s;
}

/* ---- Lines ---- */

/* Start of the step of a line; -1: the line has no readable time. */
static int64_t find_start(struct json_object *o)
{
	struct tm tm = { 0 };
	int64_t s;

	if (!strptime(jsn_str(o, "time", ""), "%Y-%m-%dT%H:%M:%S", &tm))
		return -1;
	s = timegm(&tm);
	return s < 0 ? -1 : s - s % LTB_STEP_S;
}

/* Index of the service that the line is about. */
static int find_service(struct ltb *t, struct json_object *o)
{
	const char *name = jsn_str(o, "service", "");
	struct ltb_row *r;

	if (name[0])
		return (int)get_service(t, name)->index;
	r = find_row(t->endpoints, jsn_str(o, "endpoint", ""));
	if (!r || r->service < 0)
		r = find_row(t->routes, jsn_str(o, "route", ""));
	if (r && r->service >= 0)
		return r->service;
	return (int)get_service(t, "")->index;
}

static unsigned wait_bucket(int64_t ms)
{
	unsigned octave = 0;

	if (ms < BUCKETS_PER_OCTAVE)
		return ms < 0 ? 0 : (unsigned)ms;
	while (ms >> octave >= 2 * BUCKETS_PER_OCTAVE)
		octave++;
	if (octave >= OCTAVES)
		return WAIT_BUCKETS - 1;
	return octave * BUCKETS_PER_OCTAVE + (unsigned)(ms >> octave);
}

/* The longest wait that is counted in the bucket. */
static int64_t wait_bound(unsigned bucket)
{
	unsigned octave;

	if (bucket < 2 * BUCKETS_PER_OCTAVE)
		return bucket;
	octave = (bucket >> OCTAVE_SHIFT) - 1;
	return (((int64_t)(bucket - octave * BUCKETS_PER_OCTAVE) + 1)
		<< octave) -
	       1;
}

/* Notes that the endpoint, of this version, got a request in the step. */
static void mark_endpoint(struct ltb *t, struct ltb_step *s,
			  struct json_object *o)
{
	const unsigned i = get_endpoint(t, o)->index;
	struct ltb_row *v = get_row(t, &s->versions, jsn_str(o, "version", ""),
				    LTB_VERSIONS);

	if (!v->endpoints)
		v->endpoints = mem_new(LTB_ENDPOINTS / CHAR_BIT + 1);
	v->endpoints[i / CHAR_BIT] |= (unsigned char)(1u << i % CHAR_BIT);
}

/* Adds to the rows of the step, the account and the route. */
static void count_all(struct ltb *t, struct ltb_step *s, struct json_object *o,
		      enum count c)
{
	s->n[c]++;
	get_account(t, o)->n[c]++;
	get_route(t, o)->n[c]++;
}

/* A number that can be added up: the absolute value is at most MAX_NUMBER. */
#define MAX_NUMBER 1000000000

static int64_t read_number(struct json_object *o, const char *name)
{
	const int64_t v = jsn_int(o, name, 0);

	return v > MAX_NUMBER ? MAX_NUMBER : v < -MAX_NUMBER ? -MAX_NUMBER : v;
}

static void add_send(struct ltb *t, struct ltb_step *s, struct json_object *o)
{
	const int64_t wait = jsn_int(o, "wait_ms", 0);
	const int64_t left = jsn_int(o, "left_ms", INT64_MAX);
	const int64_t in_flight =
		read_number(o, "running") + read_number(o, "peer_running");

	count_all(t, s, o, SENDS);
	if (jsn_int(o, "send", 1) <= 1) {
		count_all(t, s, o, SENT);
		s->waits[wait_bucket(wait)]++;
	}
	if (wait > left)
		count_all(t, s, o, HOPELESS);
	s->in_flight_sum += (double)in_flight;
	if (s->in_flight_max < in_flight)
		s->in_flight_max = in_flight;
	mark_endpoint(t, s, o);
	get_endpoint(t, o)->service = (int)s->key.service;
	get_route(t, o)->service = (int)s->key.service;
}

static void add_send_ended(struct ltb *t, struct ltb_step *s,
			   struct json_object *o)
{
	(void)t;
	s->n[DECLINED] += !strcmp(jsn_str(o, "outcome", ""), EDGE_WHY_REFUSED);
}

/* True if there is a bound (above 0) and `ms` exceeds it. */
static bool exceeds(int64_t ms, int64_t bound)
{
	return bound > 0 && ms > bound;
}

/* Agrees with losses.h on what is late. */
static void add_passed(struct ltb *t, struct ltb_step *s, struct json_object *o)
{
	const int64_t first = jsn_int(o, "first_ms", -1);
	const int64_t ms = first >= 0 ? first : jsn_int(o, "took_ms", 0);
	enum count c = ON_TIME;

	if (jsn_int(o, "status", 200) >= 400)
		c = ERRORS;
	else if (exceeds(ms, jsn_int(o, "objective_ms", 0)) ||
		 exceeds(jsn_int(o, "pause_ms", 0),
			 jsn_int(o, "pause_bound_ms", 0)))
		c = LATE;
	count_all(t, s, o, c);
}

/* These statuses state that the request has not run and never will. */
static bool is_refusal(int64_t status)
{
	return status == 408 || status == 421 || status == 429 || status == 503;
}

static void add_answer(struct ltb *t, struct ltb_step *s, struct json_object *o)
{
	const int64_t status = jsn_int(o, "status", 0);
	const int64_t runs = read_number(o, "runs");
	/* Earlier releases state only runs and refusals. */
	const int64_t sends =
		jsn_int(o, "sends", runs + read_number(o, "refusals"));
	char reason[NAME_SIZE];

	snprintf(reason, sizeof(reason), "%d %s", (int)status,
		 jsn_str(o, "why", ""));
	if (!sends)
		count_all(t, s, o, UNSENT);
	count_all(t, s, o,
		  is_refusal(status) ? REFUSED
		  : status >= 500    ? FAILED
				     : DENIED);
	count_reason(t, &s->reasons, reason);
	count_reason(t, &get_account(t, o)->reasons, reason);
	count_reason(t, &get_route(t, o)->reasons, reason);
}

/* A rejection also has an `answer` line, which counts the request. */
static void add_admission(struct ltb *t, struct ltb_step *s,
			  struct json_object *o)
{
	char reason[NAME_SIZE];

	snprintf(reason, sizeof(reason), "%s: %s", jsn_str(o, "event", ""),
		 jsn_str(o, "why", ""));
	count_reason(t, &s->reasons, reason);
}

static void add_order(struct ltb *t, struct ltb_step *s, struct json_object *o)
{
	const int64_t more =
		read_number(o, "number") - read_number(o, "before");
	const char *time = jsn_str(o, "time", "");
	const double need = jsn_dbl(o, "need", 0);
	struct ltb_orders *l = &s->orders;
	const int later = strcmp(time, l->time);

	(void)t;
	l->n++;
	*(more > 0 ? &l->added : &l->removed) += more > 0 ? more : -more;
	/* At the same time the greater need, for any order of the lines. */
	if (later < 0 || (!later && need <= l->need))
		return;
	str_copy(l->time, time, sizeof(l->time));
	l->need = need;
	l->load = jsn_dbl(o, "load", 0);
	l->usable = jsn_int(o, "usable", 0);
	l->offered_per_s = jsn_dbl(o, "offered_per_s", 0);
}

static void add_rollout_step(struct ltb *t, struct ltb_step *s,
			     struct json_object *o)
{
	const char *time = jsn_str(o, "time", "");
	const int later = strcmp(time, s->rollout_time);
	char text[ROLLOUT_SIZE];

	(void)t;
	snprintf(text, sizeof(text), "%s %s share=%.3g: %s",
		 jsn_str(o, "target", ""), jsn_str(o, "stage", ""),
		 jsn_dbl(o, "share", 0), jsn_str(o, "why", ""));
	if (later < 0 || (!later && strcmp(text, s->rollout) <= 0))
		return;
	str_copy(s->rollout_time, time, sizeof(s->rollout_time));
	str_copy(s->rollout, text, sizeof(s->rollout));
}

typedef void add_fn(struct ltb *t, struct ltb_step *s, struct json_object *o);

/* NULL: the event says nothing on load. */
static add_fn *find_event(const char *event)
{
	static const struct {
		const char *event;
		add_fn *add;
	} all[] = {
		{ "send", add_send },
		{ "send_ended", add_send_ended },
		{ "passed", add_passed },
		{ "answer", add_answer },
		{ "admission_wait", add_admission },
		{ "admission_reject", add_admission },
		{ "order", add_order },
		{ "rollout_step", add_rollout_step },
	};
	size_t i;

	for (i = 0; i < sizeof(all) / sizeof(all[0]); i++) {
		if (!strcmp(all[i].event, event))
			return all[i].add;
	}
	return NULL;
}

static void add_line(struct ltb *t, struct json_object *o)
{
	const char *event = jsn_str(o, "event", "");
	add_fn *add = find_event(event);
	int64_t start;

	if (!strcmp(event, "endpoint") && jsn_str(o, "service", "")[0])
		get_endpoint(t, o)->service = find_service(t, o);
	if (!add)
		return;
	start = find_start(o);
	if (start < 0) {
		t->unparsed++;
		return;
	}
	add(t, get_step(t, start, find_service(t, o)), o);
	t->used++;
}

void ltb_line(struct ltb *t, const char *line)
{
	const char *at = strchr(line, '{');
	JSN_AUTO *o = at ? jsn_parse(at, strlen(at)) : NULL;

	if (!o || !jsn_get(o, "event"))
		t->unparsed += *line && *line != '\n';
	else
		add_line(t, o);
}

/* ---- Report ---- */

static int by_name(struct ltb_row *a, struct ltb_row *b)
{
	return strcmp(a->name, b->name);
}

static int by_total(struct ltb_row *a, struct ltb_row *b)
{
	if (a->total != b->total)
		return a->total < b->total ? 1 : -1;
	return by_name(a, b);
}

static int by_start(struct ltb_step *a, struct ltb_step *b)
{
	return a->key.start == b->key.start  ? 0
	       : a->key.start < b->key.start ? -1
					     : 1;
}

/* The wait that the part `q` of the first sends did not exceed. */
static int64_t wait_quantile(const struct ltb_step *s, double q)
{
	const double rank = q * (double)s->n[SENT];
	unsigned long seen = 0;
	unsigned i;

	for (i = 0; i < WAIT_BUCKETS; i++) {
		seen += s->waits[i];
		if (seen && (double)seen >= rank)
			return wait_bound(i);
	}
	return 0;
}

static void write_time(const struct ltb_step *s, struct buf *out)
{
	const time_t at = (time_t)s->key.start;
	char text[TIME_SIZE];
	struct tm tm;

	if (s->key.start == OTHER_START || !gmtime_r(&at, &tm) ||
	    !strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%S", &tm))
		str_copy(text, "other times", sizeof(text));
	buf_fmt(out, "%-19s", text);
}

/* "VERSION:ENDPOINTS", for each version that got requests. */
/* NOLINTNEXTLINE(readability-function-size) */
static void write_versions(struct ltb_step *s, struct buf *out)
{
	struct ltb_row *v, *next;
	unsigned i, n;

	HASH_SORT(s->versions, by_name);
	HASH_ITER(hh, s->versions, v, next)
	{
		n = 0;
		for (i = 0; i <= LTB_ENDPOINTS; i++)
			n += v->endpoints[i / CHAR_BIT] >> i % CHAR_BIT & 1u;
		buf_fmt(out, "%s%s:%u", v == s->versions ? "  " : " ", v->name,
			n);
	}
	buf_str(out, "\n");
}

static void write_step(struct ltb_step *s, struct buf *out)
{
	const unsigned long *n = s->n;

	write_time(s, out);
	buf_fmt(out, " %7lu %6lu %7lu %6lu", n[SENT] + n[UNSENT], n[SENT],
		n[REFUSED], n[FAILED]);
	buf_fmt(out, " %6lu %8lu %8lu", n[SENDS], n[DECLINED], n[HOPELESS]);
	buf_fmt(out, " %8lld %8lld", (long long)wait_quantile(s, 0.5),
		(long long)wait_quantile(s, 0.9));
	buf_fmt(out, " %9.1f %5lld",
		n[SENDS] ? s->in_flight_sum / (double)n[SENDS] : 0.0,
		(long long)s->in_flight_max);
	buf_fmt(out, " %7lu %6lu %6lu", n[ON_TIME], n[LATE], n[ERRORS]);
	write_versions(s, out);
}

static void write_steps(struct ltb *t, int64_t service, struct buf *out)
{
	struct ltb_step *s, *next;

	buf_fmt(out,
		"%-19s %7s %6s %7s %6s %6s %8s %8s %8s %8s %9s %5s %7s "
		"%6s %6s  %s\n",
		"time", "arrived", "sent", "refused", "failed", "sends",
		"declined", "too_late", "wait_p50", "wait_p90", "in_flight",
		"max", "on_time", "late", "errors", "endpoints");
	HASH_ITER(hh, t->steps, s, next)
	{
		if (s->key.service == service)
			write_step(s, out);
	}
}

/* NOLINTNEXTLINE(readability-function-size) */
static void write_reasons(struct ltb *t, int64_t service, struct buf *out)
{
	struct ltb_step *s, *next;
	struct ltb_row *r, *next_row;
	bool header = false;

	HASH_ITER(hh, t->steps, s, next)
	{
		if (s->key.service != service)
			continue;
		HASH_SORT(s->reasons, by_total);
		HASH_ITER(hh, s->reasons, r, next_row)
		{
			if (!header)
				buf_fmt(out, "\n%-19s %7s  %s\n", "time",
					"count", "own answers, admission");
			header = true;
			write_time(s, out);
			buf_fmt(out, " %7lu  %s\n", r->total, r->name);
		}
	}
}

static void write_orders(struct ltb *t, int64_t service, struct buf *out)
{
	struct ltb_step *s, *next;
	bool header = false;

	HASH_ITER(hh, t->steps, s, next)
	{
		const struct ltb_orders *l = &s->orders;

		if (s->key.service != service || !l->n)
			continue;
		if (!header)
			buf_fmt(out, "\n%-19s %7s %7s %7s %7s %7s %7s %9s\n",
				"time", "orders", "added", "removed", "need",
				"load", "usable", "offered/s");
		header = true;
		write_time(s, out);
		buf_fmt(out, " %7lu %7lld %7lld %7.1f %7.1f %7lld %9.1f\n",
			l->n, (long long)l->added, (long long)l->removed,
			l->need, l->load, (long long)l->usable,
			l->offered_per_s);
	}
}

static void write_rollouts(struct ltb *t, int64_t service, struct buf *out)
{
	struct ltb_step *s, *next;
	bool header = false;

	HASH_ITER(hh, t->steps, s, next)
	{
		if (s->key.service != service || !s->rollout[0])
			continue;
		if (!header)
			buf_fmt(out, "\n%-19s %s\n", "time",
				"last step of a roll-out");
		header = true;
		write_time(s, out);
		buf_fmt(out, " %s\n", s->rollout);
	}
}

static bool has_steps(struct ltb *t, int64_t service)
{
	struct ltb_step *s, *next;

	HASH_ITER(hh, t->steps, s, next)
	{
		if (s->key.service == service)
			return true;
	}
	return false;
}

static void write_service(struct ltb *t, const struct ltb_row *service,
			  struct buf *out)
{
	if (!has_steps(t, service->index))
		return;
	buf_fmt(out, "service %s\n", service->name);
	write_steps(t, service->index, out);
	write_reasons(t, service->index, out);
	write_orders(t, service->index, out);
	write_rollouts(t, service->index, out);
	buf_str(out, "\n");
}

/* A table by account or route. */
/* NOLINTNEXTLINE(readability-function-size) */
static void write_parties(struct ltb_row **rows, const char *kind,
			  struct buf *out)
{
	struct ltb_row *r, *next, *w, *next_w;

	HASH_SORT(*rows, by_name);
	buf_fmt(out, "%-24s %7s %7s %7s %7s %7s %7s  %s\n", kind, "sent",
		"on_time", "late", "errors", "refused", "failed",
		"own answers by reason");
	HASH_ITER(hh, *rows, r, next)
	{
		buf_fmt(out, "%-24s %7lu %7lu %7lu %7lu %7lu %7lu", r->name,
			r->n[SENT], r->n[ON_TIME], r->n[LATE], r->n[ERRORS],
			r->n[REFUSED], r->n[FAILED]);
		HASH_SORT(r->reasons, by_total);
		HASH_ITER(hh, r->reasons, w, next_w)
		{
			buf_fmt(out, "%s %s: %lu", w == r->reasons ? " " : ";",
				w->name, w->total);
		}
		buf_str(out, "\n");
	}
}

/* NOLINTNEXTLINE(readability-function-size) */
size_t ltb_report(struct ltb *t, struct buf *out)
{
	struct ltb_row *r, *next;

	HASH_SORT(t->steps, by_start);
	HASH_SORT(t->services, by_name);
	HASH_ITER(hh, t->services, r, next)
	{
		write_service(t, r, out);
	}
	write_parties(&t->accounts, "account", out);
	buf_str(out, "\n");
	write_parties(&t->routes, "route", out);
	return t->used;
}
