#include "config/set.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/buf.h"
#include "base/jsn.h"

#define STR(m, pat)                                                 \
	.name = #m, .type = JSN_STR, .at = offsetof(struct set, m), \
	.size = sizeof(((struct set *)0)->m), .pattern = pat
#define INT(m, lo, hi, u)                                                      \
	.name = #m, .type = JSN_INT, .at = offsetof(struct set, m), .min = lo, \
	.max = hi, .unit = u, .optional = true

static const struct jsn_field set_fields[] = {
	{ STR(name, JSN_NAME) },
	{ STR(zone, JSN_NAME) },
	{ STR(region, JSN_NAME) },
	{ STR(http_address, JSN_ANY) },
	{ STR(peer_address, JSN_ANY) },
	{ STR(key_value, JSN_ANY) },
	{ STR(cloud, JSN_ANY) },
	{ .name = "seeds",
	  .type = JSN_STRLIST,
	  .at = offsetof(struct set, seeds),
	  .size = SET_ADDR_MAX,
	  .stride = SET_ADDR_MAX,
	  .min = 0,
	  .max = SET_MAX_SEEDS,
	  .count_at = offsetof(struct set, nr_seeds) },
	{ STR(peer_secret, JSN_ANY) },
	{ STR(grant_secret, JSN_ANY) },
	{ STR(log_level, JSN_NAME), .optional = true },
	{ INT(workers, 4, 4000, "threads") },
	{ INT(in_flight, 1, 4000, "requests") },
	{ INT(body_bytes, 1024, 8388608, "bytes") },
	{ INT(bodies_bytes, 8388608, 1073741824, "bytes") },
	{ INT(entry_list_ms, 100, 600000, "milliseconds") },
	{ INT(drain_ms, 100, 3600000, "milliseconds") },
	{ INT(key_life_ms, 1000, 86400000, "milliseconds") },
	{ INT(replay_ms, 100, 86400000, "milliseconds") },
	{ INT(cut_off_ms, 1000, 3600000, "milliseconds") },
	{ INT(lease_s, 2, 300, "seconds") },
	{ INT(copy_ms, 5, 10000, "milliseconds") },
	JSN_END,
};

int set_split_addr(const char *addr, char host[SET_ADDR_MAX], int *port)
{
	const char *colon = strrchr(addr, ':');
	struct in_addr in;
	char *end;
	long p;

	if (!colon || colon - addr >= SET_ADDR_MAX)
		return -1;
	memcpy(host, addr, (size_t)(colon - addr));
	host[colon - addr] = '\0';
	p = strtol(colon + 1, &end, 10);
	if (end == colon + 1 || *end || p < 0 || p > 65535)
		return -1;
	if (inet_pton(AF_INET, host, &in) != 1)
		return -1;
	*port = (int)p;
	return 0;
}

static int check_addresses(const char *what, const char *text,
			   const struct set *s, struct err *e)
{
	const struct {
		const char *name;
		const char *value;
	} rows[] = {
		{ "http_address", s->http_address },
		{ "peer_address", s->peer_address },
		{ "key_value", s->key_value },
		{ "cloud", s->cloud },
	};
	char host[SET_ADDR_MAX], path[32];
	size_t i;
	int port;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		if (set_split_addr(rows[i].value, host, &port))
			return jsn_error_at(what, text, rows[i].name, e,
					    "an IP number and port such as "
					    "127.0.0.1:8080 is expected");
	}
	for (i = 0; i < s->nr_seeds; i++) {
		snprintf(path, sizeof(path), "seeds[%zu]", i);
		if (set_split_addr(s->seeds[i], host, &port))
			return jsn_error_at(
				what, text, path, e,
				"an IP number and port is expected");
	}
	return 0;
}

static int check_values(const char *what, const char *text, const struct set *s,
			struct err *e)
{
	if (strlen(s->peer_secret) < 16)
		return jsn_error_at(what, text, "peer_secret", e,
				    "at least 16 characters are expected");
	if (strlen(s->grant_secret) < 16)
		return jsn_error_at(what, text, "grant_secret", e,
				    "at least 16 characters are expected");
	if (!strstr(" error warn info debug ", s->log_level))
		return jsn_error_at(what, text, "log_level", e,
				    "error, warn, info or debug is expected");
	if (s->drain_ms <= s->entry_list_ms)
		return jsn_error_at(what, text, "drain_ms", e,
				    "must be longer than entry_list_ms (%lld): "
				    "clients may cache the list for that long",
				    (long long)s->entry_list_ms);
	if (s->workers <= s->in_flight)
		return jsn_error_at(
			what, text, "workers", e,
			"must be more than in_flight (%lld), or status "
			"calls would wait behind requests",
			(long long)s->in_flight);
	return 0;
}

int set_parse(const char *what, const char *text, struct set *s, struct err *e)
{
	memset(s, 0, sizeof(*s));
	strcpy(s->log_level, "info");
	s->workers = 360;
	s->in_flight = 320;
	s->body_bytes = 1048576;
	s->bodies_bytes = 67108864;
	s->entry_list_ms = 10000;
	s->drain_ms = 60000;
	s->key_life_ms = 600000;
	s->replay_ms = 120000;
	s->cut_off_ms = 60000;
	s->lease_s = 10;
	s->copy_ms = 50;
	if (jsn_read(what, text, set_fields, s, e) ||
	    check_addresses(what, text, s, e) || check_values(what, text, s, e))
		return -1;
	return 0;
}

char *set_read_file(const char *path, size_t max, struct err *e)
{
	BUF_AUTO b = BUF_INIT;
	char chunk[4096];
	size_t n;
	FILE *f = fopen(path, "r");

	if (!f) {
		err_set(e, ERR_NOT_FOUND, "%s: %s", path, strerror(errno));
		return NULL;
	}
	while ((n = fread(chunk, 1, sizeof(chunk), f)) > 0 && b.len <= max)
		buf_add(&b, chunk, n);
	fclose(f);
	if (b.len > max) {
		err_set(e, ERR_INVALID, "%s: larger than %zu bytes", path, max);
		return NULL;
	}
	return mem_dup(buf_cstr(&b));
}

int set_load(const char *path, struct set *s, struct err *e)
{
	MEM_AUTO char *text = set_read_file(path, 65536, e);

	if (!text)
		return -1;
	return set_parse(path, text, s, e);
}
