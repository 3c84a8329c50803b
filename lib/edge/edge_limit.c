/* Request limits that endpoints state in their answers. */
#include "edge/edge_internal.h"

static void log_limit(const struct edge_req *r, double former_per_s)
{
	struct edge *en = r->en;

	jlog_begin(en->log, JLOG_INFO, "endpoint_limit");
	jlog_str(en->log, "endpoint", r->endpoint->info.id);
	jlog_str(en->log, "service", r->endpoint->info.service);
	jlog_num(en->log, "per_s", r->endpoint->limit_per_s);
	jlog_num(en->log, "former_per_s", former_per_s);
	jlog_str(en->log, "id", r->attempt.id);
	jlog_end(en->log);
}

static void log_malformed(const struct edge_req *r)
{
	struct edge *en = r->en;

	met_inc(en->m.statements_malformed);
	jlog_begin(en->log, JLOG_WARN, "statement_malformed");
	jlog_str(en->log, "endpoint", r->endpoint->info.id);
	jlog_str(en->log, "statement", r->reply.malformed);
	jlog_str(en->log, "id", r->attempt.id);
	jlog_end(en->log);
}

unsigned edge_limit_count(const struct edge *en)
{
	const struct flt_endpoint *e;
	unsigned n = 0;

	cds_list_for_each_entry(e, &en->fleet.endpoints, node)
		n += e->limit_per_s > 0;
	return n;
}

void edge_limit_answered(struct edge_req *r)
{
	struct flt_endpoint *e = r->endpoint;
	const double former = e->limit_per_s;

	if (r->reply.misdirected)
		return; /* another endpoint answered */
	if (r->reply.malformed[0]) {
		log_malformed(r);
		return;
	}
	if (r->reply.limit_per_s > 0)
		met_inc(r->en->m.limits_stated);
	if (r->reply.limit_per_s == former)
		return;
	e->limit_per_s = r->reply.limit_per_s;
	log_limit(r, former);
}
