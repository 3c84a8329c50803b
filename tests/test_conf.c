/* Settings of an entry: the example is valid, errors are one line each. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/buf.h"
#include "edge/conf.h"
#include "support/unit.h"

static int load(const char *text, struct conf *c, struct err *e)
{
	char path[] = "/tmp/marldock-conf-XXXXXX";
	const int fd = mkstemp(path);
	int r;

	CU_ASSERT_EQUAL(write(fd, text, strlen(text)), (ssize_t)strlen(text));
	close(fd);
	r = conf_load(path, c, e);
	unlink(path);
	return r;
}

static void read_example(struct buf *out)
{
	char chunk[4096];
	FILE *f = fopen("examples/edge.json", "r");
	size_t n;

	CU_ASSERT_PTR_NOT_NULL_FATAL(f);
	n = fread(chunk, 1, sizeof(chunk), f);
	buf_add(out, chunk, n);
	fclose(f);
}

static void example_is_valid(void)
{
	struct err e = ERR_INIT;
	struct conf c;

	CU_ASSERT_EQUAL(conf_load("examples/edge.json", &c, &e), 0);
	CU_ASSERT_STRING_EQUAL(c.zone, "north");
	CU_ASSERT_EQUAL(c.first_internal_port, 7600);
	CU_ASSERT(c.cloud.usage && c.cloud.scaling);
	CU_ASSERT(c.first_start && c.bounds.strict_revoke);
	CU_ASSERT_DOUBLE_EQUAL(c.bounds.retry_ratio, 0.2, 1e-9);
}

/* Writes the example with the first `from` replaced by `to`. */
static void changed_example(const char *from, const char *to, struct buf *out)
{
	BUF_AUTO text = BUF_INIT;
	const char *at;

	read_example(&text);
	at = strstr(text.data, from);
	CU_ASSERT_PTR_NOT_NULL_FATAL(at);
	buf_add(out, text.data, (size_t)(at - text.data));
	buf_str(out, to);
	buf_str(out, at + strlen(from));
}

/* Replaces `from` in the example, and expects a one-line error with `word`. */
static void expect_error(const char *from, const char *to, const char *word)
{
	BUF_AUTO changed = BUF_INIT;
	struct err e = ERR_INIT;
	struct conf c;

	changed_example(from, to, &changed);
	CU_ASSERT_EQUAL(load(changed.data, &c, &e), -1);
	CU_ASSERT_PTR_NOT_NULL(strstr(e.text, word));
	CU_ASSERT_PTR_NULL(strchr(e.text, '\n'));
}

static void errors_name_the_setting(void)
{
	expect_error("\"zone\": \"north\"", "\"zoen\": \"north\"", "zoen");
	expect_error("\"zone\": \"north\",", "", "zone");
	expect_error("7600,", "\"x\",", "first_internal_port");
	expect_error("7600,", "99999999,", "first_internal_port");
	expect_error("\"grace_s\": 8", "\"grace_s\": -1", "grace_s");
	expect_error("127.0.0.1:8224", "127.0.0.1", "IP:PORT");
	expect_error("127.0.0.1:8225", "1.2.3:8225", "bad IP");
	expect_error("127.0.0.1:8226", "127.0.0.1:70000", "bad port");
}

static void unknown_duties_are_ignored(void)
{
	BUF_AUTO text = BUF_INIT;
	struct err e = ERR_INIT;
	struct conf c;
	char *at;

	read_example(&text);
	at = strstr(text.data, "scaling");
	memcpy(at, "another", 7);
	CU_ASSERT_EQUAL(load(text.data, &c, &e), 0);
	CU_ASSERT(c.cloud.usage && !c.cloud.scaling);
}

/* All mechanisms are on by default, and each can be switched off alone. */
static void mechanisms_are_switched_one_by_one(void)
{
	static const char from[] = "\"first_internal_port\":";
	BUF_AUTO text = BUF_INIT;
	BUF_AUTO changed = BUF_INIT;
	struct err e = ERR_INIT;
	struct conf c;

	read_example(&text);
	CU_ASSERT_EQUAL(load(text.data, &c, &e), 0);
	CU_ASSERT(c.policy.moves && c.policy.affinity && c.policy.learn);
	CU_ASSERT(c.policy.admission && c.policy.offered_load);
	CU_ASSERT(!c.policy.speeds && !c.policy.slow_start);
	changed_example(from,
			"\"policy\": {\"moves\": false}, "
			"\"first_internal_port\":",
			&changed);
	CU_ASSERT_EQUAL(load(changed.data, &c, &e), 0);
	CU_ASSERT(!c.policy.moves && c.policy.affinity && c.policy.learn);
	expect_error(from,
		     "\"policy\": {\"move\": false}, \"first_port\":", "move");
	expect_error(from,
		     "\"policy\": {\"moves\": 0}, \"first_internal_port\":",
		     "moves");
}

static void missing_and_empty_files_are_errors(void)
{
	struct err e = ERR_INIT;
	struct conf c;

	CU_ASSERT_EQUAL(conf_load("/nonexistent/x", &c, &e), -1);
	CU_ASSERT_PTR_NOT_NULL(strstr(e.text, "/nonexistent/x"));
	CU_ASSERT_EQUAL(load("", &c, &e), -1);
	CU_ASSERT_EQUAL(load("{} trailing", &c, &e), -1);
}

static const struct unit_test tests[] = {
	{ "the example is valid", example_is_valid },
	{ "errors name the setting", errors_name_the_setting },
	{ "unknown duties are ignored", unknown_duties_are_ignored },
	{ "missing and empty files are errors",
	  missing_and_empty_files_are_errors },
	{ "mechanisms are switched one by one",
	  mechanisms_are_switched_one_by_one },
};

UNIT_MAIN("conf", tests)
