/* Look-ups: which addresses callers should use; and the readiness check. */
#include <string.h>

#include "edge/edge_internal.h"

/* Addresses in one answer. */
#define MAX_ADDRESSES 64

/* Callers keep an answer so long; shorter answers mean more look-ups. */
#define LIST_TTL_S 2.0

bool edge_taking(const struct edge *en)
{
	const int64_t now = clk_boot_ms(en->clk);

	if (en->stopping || !en->force.cfg ||
	    !en->watches[EDGE_ENDPOINTS].mirror.complete)
		return false;
	return !en->conf->bounds.strict_revoke ||
	       force_age(&en->force, now) < (int64_t)en->conf->bounds.revoke_ms;
}

static void look_up(struct edge *en, struct buf *out)
{
	const char *addresses[MAX_ADDRESSES];
	const size_t n = edge_named(en, addresses, MAX_ADDRESSES, edge_now(en));
	const double ttl = en->conf->list_ttl_s < LIST_TTL_S
				   ? en->conf->list_ttl_s
				   : LIST_TTL_S;

	if (n)
		en->wire->lookup_answer(addresses, n, ttl, out);
	else
		en->wire->own_answer(503, NULL, "no entry takes requests", 500,
				     false, out);
}

static void on_request(struct hsc *c)
{
	struct edge *en = c->server->owner;
	const struct hmsg *m = &c->parse.msg;
	BUF_AUTO out = BUF_INIT;

	if (en->wire->is_lookup(m))
		look_up(en, &out);
	else if (en->wire->is_ready_check(m))
		en->wire->own_answer(edge_taking(en) ? 200 : 503, NULL,
				     "not ready", -1, false, &out);
	else
		en->wire->own_answer(404, NULL, "no such call", -1, false,
				     &out);
	hsc_write(c, out.data, out.len);
	hsc_done(c, false);
}

static void on_gone(struct hsc *c)
{
	(void)c; /* answers are written at once: nothing is under way */
}

static void on_fault(struct hsc *c, enum hsc_fault f, struct buf *out)
{
	struct edge *en = c->server->owner;

	(void)f;
	en->wire->own_answer(400, NULL, "malformed request", -1, true, out);
}

static void limits(struct hsc_server *s, struct hsc_limits *out)
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

const struct hsc_vtable edge_look_vtable = {
	.request = on_request,
	.gone = on_gone,
	.fault = on_fault,
	.limits = limits,
};
