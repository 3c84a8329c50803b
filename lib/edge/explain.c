#include "edge/explain.h"

#include <assert.h>
#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

#include "base/jsn.h"

/* Lines on the fleet and the store that are kept for context. */
#define MAX_CONTEXT 100000

struct line {
	struct json_object *o;
	const char *time, *instance, *event;
};

struct lines {
	struct line *all;
	size_t n;
};

struct explain {
	char *id;
	struct lines own;     /* of the request */
	struct lines context; /* of endpoints, store, configuration */
	size_t unread;
};

struct explain *explain_create(const char *request_id)
{
	struct explain *x = calloc(1, sizeof(*x));

	assert(x);
	x->id = mem_dup(request_id);
	return x;
}

static void free_lines(struct lines *l)
{
	size_t i;

	for (i = 0; i < l->n; i++)
		json_object_put(l->all[i].o);
	free(l->all);
}

void explain_free(struct explain *x)
{
	free_lines(&x->own);
	free_lines(&x->context);
	free(x->id);
	free(x);
}

static void keep(struct lines *l, struct json_object *o)
{
	l->all = realloc(l->all, (l->n + 1) * sizeof(*l->all));
	if (!l->all)
		abort();
	l->all[l->n++] = (struct line){
		.o = json_object_get(o),
		.time = jsn_str(o, "time", ""),
		.instance = jsn_str(o, "instance", ""),
		.event = jsn_str(o, "event", ""),
	};
}

/* Events that say what an entry believed of the world. */
static bool is_context(const char *event)
{
	static const char *const events[] = {
		"endpoint",   "store_away",	    "store_back",
		"lease_lost", "store_history_lost", "stopping",
		"start",      "config_in_force",
	};
	size_t i;

	for (i = 0; i < sizeof(events) / sizeof(events[0]); i++) {
		if (!strcmp(events[i], event))
			return true;
	}
	return false;
}

void explain_line(struct explain *x, const char *line)
{
	const char *at = strchr(line, '{');
	JSN_AUTO *o = at ? jsn_parse(at, strlen(at)) : NULL;

	if (!o || !jsn_get(o, "event")) {
		x->unread += *line && *line != '\n';
		return;
	}
	if (!strcmp(jsn_str(o, "id", ""), x->id))
		keep(&x->own, o);
	else if (x->context.n < MAX_CONTEXT &&
		 is_context(jsn_str(o, "event", "")))
		keep(&x->context, o);
}

size_t explain_unread(const struct explain *x)
{
	return x->unread;
}

/* ---- Telling ---- */

static int order(const void *a, const void *b)
{
	return strcmp(((const struct line *)a)->time,
		      ((const struct line *)b)->time);
}

static void put_line(struct buf *out, const struct line *l)
{
	buf_fmt(out, "%s %s %s", l->time, l->instance, l->event);
	json_object_object_foreach(l->o, name, value)
	{
		if (!strcmp(name, "time") || !strcmp(name, "instance") ||
		    !strcmp(name, "event") || !strcmp(name, "level") ||
		    !strcmp(name, "id"))
			continue;
		buf_fmt(out, " %s=%s", name, json_object_get_string(value));
	}
	buf_str(out, "\n");
}

static const struct line *last_of(const struct lines *l, const char *event)
{
	size_t i = l->n;

	while (i--) {
		if (!strcmp(l->all[i].event, event))
			return &l->all[i];
	}
	return NULL;
}

/* The last line of context before `time` that `fits`. */
static const struct line *
before(const struct explain *x, const char *time,
       bool (*fits)(const struct line *, const char *what), const char *what)
{
	const struct line *found = NULL;
	size_t i;

	for (i = 0; i < x->context.n; i++) {
		const struct line *l = &x->context.all[i];

		if (strcmp(l->time, time) <= 0 && fits(l, what))
			found = l;
	}
	return found;
}

static bool on_endpoint(const struct line *l, const char *id)
{
	return !strcmp(l->event, "endpoint") &&
	       !strcmp(jsn_str(l->o, "endpoint", ""), id);
}

static bool on_store(const struct line *l, const char *instance)
{
	return !strncmp(l->event, "store_", 6) &&
	       !strcmp(l->instance, instance);
}

static bool failed_send(const struct line *l)
{
	const char *outcome = jsn_str(l->o, "outcome", "");

	return !strcmp(l->event, "send_ended") && strcmp(outcome, "complete") &&
	       strcmp(outcome, "answered");
}

/* What an endpoint did, and what was known of it. */
static void tell_endpoint(const struct explain *x, const struct line *send,
			  struct buf *out)
{
	const char *id = jsn_str(send->o, "endpoint", "");
	const struct line *known = before(x, send->time, on_endpoint, id);

	buf_fmt(out, "cause: endpoint %s: %s\n", id,
		jsn_str(send->o, "outcome", ""));
	if (known)
		put_line(out, known);
}

static void tell_cause(const struct explain *x, const struct line *end,
		       struct buf *out)
{
	const int64_t status = jsn_int(end->o, "status", 0);
	const char *why = jsn_str(end->o, "why", "");
	const struct line *store;
	size_t i = x->own.n;

	while (i--) {
		if (failed_send(&x->own.all[i])) {
			tell_endpoint(x, &x->own.all[i], out);
			return;
		}
	}
	buf_fmt(out, "cause: %s\n", *why ? why : "none: the answer was passed");
	store = before(x, end->time, on_store, end->instance);
	if (status == 503 && store)
		put_line(out, store);
}

bool explain_tell(struct explain *x, struct buf *out)
{
	static const char *const ends[] = { "cut", "answer", "caller_gone",
					    "passed" };
	const struct line *end = NULL;
	size_t i;

	if (!x->own.n)
		return false;
	qsort(x->own.all, x->own.n, sizeof(*x->own.all), order);
	if (x->context.n)
		qsort(x->context.all, x->context.n, sizeof(*x->context.all),
		      order);
	for (i = 0; i < x->own.n; i++)
		put_line(out, &x->own.all[i]);
	for (i = 0; i < sizeof(ends) / sizeof(ends[0]) && !end; i++)
		end = last_of(&x->own, ends[i]);
	if (!end) {
		buf_str(out, "no end: the entry ended while it had the "
			     "request, or lines are missing\n");
		return true;
	}
	buf_str(out, "deciding: ");
	put_line(out, end);
	tell_cause(x, end, out);
	return true;
}
