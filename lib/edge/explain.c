#include "edge/explain.h"

#include <assert.h>
#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

#include "base/jsn.h"

/* Maximum number of context lines; further ones are ignored. */
#define MAX_CONTEXT 100000

struct log_line {
	struct json_object *o;
	const char *time, *instance, *event;
};

struct log_lines {
	struct log_line *all;
	size_t n;
};

struct explain {
	char *id;
	struct log_lines request_lines; /* with the request's id */
	struct log_lines continuations; /* of attempts that resume its stream */
	struct log_lines context;	/* of endpoints, store, configuration */
	size_t unparsed;
};

struct explain *explain_create(const char *request_id)
{
	struct explain *x = calloc(1, sizeof(*x));

	assert(x);
	x->id = mem_dup(request_id);
	return x;
}

static void free_lines(struct log_lines *l)
{
	size_t i;

	for (i = 0; i < l->n; i++)
		json_object_put(l->all[i].o);
	free(l->all);
}

void explain_free(struct explain *x)
{
	free_lines(&x->request_lines);
	free_lines(&x->continuations);
	free_lines(&x->context);
	free(x->id);
	free(x);
}

static void add_line(struct log_lines *l, struct json_object *o)
{
	l->all = realloc(l->all, (l->n + 1) * sizeof(*l->all));
	if (!l->all)
		abort();
	l->all[l->n++] = (struct log_line){
		.o = json_object_get(o),
		.time = jsn_str(o, "time", ""),
		.instance = jsn_str(o, "instance", ""),
		.event = jsn_str(o, "event", ""),
	};
}

/* Events that may explain how an entry handled a request. */
static bool is_context(const char *event)
{
	static const char *const events[] = {
		"endpoint",	 "endpoint_limit",     "endpoint_leaving",
		"endpoint_wait", "store_away",	       "store_back",
		"lease_lost",	 "store_history_lost", "stopping",
		"start",	 "config_in_force",
	};
	size_t i;

	for (i = 0; i < sizeof(events) / sizeof(events[0]); i++) {
		if (!strcmp(events[i], event))
			return true;
	}
	return false;
}

/*
 * True for the lines of an attempt that resumes the stream: the first one that
 * names it, and all later ones.
 */
static bool is_continuation(const struct explain *x, struct json_object *o)
{
	const char *id = jsn_str(o, "id", "");
	size_t i;

	if (!strcmp(jsn_str(o, "resumes", ""), x->id))
		return true;
	for (i = 0; *id && i < x->continuations.n; i++) {
		if (!strcmp(jsn_str(x->continuations.all[i].o, "id", ""), id))
			return true;
	}
	return false;
}

void explain_line(struct explain *x, const char *line)
{
	const char *at = strchr(line, '{');
	JSN_AUTO *o = at ? jsn_parse(at, strlen(at)) : NULL;

	if (!o || !jsn_get(o, "event")) {
		x->unparsed += *line && *line != '\n';
		return;
	}
	if (!strcmp(jsn_str(o, "id", ""), x->id))
		add_line(&x->request_lines, o);
	else if (is_continuation(x, o))
		add_line(&x->continuations, o);
	else if (x->context.n < MAX_CONTEXT &&
		 is_context(jsn_str(o, "event", "")))
		add_line(&x->context, o);
}

size_t explain_unparsed(const struct explain *x)
{
	return x->unparsed;
}

/* ---- Report ---- */

static int by_time(const void *a, const void *b)
{
	return strcmp(((const struct log_line *)a)->time,
		      ((const struct log_line *)b)->time);
}

static void write_line(struct buf *out, const struct log_line *l)
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

/* The attempts by which the caller continued the stream, with their ids. */
static void write_continuations(struct explain *x, struct buf *out)
{
	size_t i;

	if (!x->continuations.n)
		return;
	qsort(x->continuations.all, x->continuations.n,
	      sizeof(*x->continuations.all), by_time);
	buf_str(out, "continued by the caller:\n");
	for (i = 0; i < x->continuations.n; i++) {
		buf_fmt(out, "%s ",
			jsn_str(x->continuations.all[i].o, "id", ""));
		write_line(out, &x->continuations.all[i]);
	}
}

