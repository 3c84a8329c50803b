/*
 * marldock-entry: one entry instance. Settings: docs/SETTINGS.md.
 */
#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sysexits.h>

#include "base/clk.h"
#include "base/log.h"
#include "config/set.h"
#include "entry/entry.h"

const char *argp_program_version = "marldock-entry 0.1";

static const char doc[] =
	"Serves callers, routes their requests to endpoints and keeps copies "
	"for its peers.\vExit codes: 0 after a drain, 64 wrong usage, 66 "
	"settings cannot be read, 71 cannot listen. SIGTERM drains, SIGINT "
	"stops at once.";

static const struct argp_option options[] = {
	{ "settings", 's', "FILE", 0, "Settings of this process (needed)", 0 },
	{ "check", 'c', NULL, 0, "Only check the settings", 0 },
	{ 0 },
};

struct args {
	const char *settings;
	int check;
};

static error_t parse(int key, char *arg, struct argp_state *state)
{
	struct args *a = state->input;

	switch (key) {
	case 's':
		a->settings = arg;
		return 0;
	case 'c':
		a->check = 1;
		return 0;
	case ARGP_KEY_END:
		if (!a->settings)
			argp_error(state, "--settings FILE is needed");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

/* Signals are taken by this thread alone; the others have them blocked. */
static void serve_until_signal(struct entry *en, const sigset_t *set)
{
	const struct timespec slice = { 0, 100000000 };
	int sig;

	for (;;) {
		sig = sigtimedwait(set, NULL, &slice);
		if (sig == SIGINT)
			return;
		if (sig == SIGTERM)
			entry_drain(en);
		if (entry_drained(en))
			return;
	}
}

int main(int argc, char **argv)
{
	const struct argp argp = {
		options, parse, NULL, doc, NULL, NULL, NULL
	};
	struct args a = { 0 };
	struct err e = ERR_INIT;
	struct entry *en;
	struct set set;
	sigset_t sigs;

	argp_err_exit_status = EX_USAGE;
	argp_parse(&argp, argc, argv, 0, NULL, &a);
	if (set_load(a.settings, &set, &e)) {
		fprintf(stderr, "marldock-entry: %s\n", e.text);
		return EX_NOINPUT;
	}
	if (a.check)
		return 0;
	sigemptyset(&sigs);
	sigaddset(&sigs, SIGTERM);
	sigaddset(&sigs, SIGINT);
	pthread_sigmask(SIG_BLOCK, &sigs, NULL);
	log_open(set.log_level);
	en = entry_start(&set, &e);
	if (!en) {
		fprintf(stderr, "marldock-entry: %s\n", e.text);
		return EX_OSERR;
	}
	printf("ready http=%s peer=%s\n", entry_http_address(en),
	       entry_peer_address(en));
	fflush(stdout);
	serve_until_signal(en, &sigs);
	entry_stop(en);
	log_close();
	return 0;
}
