/*
 * The report of a load run.
 */
#include <stdio.h>
#include <stdlib.h>

#include "load_internal.h"

/* ---- Comparing with what the plain services saw ---- */

static void add_runs(struct load *l, struct json_object *sum)
{
	size_t i;

	for (i = 0; i < l->nr_runs; i++) {
		HCL_REPLY_AUTO r = HCL_REPLY_INIT;
		struct err e = ERR_INIT;
		JSN_AUTO *o = NULL;

		if (hcl_json(l->hcl, "GET", l->runs[i], "/standin/runs", NULL,
			     3000, &r, &e)) {
			fprintf(stderr, "load: no runs from %s: %s\n",
				l->runs[i], e.text);
			continue;
		}
		o = jsn_parse(buf_cstr(&r.body), r.body.len);
		json_object_object_foreach(o, nonce, n)
		{
			json_object_object_add(
				sum, nonce,
				json_object_new_int64(
					jsn_int(sum, nonce, 0) +
					json_object_get_int64(n)));
		}
	}
}

void load_compare_runs(struct load *l)
{
	JSN_AUTO *sum = json_object_new_object();
	const struct told *t;

	if (!l->nr_runs)
		return;
	add_runs(l, sum);
	for (t = l->told; t; t = t->next) {
		const int64_t runs = jsn_int(sum, t->nonce, 0);

		if (runs > 1)
			l->doubled++;
		if (runs && t->what == TOLD_NOT_RUN)
			l->false_not_run++;
		if (!runs && t->what == TOLD_DONE)
			l->lost++;
	}
}

/* ---- The report ---- */

static int by_value(const void *a, const void *b)
{
	const float x = *(const float *)a, y = *(const float *)b;

	return x < y ? -1 : x > y;
}

static double percentile(struct samples *s, double p)
{
	if (!s->nr)
		return 0;
	qsort(s->ms, s->nr, sizeof(float), by_value);
	return s->ms[(size_t)(p * (double)(s->nr - 1))];
}

static void print_accounts(struct load *l, struct buf *json)
{
	size_t i;

	printf("%-14s %7s %7s %7s %7s %9s %9s %9s %9s\n", "account", "sent",
	       "whole", "not-run", "unknown", "first50", "first95", "between50",
	       "between95");
	for (i = 0; i < l->nr_accounts; i++) {
		struct account *a = &l->accounts[i];
		const double f50 = percentile(&a->first, 0.5);
		const double f95 = percentile(&a->first, 0.95);
		const double b50 = percentile(&a->between, 0.5);
		const double b95 = percentile(&a->between, 0.95);

		printf("%-14s %7ld %7ld %7ld %7ld %7.1fms %7.1fms %7.1fms "
		       "%7.1fms\n",
		       a->name, a->sent, a->whole, a->not_run, a->unknown, f50,
		       f95, b50, b95);
		buf_fmt(json,
			"%s{\"account\":\"%s\",\"sent\":%ld,\"whole\":%ld,"
			"\"not_run\":%ld,\"unknown\":%ld,\"lost\":%ld,"
			"\"first_ms\":[%.2f,%.2f],\"between_ms\":[%.2f,%.2f]}",
			i ? "," : "", a->name, a->sent, a->whole, a->not_run,
			a->unknown, a->lost, f50, f95, b50, b95);
	}
}

void load_report(struct load *l)
{
	BUF_AUTO json = BUF_INIT;
	FILE *f;

	buf_fmt(&json,
		"{\"seed\":%llu,\"seconds\":%ld,\"accepted\":%ld,"
		"\"whole\":%ld,\"doubled\":%ld,\"lost\":%ld,\"not_run\":%ld,"
		"\"unknown\":%ld,\"false_not_run\":%ld,\"other\":%ld,"
		"\"left_out\":%ld,\"restarts\":%ld,\"reconnects\":%ld,"
		"\"tokens\":%ld,\"accounts\":[",
		(unsigned long long)l->seed, l->seconds, l->accepted, l->whole,
		l->doubled, l->lost, l->not_run, l->unknown, l->false_not_run,
		l->other, l->left_out, l->restarts, l->reconnects, l->tokens);
	print_accounts(l, &json);
	buf_str(&json, "]}\n");
	printf("load: tokens %ld, restarts %ld, reconnects %ld, left out %ld, "
	       "false not-run %ld, other %ld\n",
	       l->tokens, l->restarts, l->reconnects, l->left_out,
	       l->false_not_run, l->other);
	printf("load: accepted %ld, whole %ld, doubled %ld, lost %ld, "
	       "not-run %ld, unknown %ld\n",
	       l->accepted, l->whole, l->doubled, l->lost, l->not_run,
	       l->unknown);
	f = l->report ? fopen(l->report, "w") : NULL;
	if (f) {
		fputs(json.data, f);
		fclose(f);
	} else if (l->report) {
		fprintf(stderr, "load: cannot write %s\n", l->report);
	}
}
