/* Look-ups of the entries' addresses by callers, and readiness checks. */
#include <string.h>

#include "edge/edge_internal.h"

/* Maximum number of addresses in an answer. */
#define MAX_ADDRESSES 64

/*
 * Maximum TTL of an answer, s. Callers cache it that long: a shorter TTL means
 * more look-ups.
 */
#define MAX_TTL_S 2.0

bool edge_is_ready(const struct edge *en)
{
	const int64_t now = clk_boot_ms(en->clk);

	if (en->stopping || !en->force.cfg ||
	    !en->watches[EDGE_WATCH_ENDPOINTS].mirror.complete)
		return false;
	return !en->conf->bounds.strict_revoke ||
	       force_age(&en->force, now) < (int64_t)en->conf->bounds.revoke_ms;
}

static void answer_lookup(struct edge *en, struct buf *out)
{
	const char *addresses[MAX_ADDRESSES];
	const size_t n =
		edge_advertised(en, addresses, MAX_ADDRESSES, edge_now(en));
	const double ttl = en->conf->list_ttl_s < MAX_TTL_S
				   ? en->conf->list_ttl_s
				   : MAX_TTL_S;

	if (n)
		en->wire->encode_lookup_answer(addresses, n, ttl, out);
	else
		en->wire->encode_own_answer(
			503, NULL, "no entry takes requests", 500, false, out);
}

static void on_request(struct hsc *c)
{
	struct edge *en = c->server->owner;
	const struct hmsg *m = &c->parse.msg;
	BUF_AUTO out = BUF_INIT;

	if (en->wire->is_lookup(m))
		answer_lookup(en, &out);
	else if (en->wire->is_ready_check(m))
		en->wire->encode_own_answer(edge_is_ready(en) ? 200 : 503, NULL,
					    "not ready", -1, false, &out);
	else
		en->wire->encode_own_answer(404, NULL, "no such call", -1,
					    false, &out);
	hsc_write(c, out.data, out.len);
	hsc_done(c, false);
}

static void on_gone(struct hsc *c)
{
	(void)c; /* answers are written at once, so none is in progress */
}

static void on_malformed(struct hsc *c, enum hsc_read_error f, struct buf *out)
{
	struct edge *en = c->server->owner;

	if (f == HSC_NO_ROOM)
		en->wire->encode_own_answer(503, NULL, EDGE_WHY_NO_MEMORY, 500,
					    true, out);
	else
		en->wire->encode_own_answer(400, NULL, "malformed request", -1,
					    true, out);
}

static void get_limits(struct hsc_server *s, struct hsc_limits *out)
{
	(void)s;
	*out = (struct hsc_limits){
		.header_bytes = 8192,
		.body_bytes = 8192,
		.header_ms = 3000,
		.body_ms = 3000,
		.idle_ms = 15000,
	};
}

const struct hsc_vtable edge_lookup_vtable = {
	.request = on_request,
	.disconnected = on_gone,
	.read_error = on_malformed,
	.limits = get_limits,
};
