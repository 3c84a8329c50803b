#include "edge/losses.h"

#include <assert.h>
#include <json-c/json.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/hsh.h"
#include "base/jsn.h"
#include "base/tab.h"

/* Size of buffers for ids, names and reasons; longer ones are truncated. */
#define NAME_SIZE 80

/* Length of the time of a line up to seconds, "YYYY-MM-DDTHH:MM:SS". */
#define SECOND_LEN 19

enum outcome {
	UNFINISHED, /* sent, without a line on its end */
	SERVED,
	LATE,
	REFUSED,
	FAILED,
	DENIED, /* for a fault of the request itself */
	CUT,
	ABANDONED, /* the caller closed the connection */
	NR_OUTCOMES,
};

static const char *const outcome_names[NR_OUTCOMES] = {
	"ended with its entry",
	"served",
	"late",
	"refused",
	"failed",
	"denied",
	"cut",
	"left by caller",
};

/* A request: one attempt of a caller. */
struct loss_attempt {
	char id[NAME_SIZE];
	char route[NAME_SIZE];
	char endpoint[NAME_SIZE];    /* of its last send */
	char second[SECOND_LEN + 1]; /* of its last line, see SECOND_LEN */
	char why[NAME_SIZE];
	enum outcome outcome;
	UT_hash_handle hh;
};

/* Counts of requests by outcome, under a route, reason, endpoint or second. */
struct row {
	char name[3 * NAME_SIZE];
	unsigned long n[NR_OUTCOMES];
	UT_hash_handle hh;
};

struct losses {
	struct loss_attempt *attempts;
	size_t unparsed;
};

struct losses *losses_create(void)
{
	struct losses *l = calloc(1, sizeof(*l));

	assert(l);
	return l;
}

static void free_rows(struct row **rows)
{
	struct row *r, *next;

	HASH_ITER(hh, *rows, r, next)
	{
		HASH_DEL(*rows, r);
		free(r);
	}
}

void losses_free(struct losses *l)
{
	struct loss_attempt *a, *next;

	HASH_ITER(hh, l->attempts, a, next)
	{
		HASH_DEL(l->attempts, a);
		free(a);
	}
	free(l);
}

size_t losses_unparsed(const struct losses *l)
{
	return l->unparsed;
}

/* ---- Lines ---- */

/* The expanded uthash macros count as many statements. */
/* NOLINTNEXTLINE(readability-function-size) */
static struct loss_attempt *get_attempt(struct losses *l, const char *id)
{
	struct loss_attempt *a;
	char key[NAME_SIZE];

	str_copy(key, id, sizeof(key));
	HASH_FIND_STR(l->attempts, key, a);
	if (a)
		return a;
	a = calloc(1, sizeof(*a));
	assert(a);
	str_copy(a->id, key, sizeof(a->id));
	HASH_ADD_STR(l->attempts, id, a);
	return a;
}

/* True if there is a bound (above 0) and `ms` exceeds it. */
static bool exceeds(int64_t ms, int64_t bound)
{
	return bound > 0 && ms > bound;
}

static enum outcome classify_passed(struct json_object *o)
{
	const int64_t first = jsn_int(o, "first_ms", -1);
	const int64_t took = jsn_int(o, "took_ms", 0);

	if (jsn_int(o, "status", 200) >= 400)
		return FAILED;
	if (exceeds(first >= 0 ? first : took, jsn_int(o, "objective_ms", 0)))
		return LATE;
	if (exceeds(jsn_int(o, "pause_ms", 0), jsn_int(o, "pause_bound_ms", 0)))
		return LATE;
	return SERVED;
}

static enum outcome classify_answer(int64_t status)
{
	if (status == 503 || status == 429)
		return REFUSED;
	return status >= 500 ? FAILED : DENIED;
}