static const struct log_line *last_of(const struct log_lines *l,
				      const char *event)
{
	size_t i = l->n;

	while (i--) {
		if (!strcmp(l->all[i].event, event))
			return &l->all[i];
	}
	return NULL;
}

/* Last context line up to `time` for which `matches` returns true. */
static const struct log_line *
last_before(const struct explain *x, const char *time,
	    bool (*matches)(const struct log_line *, const char *what),
	    const char *what)
{
	const struct log_line *found = NULL;
	size_t i;

	for (i = 0; i < x->context.n; i++) {
		const struct log_line *l = &x->context.all[i];

		if (strcmp(l->time, time) <= 0 && matches(l, what))
			found = l;
	}
	return found;
}

/* `id`: of the endpoint. Also a statement in one of its answers. */
static bool is_endpoint_change(const struct log_line *l, const char *id)
{
	return !strncmp(l->event, "endpoint", strlen("endpoint")) &&
	       !strcmp(jsn_str(l->o, "endpoint", ""), id);
}

/* An endpoint limited its requests, or asked for a wait. */
static bool is_statement(const struct log_line *l, const char *instance)
{
	return (!strcmp(l->event, "endpoint_limit") ||
		!strcmp(l->event, "endpoint_wait")) &&
	       !strcmp(l->instance, instance);
}

static bool is_store_event(const struct log_line *l, const char *instance)
{
	return !strncmp(l->event, "store_", 6) &&
	       !strcmp(l->instance, instance);
}

static bool failed_send(const struct log_line *l)
{
	const char *outcome = jsn_str(l->o, "outcome", "");

	return !strcmp(l->event, "send_ended") && strcmp(outcome, "complete") &&
	       strcmp(outcome, "answered");
}

/* Writes how the send ended, and the last change of its endpoint before. */
static void write_endpoint_cause(const struct explain *x,
				 const struct log_line *send, struct buf *out)
{
	const char *id = jsn_str(send->o, "endpoint", "");
	const struct log_line *change =
		last_before(x, send->time, is_endpoint_change, id);

	buf_fmt(out, "cause: endpoint %s: %s\n", id,
		jsn_str(send->o, "outcome", ""));
	if (change)
		write_line(out, change);
}

static void write_cause(const struct explain *x, const struct log_line *end,
			struct buf *out)
{
	const int64_t status = jsn_int(end->o, "status", 0);
	const char *why = jsn_str(end->o, "why", "");
	const struct log_line *store, *statement, *admission;
	size_t i = x->request_lines.n;

	while (i--) {
		if (failed_send(&x->request_lines.all[i])) {
			write_endpoint_cause(x, &x->request_lines.all[i], out);
			return;
		}
	}
	buf_fmt(out, "cause: %s\n", *why ? why : "none: the answer was passed");
	store = last_before(x, end->time, is_store_event, end->instance);
	if (status == 503 && store)
		write_line(out, store);
	statement = last_before(x, end->time, is_statement, end->instance);
	if (!strcmp(why, EDGE_WHY_WITHHELD) && statement)
		write_line(out, statement);
	admission = last_of(&x->request_lines, "admission_reject");
	if ((!strcmp(why, EDGE_WHY_CONGESTED) ||
	     !strcmp(why, EDGE_WHY_NO_TIME)) &&
	    admission)
		write_line(out, admission);
}

bool explain_report(struct explain *x, struct buf *out)
{
	static const char *const ends[] = { "cut", "answer", "caller_gone",
					    "passed" };
	const struct log_line *end = NULL;
	size_t i;

	if (!x->request_lines.n)
		return false;
	qsort(x->request_lines.all, x->request_lines.n,
	      sizeof(*x->request_lines.all), by_time);
	if (x->context.n)
		qsort(x->context.all, x->context.n, sizeof(*x->context.all),
		      by_time);
	for (i = 0; i < x->request_lines.n; i++)
		write_line(out, &x->request_lines.all[i]);
	for (i = 0; i < sizeof(ends) / sizeof(ends[0]) && !end; i++)
		end = last_of(&x->request_lines, ends[i]);
	if (!end) {
		buf_str(out, "no end: the entry exited during the "
			     "request, or lines are missing\n");
	} else {
		buf_str(out, "deciding: ");
		write_line(out, end);
		write_cause(x, end, out);
	}
	write_continuations(x, out);
	return true;
}
