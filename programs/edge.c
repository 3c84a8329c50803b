/* marldock-edge: an entry on the platform. */
#include <argp.h>
#include <malloc.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clk.h"
#include "base/jlog.h"
#include "edge/conf.h"
#include "edge/edge.h"
#include "pf_wire.h"

struct options {
	const char *settings;
	bool check;
	enum jlog_level level;
};

static const struct argp_option option_list[] = {
	{ "settings", 's', "FILE", 0,
	  "settings file (default: $" PF_SETTINGS_VARIABLE
	  ", then " PF_SETTINGS_PATH ")",
	  0 },
	{ "check-settings", 'c', NULL, 0, "check the settings and exit", 0 },
	{ "log-level", 'l', "LEVEL", 0, "error, warn, info (default) or debug",
	  0 },
	{ 0 },
};

static error_t parse(int key, char *arg, struct argp_state *state)
{
	static const char *const levels[] = { "error", "warn", "info",
					      "debug" };
	struct options *o = state->input;
	size_t i;

	switch (key) {
	case 's':
		o->settings = arg;
		return 0;
	case 'c':
		o->check = true;
		return 0;
	case 'l':
		for (i = 0; i < 4; i++) {
			if (!strcmp(arg, levels[i])) {
				o->level = (enum jlog_level)i;
				return 0;
			}
		}
		argp_error(state, "unknown log level '%s'", arg);
		return EINVAL;
	case ARGP_KEY_ARG:
		argp_error(state, "unexpected argument '%s'", arg);
		return EINVAL;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

/*
 * Large blocks are mapped each on its own, so that their memory goes back to the
 * system when they are freed. The C library would raise this size, and keep them,
 * after the first large block was freed.
 */
#define MAP_FROM_BYTES 65536
#define TRIM_FROM_BYTES 262144

static void set_up_allocator(void)
{
	mallopt(M_MMAP_THRESHOLD, MAP_FROM_BYTES);
	mallopt(M_TRIM_THRESHOLD, TRIM_FROM_BYTES);
}

int main(int argc, char **argv)
{
	static const struct argp argp = {
		option_list,
		parse,
		NULL,
		"An entry of marldock: takes callers' requests to endpoints "
		"and looks after usage and scaling.",
		NULL,
		NULL,
		NULL,
	};
	const char *from_env = getenv(PF_SETTINGS_VARIABLE);
	struct options o = {
		.settings = from_env ? from_env : PF_SETTINGS_PATH,
		.level = JLOG_INFO,
	};
	struct err e = ERR_INIT;
	struct conf conf;

	set_up_allocator();
	argp_parse(&argp, argc, argv, 0, NULL, &o);
	signal(SIGPIPE, SIG_IGN);
	if (conf_load(o.settings, &conf, &e)) {
		fprintf(stderr, "marldock-edge: %s\n", e.text);
		return 2;
	}
	if (o.check) {
		printf("%s: settings are right\n", o.settings);
		return 0;
	}
	if (edge_run(o.settings, &conf, pf_wire(), clk_real(), o.level, &e)) {
		fprintf(stderr, "marldock-edge: %s\n", e.text);
		return 1;
	}
	return 0;
}
