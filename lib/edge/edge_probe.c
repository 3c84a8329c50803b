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
	struct cds_list_head node; /* in edge.held_probes */
	struct edge *en;
	struct flt_endpoint *e;
	bool relayed;
	int64_t since_ms; /* when it was started */
};

static void end_probe(struct probe *p, enum htc_probe_result found)
{
	static const char *const results[] = {
		[HTC_PROBE_CONNECTED] = "there",
		[HTC_PROBE_REFUSED] = "ended",
		[HTC_PROBE_UNKNOWN] = "silent",
	};
	struct edge *en = p->en;
	struct flt_endpoint *e = p->e;

	jlog_begin(en->log, JLOG_INFO, "endpoint_probed");
	jlog_str(en->log, "endpoint", e->info.id);
	jlog_str(en->log, "service", e->info.service);
	jlog_bool(en->log, "relayed", p->relayed);
	jlog_str(en->log, "found", results[found]);
	jlog_int(en->log, "took_ms", edge_now(en) - p->since_ms);
	jlog_int(en->log, "list_age_ms", edge_list_age(en, edge_now(en)));
	jlog_end(en->log);
	free(p);
	e->probing = false;
	edge_fatal_probed(en, e, found);
	flt_unref(&en->fleet, e);
}

/*
 * A refused connection means that the endpoint has exited, but only if other
 * endpoints accept this entry's connections. A relay may be cut off itself, and
 * its connection be refused for that reason.
 */
static void on_probed(void *arg, enum htc_probe_result found)
{
	struct probe *p = arg;

	if (found != HTC_PROBE_REFUSED)
		end_probe(p, found);
	else if (p->relayed)
		end_probe(p, HTC_PROBE_UNKNOWN);
	else if (edge_reach_verify(p->en, p->e))
		cds_list_add_tail(&p->node, &p->en->held_probes);
	else
		end_probe(p, p->en->reach.cut_off ? HTC_PROBE_UNKNOWN : found);
}

void edge_probe_decide(struct edge *en)
{
	const enum htc_probe_result found =
		en->reach.cut_off ? HTC_PROBE_UNKNOWN : HTC_PROBE_REFUSED;
	struct probe *p, *next;
	CDS_LIST_HEAD(all);

	cds_list_splice(&en->held_probes, &all);
	CDS_INIT_LIST_HEAD(&en->held_probes);
	cds_list_for_each_entry_safe(p, next, &all, node) {
		cds_list_del(&p->node);
		end_probe(p, found);
	}
}

bool edge_probe(struct edge *en, struct flt_endpoint *e)
{
	struct edge_way way;
	struct probe *p;

	if (e->probing)
		return true;
	way = edge_way_to(en, e, false);
	if (!way.pool)
		return false;
	p = malloc(sizeof(*p));
	assert(p);
	*p = (struct probe){ .en = en,
			     .e = e,
			     .relayed = way.relay != NULL,
			     .since_ms = edge_now(en) };
	if (!htc_probe(way.pool, on_probed, p)) {
		free(p);
		return false;
	}
	e->probing = true;
	flt_ref(e);
	met_inc(en->m.probes);
	return true;
}
