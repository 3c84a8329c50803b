/*
 * Probes an endpoint after a send to it broke off.
 *
 * A broken connection alone does not prove a crash: connections are also reset,
 * and answers lost, while the endpoint lives. A new connection shows which it
 * was: a live endpoint accepts it; after a crash it is refused, because no
 * process listens. An accepted connection is kept for the next request, so
 * probing a live endpoint costs nothing.
 */
#include <assert.h>
#include <stdlib.h>

#include "edge/edge_internal.h"

struct probe {
	struct edge *en;
	struct flt_endpoint *e;
	int64_t since_ms; /* when it was started */
};

static void on_probed(void *arg, enum htc_probe_result found)
{
	static const char *const results[] = {
		[HTC_PROBE_CONNECTED] = "there",
		[HTC_PROBE_REFUSED] = "ended",
		[HTC_PROBE_UNKNOWN] = "silent",
	};
	struct probe *p = arg;
	struct edge *en = p->en;
	struct flt_endpoint *e = p->e;

	jlog_begin(en->log, JLOG_INFO, "endpoint_probed");
	jlog_str(en->log, "endpoint", e->info.id);
	jlog_str(en->log, "service", e->info.service);
	jlog_str(en->log, "found", results[found]);
	jlog_int(en->log, "took_ms", edge_now(en) - p->since_ms);
	jlog_int(en->log, "list_age_ms", edge_list_age(en, edge_now(en)));
	jlog_end(en->log);
	free(p);
	e->probing = false;
	edge_fatal_probed(en, e, found);
	flt_unref(&en->fleet, e);
}

bool edge_probe(struct edge *en, struct flt_endpoint *e)
{
	struct htc_peer *link = edge_conn_pool(en, e);
	struct probe *p;

	if (e->probing || !link)
		return e->probing;
	p = malloc(sizeof(*p));
	assert(p);
	*p = (struct probe){ en, e, edge_now(en) };
	if (!htc_probe(link, on_probed, p)) {
		free(p);
		return false;
	}
	e->probing = true;
	flt_ref(e);
	met_inc(en->m.probes);
	return true;
}
