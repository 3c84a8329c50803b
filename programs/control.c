/*
 * marldock-control: the duties beside one entry instance.
 */
#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <sysexits.h>

#include "base/log.h"
#include "control/control.h"

const char *argp_program_version = "marldock-control 0.1";

static const char doc[] =
	"Watches the platform and, under leases, keeps views and placement; "
	"runs beside marldock-entry with the same settings.\vExit codes: 0 "
	"after SIGTERM or SIGINT, 64 wrong usage, 66 settings cannot be read.";

static const struct argp_option options[] = {
	{ "settings", 's', "FILE", 0, "Settings of the entry beside", 0 },
	{ 0 },
};

static error_t parse(int key, char *arg, struct argp_state *state)
{
	const char **settings = state->input;

	switch (key) {
	case 's':
		*settings = arg;
		return 0;
	case ARGP_KEY_END:
		if (!*settings)
			argp_error(state, "--settings FILE is needed");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

int main(int argc, char **argv)
{
	const struct argp argp = {
		options, parse, NULL, doc, NULL, NULL, NULL
	};
	const char *settings = NULL;
	struct err e = ERR_INIT;
	struct control *c;
	struct set set;
	sigset_t sigs;
	int sig;

	argp_err_exit_status = EX_USAGE;
	argp_parse(&argp, argc, argv, 0, NULL, &settings);
	if (set_load(settings, &set, &e)) {
		fprintf(stderr, "marldock-control: %s\n", e.text);
		return EX_NOINPUT;
	}
	sigemptyset(&sigs);
	sigaddset(&sigs, SIGTERM);
	sigaddset(&sigs, SIGINT);
	pthread_sigmask(SIG_BLOCK, &sigs, NULL);
	log_open(set.log_level);
	c = control_start(&set, &e);
	printf("ready\n");
	fflush(stdout);
	sigwait(&sigs, &sig);
	control_stop(c);
	log_close();
	return 0;
}
