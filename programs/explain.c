/* marldock-explain: from a request's id to the cause of its answer. */
#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "edge/explain.h"

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

static void read_lines(struct explain *x, FILE *f)
{
	static char line[MAX_LINE];

	while (fgets(line, sizeof(line), f))
		explain_line(x, line);
}

static int read_files(struct explain *x, const struct options *o)
{
	int i;

	if (!o->nr_files)
		read_lines(x, stdin);
	for (i = 0; i < o->nr_files; i++) {
		FILE *f = fopen(o->files[i], "r");

		if (!f) {
			fprintf(stderr,
				"marldock-explain: %s: cannot be read\n",
				o->files[i]);
			return -1;
		}
		read_lines(x, f);
		fclose(f);
	}
	return 0;
}

int main(int argc, char **argv)
{
	static const struct argp argp = {
		NULL,
		parse,
		"ID [FILE...]",
		"Puts the log lines of all entries on a request in order and "
		"names the deciding one. Without files: standard input.",
		NULL,
		NULL,
		NULL,
	};
	struct options o = { NULL, NULL, 0 };
	BUF_AUTO out = BUF_INIT;
	struct explain *x;
	bool found;

	argp_parse(&argp, argc, argv, 0, NULL, &o);
	x = explain_create(o.id);
	if (read_files(x, &o)) {
		explain_free(x);
		return 2;
	}
	found = explain_tell(x, &out);
	if (found)
		fputs(out.data, stdout);
	else
		fprintf(stderr, "marldock-explain: no line on %s\n", o.id);
	if (explain_unread(x))
		fprintf(stderr, "marldock-explain: %zu lines not readable\n",
			explain_unread(x));
	explain_free(x);
	return found ? 0 : 1;
}
