/*
 * marldockctl: what operators use.
 */
#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sysexits.h>
#include <unistd.h>

#include "base/clk.h"
#include "base/hsh.h"
#include "base/jsn.h"
#include "base/rnd.h"
#include "config/apply.h"
#include "config/doc.h"
#include "config/set.h"
#include "net/hcl.h"
#include "net/link.h"

const char *argp_program_version = "marldockctl 0.1";

/* Exit codes beyond sysexits; named in --help. */
enum {
	EXIT_CONFLICT = 2,
	EXIT_UNKNOWN = 3,
	EXIT_NOT_EVERYWHERE = 4
};

static const char doc[] =
	"Commands:\n"
	"  validate FILE                check a document\n"
	"  apply FILE [--base N] [--wait]  make it the service's document\n"
	"  check SERVICE CHANGE         what became of a change\n"
	"  get SERVICE                  the document in the service\n"
	"  diff FILE                    against what is in force\n"
	"  history SERVICE              its changes\n"
	"  status                       entries and revisions in force\n"
	"  entries                      entries that are alive\n"
	"  endpoints                    endpoints as an entry sees them\n"
	"  explain KEY                  decisions made for a request\n"
	"  drain ENTRY                  let an entry leave\n"
	"\vExit codes: 0 done, 2 conflict with another change, 3 outcome "
	"unknown (ask again with check), 4 not in force everywhere in time, "
	"64 wrong usage, 65 document refused, 66 file or settings cannot be "
	"read, 69 service or entry not reached.";

static const struct argp_option options[] = {
	{ "settings", 's', "FILE", 0,
	  "Settings with the addresses (needed, "
	  "except for validate)",
	  0 },
	{ "base", 'b', "REVISION", 0, "The revision you edited", 0 },
	{ "wait", 'w', NULL, 0, "Wait until every live entry has it", 0 },
	{ "timeout", 't', "SECONDS", 0, "How long to wait (12)", 0 },
	{ "json", 'j', NULL, 0, "JSON for scripts", 0 },
	{ "author", 'a', "NAME", 0, "Who changes it", 0 },
	{ 0 },
};

struct args {
	const char *settings;
	const char *author;
	int64_t base;
	int64_t timeout_s;
	bool wait;
	bool json;
	char *words[4];
	int nr_words;
};

struct tool {
	struct args a;
	struct set set;
	struct hcl *hcl;
	struct kv *kv;
	struct links *links;
	char mac[17];
	uint64_t boot;
};