static const char *late_reason(struct json_object *o)
{
	const int64_t first = jsn_int(o, "first_ms", -1);
	const int64_t bound = jsn_int(o, "objective_ms", 0);

	if (exceeds(first >= 0 ? first : jsn_int(o, "took_ms", 0), bound))
		return first >= 0 ? "first event" : "answer";
	return "pause";
}

/* True if the line states the end of a request: sets its outcome and reason. */
static bool parse_end(struct json_object *o, const char *event,
		      enum outcome *out, const char **why)
{
	*why = jsn_str(o, "why", "");
	if (!strcmp(event, "passed")) {
		*out = classify_passed(o);
		if (*out == LATE)
			*why = late_reason(o);
		else if (*out == FAILED)
			*why = "error of the endpoint";
	} else if (!strcmp(event, "answer")) {
		*out = classify_answer(jsn_int(o, "status", 0));
	} else if (!strcmp(event, "cut")) {
		*out = CUT;
	} else if (!strcmp(event, "caller_gone")) {
		*out = ABANDONED;
	} else {
		return false;
	}
	return true;
}

static void add_line(struct losses *l, struct json_object *o, const char *id)
{
	const char *event = jsn_str(o, "event", "");
	struct loss_attempt *a;
	enum outcome outcome;
	const char *why;
	const bool end = parse_end(o, event, &outcome, &why);

	if (!end && strcmp(event, "send"))
		return;
	a = get_attempt(l, id);
	str_copy(a->second, jsn_str(o, "time", ""), sizeof(a->second));
	if (jsn_str(o, "route", "")[0])
		str_copy(a->route, jsn_str(o, "route", ""), sizeof(a->route));
	if (end) {
		a->outcome = outcome;
		str_copy(a->why, why, sizeof(a->why));
	} else {
		str_copy(a->endpoint, jsn_str(o, "endpoint", ""),
			 sizeof(a->endpoint));
	}
}

void losses_line(struct losses *l, const char *line)
{
	const char *at = strchr(line, '{');
	JSN_AUTO *o = at ? jsn_parse(at, strlen(at)) : NULL;
	const char *id = jsn_str(o, "id", "");

	if (!o || !jsn_get(o, "event"))
		l->unparsed += *line && *line != '\n';
	else if (*id)
		add_line(l, o, id);
}

/* ---- Tables ---- */

/* NOLINTNEXTLINE(readability-function-size) */
static struct row *get_row(struct row **rows, const char *name)
{
	struct row *r;

	HASH_FIND_STR(*rows, name, r);
	if (r)
		return r;
	r = calloc(1, sizeof(*r));
	assert(r);
	str_copy(r->name, name, sizeof(r->name));
	HASH_ADD_STR(*rows, name, r);
	return r;
}

/* Invalid requests and requests abandoned by their caller are no losses. */
static bool is_loss(enum outcome o)
{
	return o != SERVED && o != DENIED && o != ABANDONED;
}

static unsigned long lost(const struct row *r)
{
	unsigned long n = 0;
	int o;

	for (o = 0; o < NR_OUTCOMES; o++)
		n += is_loss((enum outcome)o) ? r->n[o] : 0;
	return n;
}

static unsigned long total(const struct row *r)
{
	unsigned long n = 0;
	int o;

	for (o = 0; o < NR_OUTCOMES; o++)
		n += r->n[o];
	return n;
}

static int by_name(struct row *a, struct row *b)
{
	return strcmp(a->name, b->name);
}

static int by_lost(struct row *a, struct row *b)
{
	const unsigned long x = lost(a), y = lost(b);

	return x == y ? by_name(a, b) : x < y ? 1 : -1;
}

