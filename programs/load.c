/*
 * marldock-load: open-loop load that behaves as callers do, and checks every
 * answer: whole, once, its own, and never put together from two runs.
 *
 * The check of content relies on the tokens of the stand-in engine
 * (docs/INTERFACES.md, "checkable tokens"); against other engines use
 * --no-content, which still checks offsets and ends.
 */
#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sysexits.h>

#include "load_internal.h"

const char *argp_program_version = "marldock-load 0.1";

static const char doc[] =
	"Sends a seeded workload for a while and reports.\vExit codes: 0 all "
	"answers whole and none doubled, 1 some were not, 64 wrong usage, 66 "
	"workload cannot be read.";

static const struct argp_option options[] = {
	{ "workload", 'w', "FILE", 0, "Accounts and their requests", 0 },
	{ "entry", 'e', "ADDRESS", 0, "An entry to ask first (repeat)", 0 },
	{ "seconds", 't', "N", 0, "How long (10)", 0 },
	{ "seed", 's', "N", 0, "Seed (1)", 0 },
	{ "scale", 'x', "F", 0, "Multiplies all rates (1.0)", 0 },
	{ "surge", 'u', "ACCOUNT:F", 0, "Multiplies one account's rate", 0 },
	{ "runs", 'r', "ADDRESS", 0, "Plain stand-in to ask for runs (repeat)",
	  0 },
	{ "report", 'o', "FILE", 0, "JSON report", 0 },
	{ "verbose", 'v', NULL, 0, "Print each answer that is not whole", 0 },
	{ "no-content", 'n', NULL, 0, "Do not check the tokens' content", 0 },
	{ 0 },
};

/* ---- Options and workload ---- */