static error_t parse(int key, char *arg, struct argp_state *state)
{
	struct args *a = state->input;
	char *end;

	switch (key) {
	case 's':
		a->settings = arg;
		return 0;
	case 'b':
		a->base = strtol(arg, &end, 10);
		if (*end || a->base < 0)
			argp_error(state, "--base takes a revision number");
		return 0;
	case 't':
		a->timeout_s = strtol(arg, &end, 10);
		if (*end || a->timeout_s < 1)
			argp_error(state, "--timeout takes seconds");
		return 0;
	case 'w':
		a->wait = true;
		return 0;
	case 'j':
		a->json = true;
		return 0;
	case 'a':
		a->author = arg;
		return 0;
	case ARGP_KEY_ARG:
		if (a->nr_words == 4)
			argp_error(state, "too many words");
		a->words[a->nr_words++] = arg;
		return 0;
	case ARGP_KEY_END:
		if (!a->nr_words)
			argp_error(state, "a command is needed");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

/* ---- Calls to entries ---- */

static void fill_head(struct tool *t, peer_head *h)
{
	h->mac = mem_dup(t->mac);
	h->name = mem_dup("ctl");
	h->boot = t->boot;
}

static struct json_object *ask(struct tool *t, const char *address,
			       const char *what, struct err *e)
{
	peer_status_args *a = mem_new(sizeof(*a));
	struct json_object *o;
	peer_text r;
	const struct link_call call = {
		.address = address,
		.proc = PEER_STATUS,
		.xdr_args = (xdrproc_t)xdr_peer_status_args,
		.args = a,
		.xdr_result = (xdrproc_t)xdr_peer_text,
		.result_size = sizeof(r),
		.timeout_ms = 1000,
	};

	fill_head(t, &a->head);
	a->what = mem_dup(what);
	if (links_call(t->links, &call, &r, e))
		return NULL;
	o = jsn_parse(r.text, strlen(r.text));
	xdr_free((xdrproc_t)xdr_peer_text, &r);
	return o;
}

/* The members as any entry we know tells them. */
static struct json_object *members(struct tool *t, struct err *e)
{
	struct json_object *o = ask(t, t->set.peer_address, "members", e);
	size_t i;

	for (i = 0; !o && i < t->set.nr_seeds; i++)
		o = ask(t, t->set.seeds[i], "members", e);
	return o;
}

static const char *state_name(int64_t s)
{
	static const char *const names[] = { "alive", "leaving", "suspect",
					     "dead" };

	return s >= 0 && s < 4 ? names[s] : "?";
}

/* ---- Documents ---- */

static int cmd_validate(struct tool *t)
{
	struct err e = ERR_INIT;
	MEM_AUTO char *text = set_read_file(t->a.words[1], DOC_MAX_TEXT, &e);
	struct doc *d = text ? doc_parse(t->a.words[1], text, &e) : NULL;

	if (!d) {
		fprintf(stderr, "%s\n", e.text);
		return text ? EX_DATAERR : EX_NOINPUT;
	}
	printf("%s: valid, service %s, %zu models, %zu accounts\n",
	       t->a.words[1], d->service, d->nr_models, d->nr_accounts);
	doc_free(d);
	return 0;
}

static int64_t revision_at(struct json_object *o, const char *service)
{
	return jsn_int(jsn_get(o, "documents"), service, 0);
}

/* Prints the entries that have not got it; returns how many. */
static size_t missing(struct tool *t, const char *service, int64_t revision,
		      bool print)
{
	struct err e = ERR_INIT;
	JSN_AUTO *o = members(t, &e);
	struct json_object *rows = jsn_get(o, "members");
	size_t n = 0, i;

	if (!o)
		return 1;
	for (i = 0; i < jsn_len(rows); i++) {
		struct json_object *m = json_object_array_get_idx(rows, i);
		JSN_AUTO *r = NULL;

		if (jsn_int(m, "state", 3) > 1)
			continue;
		r = ask(t, jsn_str(m, "peer", ""), "revisions", &e);
		if (revision_at(r, service) >= revision)
			continue;
		n++;
		if (print)
			printf("not yet at %s (%s)\n", jsn_str(m, "name", ""),
			       r ? "older revision" : "no answer");
	}
	return n;
}

static int wait_everywhere(struct tool *t, const char *service,
			   int64_t revision)
{
	const int64_t start = clk_ms(clk_real());

	while (clk_ms(clk_real()) - start < t->a.timeout_s * 1000) {
		if (!missing(t, service, revision, false)) {
			printf("in force at every live entry after %lld ms\n",
			       (long long)(clk_ms(clk_real()) - start));
			return 0;
		}
		clk_sleep_ms(50);
	}
	missing(t, service, revision, true);
	return EXIT_NOT_EVERYWHERE;
}

static int finish_apply(struct tool *t, const struct apply_change *c,
			struct apply_result *r, const struct err *e)
{
	BUF_AUTO diff = BUF_INIT;

	if (t->a.json)
		printf("{\"outcome\":\"%s\",\"revision\":%lld,\"change\":"
		       "\"%s\"}\n",
		       apply_outcome_name(r->outcome), (long long)r->revision,
		       c->change_id);
	else
		printf("%s %s revision %lld change %s\n", c->service,
		       apply_outcome_name(r->outcome), (long long)r->revision,
		       c->change_id);
	switch (r->outcome) {
	case APPLY_ACCEPTED:
	case APPLY_UNCHANGED:
		return t->a.wait ? wait_everywhere(t, c->service, r->revision)
				 : 0;
	case APPLY_CONFLICT:
		fprintf(stderr, "%s\n", e->text);
		if (c->text) {
			apply_diff(buf_cstr(&r->theirs), c->text, &diff);
			printf("theirs (-) and yours (+):\n%s",
			       buf_cstr(&diff));
		}
		return EXIT_CONFLICT;
	case APPLY_INVALID:
		fprintf(stderr, "%s\n", e->text);
		return EX_DATAERR;
	case APPLY_UNKNOWN:
		fprintf(stderr, "%s\n", e->text);
		return EXIT_UNKNOWN;
	case APPLY_NOT_SENT:
		fprintf(stderr, "nothing was written: %s\n", e->text);
		return EX_UNAVAILABLE;
	}
	return EX_SOFTWARE;
}

static int cmd_apply(struct tool *t)
{
	struct err e = ERR_INIT;
	MEM_AUTO char *text = set_read_file(t->a.words[1], DOC_MAX_TEXT, &e);
	struct apply_change c = {
		.at_wall_ms = clk_wall_ms(clk_real()),
		.base_revision = t->a.base,
		.what = t->a.words[1],
		.text = text,
	};
	struct apply_result r = { 0 };
	struct doc *d;
	int code;

	if (!text) {
		fprintf(stderr, "%s\n", e.text);
		return EX_NOINPUT;
	}
	d = doc_parse(c.what, text, &e);
	if (!d) {
		fprintf(stderr, "%s\n", e.text);
		return EX_DATAERR;
	}
	str_copy(c.service, d->service, sizeof(c.service));
	doc_free(d);
	snprintf(c.change_id, sizeof(c.change_id), "%016llx",
		 (unsigned long long)rnd_secret());
	str_copy(c.author,
		 t->a.author ? t->a.author
			     : (getenv("USER") ? getenv("USER") : "operator"),
		 sizeof(c.author));
	apply_write(t->kv, &c, &r, &e);
	code = finish_apply(t, &c, &r, &e);
	apply_result_free(&r);
	return code;
}

static int cmd_check(struct tool *t)
{
	struct apply_change c = { .base_revision = -1 };
	struct apply_result r = { 0 };
	struct err e = ERR_INIT;
	int code;

	str_copy(c.service, t->a.words[1], sizeof(c.service));
	str_copy(c.change_id, t->a.words[2], sizeof(c.change_id));
	apply_check(t->kv, &c, &r, &e);
	code = finish_apply(t, &c, &r, &e);
	apply_result_free(&r);
	return code;
}

static int cmd_get(struct tool *t)
{
	struct err e = ERR_INIT;
	BUF_AUTO text = BUF_INIT;
	int64_t revision;

	if (apply_read(t->kv, t->a.words[1], &text, &revision, &e)) {
		fprintf(stderr, "%s\n", e.text);
		return EX_UNAVAILABLE;
	}
	if (!revision) {
		fprintf(stderr, "no document of service %s\n", t->a.words[1]);
		return EX_NOINPUT;
	}
	fprintf(stderr, "revision %lld\n", (long long)revision);
	fputs(buf_cstr(&text), stdout);
	return 0;
}

static int cmd_diff(struct tool *t)
{
	struct err e = ERR_INIT;
	MEM_AUTO char *text = set_read_file(t->a.words[1], DOC_MAX_TEXT, &e);
	struct doc *d = text ? doc_parse(t->a.words[1], text, &e) : NULL;
	BUF_AUTO theirs = BUF_INIT;
	BUF_AUTO diff = BUF_INIT;
	int64_t revision;
	int ret;

	if (!d) {
		fprintf(stderr, "%s\n", e.text);
		return text ? EX_DATAERR : EX_NOINPUT;
	}
	ret = apply_read(t->kv, d->service, &theirs, &revision, &e);
	doc_free(d);
	if (ret) {
		fprintf(stderr, "%s\n", e.text);
		return EX_UNAVAILABLE;
	}
	apply_diff(buf_cstr(&theirs), text, &diff);
	printf("revision %lld (-) and %s (+):\n%s", (long long)revision,
	       t->a.words[1], buf_cstr(&diff));
	return 0;
}

static int cmd_history(struct tool *t)
{
	KV_PAIRS_AUTO p = { 0 };
	struct err e = ERR_INIT;
	char prefix[KV_KEY_MAX];
	size_t i;

	snprintf(prefix, sizeof(prefix), "/marldock/hist/%s/", t->a.words[1]);
	if (t->kv->vt->range(t->kv, prefix, true, &p, &e)) {
		fprintf(stderr, "%s\n", e.text);
		return EX_UNAVAILABLE;
	}
	if (!t->a.json)
		printf("%-9s %-17s %-20s %s\n", "revision", "change",
		       "at (UTC)", "author");
	for (i = 0; i < p.nr; i++) {
		JSN_AUTO *o = jsn_parse(p.rows[i].value, p.rows[i].len);
		const time_t at = (time_t)(jsn_int(o, "at_wall_ms", 0) / 1000);
		char when[32];
		struct tm tm;

		if (t->a.json) {
			printf("%s\n", p.rows[i].value);
			continue;
		}
		gmtime_r(&at, &tm);
		strftime(when, sizeof(when), "%Y-%m-%d %H:%M:%S", &tm);
		printf("%-9lld %-17s %-20s %s\n",
		       (long long)jsn_int(o, "serial", 0),
		       jsn_str(o, "change", ""), when,
		       jsn_str(o, "author", ""));
	}
	return 0;
}

/* ---- Entries ---- */

static int cmd_status(struct tool *t, bool revisions)
{
	struct err e = ERR_INIT;
	JSN_AUTO *o = members(t, &e);
	struct json_object *rows = jsn_get(o, "members");
	size_t i;

	if (!o) {
		fprintf(stderr, "%s\n", e.text);
		return EX_UNAVAILABLE;
	}
	if (!t->a.json)
		printf("%-14s %-10s %-8s %-22s %-6s %-9s %s\n", "entry", "zone",
		       "state", "address", "view", "in-flight",
		       revisions ? "documents" : "");
	for (i = 0; i < jsn_len(rows); i++) {
		struct json_object *m = json_object_array_get_idx(rows, i);
		JSN_AUTO *r = ask(t, jsn_str(m, "peer", ""), "revisions", &e);
		struct json_object *docs = jsn_get(r, "documents");

		if (t->a.json) {
			json_object_object_add(m, "report", json_object_get(r));
			printf("%s\n", json_object_to_json_string_ext(
					       m, JSON_C_TO_STRING_PLAIN));
			continue;
		}
		printf("%-14s %-10s %-8s %-22s %-6lld %-9lld %s\n",
		       jsn_str(m, "name", ""), jsn_str(m, "zone", ""),
		       r ? state_name(jsn_int(m, "state", 3)) : "silent",
		       jsn_str(m, "http", ""), (long long)jsn_int(r, "view", 0),
		       (long long)jsn_int(r, "in_flight", 0),
		       revisions && docs ? json_object_to_json_string_ext(
						   docs, JSON_C_TO_STRING_PLAIN)
					 : "");
	}
	return 0;
}

static int cmd_endpoints(struct tool *t)
{
	struct err e = ERR_INIT;
	JSN_AUTO *o = ask(t, t->set.peer_address, "endpoints", &e);
	struct json_object *rows = jsn_get(o, "endpoints");
	size_t i;

	if (!o) {
		fprintf(stderr, "%s\n", e.text);
		return EX_UNAVAILABLE;
	}
	if (!t->a.json)
		printf("%-12s %-18s %-14s %-10s %-10s %-6s %-8s %-8s\n",
		       "instance", "service", "model", "version", "zone",
		       "ready", "running", "waiting");
	for (i = 0; i < jsn_len(rows); i++) {
		struct json_object *r = json_object_array_get_idx(rows, i);

		if (t->a.json) {
			printf("%s\n", json_object_to_json_string_ext(
					       r, JSON_C_TO_STRING_PLAIN));
			continue;
		}
		printf("%-12s %-18s %-14s %-10s %-10s %-6s %-8lld %-8lld\n",
		       jsn_str(r, "instance", ""), jsn_str(r, "service", ""),
		       jsn_str(r, "model", ""), jsn_str(r, "version", ""),
		       jsn_str(r, "zone", ""),
		       jsn_bool(r, "leaving", false)
			       ? "leaves"
			       : (jsn_bool(r, "ready", false) ? "yes" : "no"),
		       (long long)jsn_int(r, "running", 0),
		       (long long)jsn_int(r, "waiting", 0));
	}
	return 0;
}

static int cmd_explain(struct tool *t)
{
	struct err e = ERR_INIT;
	JSN_AUTO *o = members(t, &e);
	struct json_object *rows = jsn_get(o, "members");
	bool found = false;
	char what[256];
	size_t i;

	snprintf(what, sizeof(what), "explain %.200s", t->a.words[1]);
	for (i = 0; i < jsn_len(rows); i++) {
		struct json_object *m = json_object_array_get_idx(rows, i);
		JSN_AUTO *r = ask(t, jsn_str(m, "peer", ""), what, &e);

		if (!jsn_get(r, "decisions"))
			continue;
		found = true;
		if (t->a.json)
			printf("%s\n", json_object_to_json_string_ext(
					       r, JSON_C_TO_STRING_PLAIN));
		else
			printf("%s (%s)\n%s", jsn_str(r, "entry", ""),
			       jsn_str(r, "role", ""),
			       jsn_str(r, "decisions", ""));
	}
	if (!found)
		fprintf(stderr, "no entry knows the key\n");
	return found ? 0 : EX_NOINPUT;
}

static int cmd_drain(struct tool *t)
{
	struct err e = ERR_INIT;
	JSN_AUTO *o = members(t, &e);
	struct json_object *rows = jsn_get(o, "members");
	size_t i;

	for (i = 0; i < jsn_len(rows); i++) {
		struct json_object *m = json_object_array_get_idx(rows, i);
		JSN_AUTO *r = NULL;

		if (strcmp(jsn_str(m, "name", ""), t->a.words[1]))
			continue;
		r = ask(t, jsn_str(m, "peer", ""), "drain", &e);
		if (r)
			printf("%s is draining\n", t->a.words[1]);
		else
			fprintf(stderr, "%s\n", e.text);
		return r ? 0 : EX_UNAVAILABLE;
	}
	fprintf(stderr, "no live entry is named %s\n", t->a.words[1]);
	return EX_NOINPUT;
}

/* ---- Main ---- */

static int run(struct tool *t)
{
	const char *cmd = t->a.words[0];
	const int n = t->a.nr_words;

	if (!strcmp(cmd, "apply") && n == 2)
		return cmd_apply(t);
	if (!strcmp(cmd, "check") && n == 3)
		return cmd_check(t);
	if (!strcmp(cmd, "get") && n == 2)
		return cmd_get(t);
	if (!strcmp(cmd, "diff") && n == 2)
		return cmd_diff(t);
	if (!strcmp(cmd, "history") && n == 2)
		return cmd_history(t);
	if (!strcmp(cmd, "status") && n == 1)
		return cmd_status(t, true);
	if (!strcmp(cmd, "entries") && n == 1)
		return cmd_status(t, false);
	if (!strcmp(cmd, "endpoints") && n == 1)
		return cmd_endpoints(t);
	if (!strcmp(cmd, "explain") && n == 2)
		return cmd_explain(t);
	if (!strcmp(cmd, "drain") && n == 2)
		return cmd_drain(t);
	fprintf(stderr, "marldockctl: no such command, or wrong number of "
			"words; see --help\n");
	return EX_USAGE;
}

static void open_tool(struct tool *t)
{
	char text[64];

	signal(SIGPIPE, SIG_IGN);
	t->boot = (uint64_t)clk_wall_ms(clk_real());
	snprintf(text, sizeof(text), "peer|ctl|%llu",
		 (unsigned long long)t->boot);
	hsh_mac16(t->set.peer_secret, text, t->mac);
	t->hcl = hcl_create();
	t->kv = kv_etcd_create(t->hcl, t->set.key_value);
	t->links = links_create(4);
}

int main(int argc, char **argv)
{
	const struct argp argp = { options, parse, "COMMAND [WORD...]",
				   doc,	    NULL,  NULL,
				   NULL };
	struct tool t = { .a = { .base = -1, .timeout_s = 12 } };
	struct err e = ERR_INIT;
	int code;

	argp_err_exit_status = EX_USAGE;
	argp_parse(&argp, argc, argv, 0, NULL, &t.a);
	if (!strcmp(t.a.words[0], "validate") && t.a.nr_words == 2)
		return cmd_validate(&t);
	if (!t.a.settings || set_load(t.a.settings, &t.set, &e)) {
		fprintf(stderr, "marldockctl: %s\n",
			t.a.settings ? e.text : "--settings FILE is needed");
		return t.a.settings ? EX_NOINPUT : EX_USAGE;
	}
	open_tool(&t);
	code = run(&t);
	links_free(t.links);
	t.kv->vt->free(t.kv);
	hcl_free(t.hcl);
	return code;
}