/* NOLINTNEXTLINE(readability-function-size) */
static void write_routes(struct row **routes, struct buf *out)
{
	static const enum outcome shown[] = { SERVED, LATE,	REFUSED,
					      FAILED, CUT,	UNFINISHED,
					      DENIED, ABANDONED };
	struct row *r, *next;
	size_t i;

	HASH_SORT(*routes, by_name);
	buf_fmt(out, "%-24s %9s", "route", "requests");
	for (i = 0; i < sizeof(shown) / sizeof(shown[0]); i++)
		buf_fmt(out, "  %s", outcome_names[shown[i]]);
	buf_str(out, "\n");
	HASH_ITER(hh, *routes, r, next)
	{
		buf_fmt(out, "%-24s %9lu", r->name, total(r));
		for (i = 0; i < sizeof(shown) / sizeof(shown[0]); i++)
			buf_fmt(out, "  %*lu",
				(int)strlen(outcome_names[shown[i]]),
				r->n[shown[i]]);
		buf_str(out, "\n");
	}
}

/*
 * The endpoint with most of the losses for this reason; NULL: none.
 * `endpoints`: rows named "REASON\tENDPOINT".
 */
static const struct row *worst_endpoint(struct row *endpoints,
					const char *reason)
{
	const size_t len = strlen(reason);
	const struct row *best = NULL;
	struct row *r, *next;

	HASH_ITER(hh, endpoints, r, next)
	{
		if (strncmp(r->name, reason, len) || r->name[len] != '\t')
			continue;
		if (!best || lost(r) > lost(best))
			best = r;
	}
	return best;
}

/* NOLINTNEXTLINE(readability-function-size) */
static void write_reasons(struct row **reasons, struct row *endpoints,
			  struct buf *out)
{
	struct row *r, *next;

	HASH_SORT(*reasons, by_lost);
	buf_fmt(out, "\n%9s  %-60s most at\n", "lost", "reason");
	HASH_ITER(hh, *reasons, r, next)
	{
		const struct row *at = worst_endpoint(endpoints, r->name);

		buf_fmt(out, "%9lu  %-60s", lost(r), r->name);
		if (at)
			buf_fmt(out, " %s (%lu)", strchr(at->name, '\t') + 1,
				lost(at));
		buf_str(out, "\n");
	}
}

/* NOLINTNEXTLINE(readability-function-size) */
static void write_seconds(struct row **seconds, struct buf *out)
{
	struct row *r, *next;
	int shown = 0;

	HASH_SORT(*seconds, by_lost);
	buf_fmt(out, "\n%9s  of %-9s second\n", "lost", "requests");
	HASH_ITER(hh, *seconds, r, next)
	{
		if (shown++ == LOSSES_SECONDS || !lost(r))
			return;
		buf_fmt(out, "%9lu  of %-9lu %s\n", lost(r), total(r), r->name);
	}
}

static void count(const struct loss_attempt *a, struct row **routes,
		  struct row **reasons, struct row **endpoints,
		  struct row **seconds)
{
	char reason[2 * NAME_SIZE], at[3 * NAME_SIZE];

	get_row(routes, a->route[0] ? a->route : "(none)")->n[a->outcome]++;
	get_row(seconds, a->second)->n[a->outcome]++;
	if (!is_loss(a->outcome))
		return;
	snprintf(reason, sizeof(reason), "%s%s%s", outcome_names[a->outcome],
		 a->why[0] ? ": " : "", a->why);
	get_row(reasons, reason)->n[a->outcome]++;
	if (!a->endpoint[0])
		return;
	snprintf(at, sizeof(at), "%s\t%s", reason, a->endpoint);
	get_row(endpoints, at)->n[a->outcome]++;
}

size_t losses_report(struct losses *l, struct buf *out)
{
	struct row *routes = NULL, *reasons = NULL, *endpoints = NULL;
	struct row *seconds = NULL;
	struct loss_attempt *a, *next;

	HASH_ITER(hh, l->attempts, a, next)
	{
		count(a, &routes, &reasons, &endpoints, &seconds);
	}
	write_routes(&routes, out);
	write_reasons(&reasons, endpoints, out);
	write_seconds(&seconds, out);
	free_rows(&routes);
	free_rows(&reasons);
	free_rows(&endpoints);
	free_rows(&seconds);
	return HASH_COUNT(l->attempts);
}
