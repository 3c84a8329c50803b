/* marldock-explain: from a request's id to the cause of its answer; and what
 * callers lost in all, by reason; and load and capacity over time. */
#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "edge/explain.h"
#include "edge/loadtab.h"
#include "edge/losses.h"

/* A log line is below 2 KB; longer ones are no lines of ours. */
#define MAX_LINE 65536

struct options {
	const char *id;
	char **files;
	int nr_files;
};

static error_t parse(int key, char *arg, struct argp_state *state)
{
	struct options *o = state->input;

	switch (key) {
	case ARGP_KEY_ARG:
		if (o->id)
			return ARGP_ERR_UNKNOWN;
		o->id = arg;
		return 0;
	case ARGP_KEY_ARGS:
		o->files = state->argv + state->next;
		o->nr_files = state->argc - state->next;
		return 0;
	case ARGP_KEY_NO_ARGS:
		argp_error(state, "a request's id is needed");
		return EINVAL;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

/* Where lines go: to one request's story, or to the table. */
struct sink {
	void (*line)(void *to, const char *line);
	void *to;
};

static void to_explain(void *to, const char *line)
{
	explain_line(to, line);
}

static void to_losses(void *to, const char *line)
{
	losses_line(to, line);
}

static void to_load(void *to, const char *line)
{
	ltb_line(to, line);
}

static void read_lines(const struct sink *s, FILE *f)
{
	static char line[MAX_LINE];

	while (fgets(line, sizeof(line), f))
		s->line(s->to, line);
}

static int read_files(const struct sink *s, const struct options *o)
{
	int i;

	if (!o->nr_files)
		read_lines(s, stdin);
	for (i = 0; i < o->nr_files; i++) {
		FILE *f = fopen(o->files[i], "r");

		if (!f) {
			fprintf(stderr,
				"marldock-explain: %s: cannot be read\n",
				o->files[i]);
			return -1;
		}
		read_lines(s, f);
		fclose(f);
	}
	return 0;
}

static void say_unread(size_t n)
{
	if (n)
		fprintf(stderr, "marldock-explain: %zu lines not readable\n",
			n);
}

static int tell_losses(const struct options *o)
{
	struct losses *l = losses_create();
	const struct sink s = { to_losses, l };
	BUF_AUTO out = BUF_INIT;
	size_t n;

	if (read_files(&s, o)) {
		losses_free(l);
		return 2;
	}
	n = losses_report(l, &out);
	if (n)
		fputs(out.data, stdout);
	else
		fprintf(stderr, "marldock-explain: no line on a request\n");
	say_unread(losses_unparsed(l));
	losses_free(l);
	return n ? 0 : 1;
}

static int tell_load(const struct options *o)
{
	struct ltb *t = ltb_create();
	const struct sink s = { to_load, t };
	BUF_AUTO out = BUF_INIT;
	size_t n;

	if (read_files(&s, o)) {
		ltb_free(t);
		return 2;
	}
	n = ltb_report(t, &out);
	if (n)
		fputs(out.data, stdout);
	else
		fprintf(stderr, "marldock-explain: no line on load\n");
	say_unread(ltb_unparsed(t));
	ltb_free(t);
	return n ? 0 : 1;
}

static int tell_request(const struct options *o)
{
	struct explain *x = explain_create(o->id);
	const struct sink s = { to_explain, x };
	BUF_AUTO out = BUF_INIT;
	bool found;

	if (read_files(&s, o)) {
		explain_free(x);
		return 2;
	}
	found = explain_report(x, &out);
	if (found)
		fputs(out.data, stdout);
	else
		fprintf(stderr, "marldock-explain: no line on %s\n", o->id);
	say_unread(explain_unparsed(x));
	explain_free(x);
	return found ? 0 : 1;
}

int main(int argc, char **argv)
{
	static const struct argp argp = {
		NULL,
		parse,
		"ID [FILE...]\nlosses [FILE...]\nload [FILE...]",
		"Puts the log lines of all entries on a request in order and "
		"names the deciding one; or adds up what callers lost, by "
		"route, reason and second; or load, waits, answers and orders "
		"of each service in steps of two seconds. Without files: "
		"standard input.",
		NULL,
		NULL,
		NULL,
	};
	struct options o = { NULL, NULL, 0 };

	argp_parse(&argp, argc, argv, 0, NULL, &o);
	if (!strcmp(o.id, "losses"))
		return tell_losses(&o);
	if (!strcmp(o.id, "load"))
		return tell_load(&o);
	return tell_request(&o);
}