static error_t parse(int key, char *arg, struct argp_state *state)
{
	struct load *l = state->input;

	switch (key) {
	case 'w':
		l->workload = arg;
		return 0;
	case 'e':
		if (l->nr_entries < MAX_ADDRESSES)
			str_copy(l->entries[l->nr_entries++], arg,
				 SET_ADDR_MAX);
		return 0;
	case 'r':
		if (l->nr_runs < MAX_ADDRESSES)
			str_copy(l->runs[l->nr_runs++], arg, SET_ADDR_MAX);
		return 0;
	case 't':
		l->seconds = strtol(arg, NULL, 10);
		return 0;
	case 's':
		l->seed = strtoull(arg, NULL, 10);
		return 0;
	case 'x':
		l->scale = strtod(arg, NULL);
		return 0;
	case 'u':
		l->surge = arg;
		return 0;
	case 'o':
		l->report = arg;
		return 0;
	case 'v':
		l->verbose = true;
		return 0;
	case 'n':
		l->check_content = false;
		return 0;
	case ARGP_KEY_END:
		if (!l->workload || !l->nr_entries)
			argp_error(state, "--workload and --entry are needed");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

#define STR(m)                                                          \
	.name = #m, .type = JSN_STR, .at = offsetof(struct account, m), \
	.size = sizeof(((struct account *)0)->m)
#define NUM(m, lo, hi)                                                  \
	.name = #m, .type = JSN_INT, .at = offsetof(struct account, m), \
	.min = lo, .max = hi
#define DBL(m, hi)                                                      \
	.name = #m, .type = JSN_DBL, .at = offsetof(struct account, m), \
	.min = 0, .max = hi

static const struct jsn_field account_fields[] = {
	{ STR(name) },
	{ STR(key) },
	{ STR(model) },
	{ DBL(rate, 100000) },
	{ NUM(prompt_min, 32, 1000000) },
	{ NUM(prompt_max, 32, 1000000) },
	{ NUM(answer_min, 1, 100000) },
	{ NUM(answer_max, 1, 100000) },
	{ NUM(shared, 0, 1000000), .optional = true },
	{ DBL(stream, 1), .optional = true },
	{ DBL(replay, 1), .optional = true },
	{ STR(plain), .optional = true },
	{ STR(plain_path), .optional = true },
	{ DBL(plain_share, 1), .optional = true },
	JSN_END,
};

static const struct jsn_field load_fields[] = {
	{ .name = "accounts",
	  .type = JSN_LIST,
	  .at = offsetof(struct load, accounts),
	  .min = 1,
	  .max = MAX_ACCOUNTS,
	  .fields = account_fields,
	  .stride = sizeof(struct account),
	  .count_at = offsetof(struct load, nr_accounts) },
	JSN_END,
};

static int read_workload(struct load *l, struct err *e)
{
	MEM_AUTO char *text = set_read_file(l->workload, 1 << 20, e);
	size_t i;

	for (i = 0; i < MAX_ACCOUNTS; i++)
		l->accounts[i].stream = 0.8;
	if (!text || jsn_read(l->workload, text, load_fields, l, e))
		return -1;
	for (i = 0; i < l->nr_accounts; i++) {
		struct account *a = &l->accounts[i];
		const size_t n = strlen(a->name);

		a->rate *= l->scale;
		if (l->surge && !strncmp(l->surge, a->name, n) &&
		    l->surge[n] == ':')
			a->rate *= strtod(l->surge + n + 1, NULL);
		a->first.ms = mem_new(MAX_SAMPLES * sizeof(float));
		a->between.ms = mem_new(MAX_SAMPLES * sizeof(float));
	}
	return 0;
}

/* ---- The open loop ---- */

static void start_request(struct load *l, size_t index, struct rnd *rnd)
{
	struct request *q;
	pthread_attr_t attr;
	pthread_t t;

	if (atomic_load(&l->open) >= MAX_OPEN) {
		l->left_out++;
		return;
	}
	q = mem_new(sizeof(*q));
	q->l = l;
	q->a = &l->accounts[index];
	q->index = index;
	q->a->sent++;
	rnd_seed(&q->rnd, rnd_next(rnd));
	snprintf(q->nonce, sizeof(q->nonce), "%016llx",
		 (unsigned long long)rnd_next(&q->rnd));
	q->plain = *q->a->plain && rnd_unit(&q->rnd) < q->a->plain_share;
	q->streamed = !q->plain && rnd_unit(&q->rnd) < q->a->stream;
	atomic_fetch_add(&l->open, 1);
	pthread_attr_init(&attr);
	pthread_attr_setstacksize(&attr, 256 * 1024);
	pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	if (pthread_create(&t, &attr, load_run_request, q))
		abort();
	pthread_attr_destroy(&attr);
}

static void run_loop(struct load *l)
{
	const int64_t start = clk_us(clk_real());
	double next[MAX_ACCOUNTS] = { 0 };
	struct rnd rnd;
	size_t i;

	rnd_seed(&rnd, l->seed);
	for (i = 0; i < l->nr_accounts; i++)
		next[i] = rnd_exp(&rnd, 1.0 / (l->accounts[i].rate + 1e-9));
	for (;;) {
		const double now = (double)(clk_us(clk_real()) - start) / 1e6;

		if (now >= (double)l->seconds)
			break;
		for (i = 0; i < l->nr_accounts; i++) {
			while (next[i] <= now) {
				start_request(l, i, &rnd);
				next[i] += rnd_exp(
					&rnd,
					1.0 / (l->accounts[i].rate + 1e-9));
			}
		}
		clk_sleep_ms(1);
	}
	while (atomic_load(&l->open) > 0)
		clk_sleep_ms(5);
}

int main(int argc, char **argv)
{
	const struct argp argp = {
		options, parse, NULL, doc, NULL, NULL, NULL
	};
	struct load *l = mem_new(sizeof(*l));
	struct err e = ERR_INIT;

	signal(SIGPIPE, SIG_IGN);
	l->seconds = 10;
	l->seed = 1;
	l->scale = 1.0;
	l->check_content = true;
	argp_err_exit_status = EX_USAGE;
	argp_parse(&argp, argc, argv, 0, NULL, l);
	if (read_workload(l, &e)) {
		fprintf(stderr, "marldock-load: %s\n", e.text);
		return EX_NOINPUT;
	}
	l->hcl = hcl_create();
	pthread_mutex_init(&l->lock, NULL);
	run_loop(l);
	load_compare_runs(l);
	load_report(l);
	return l->doubled || l->lost || l->false_not_run ? 1 : 0;
}
