#include "duty/saved_plan.h"

#include <math.h>
#include <string.h>

#include "base/jsn.h"

/* Relative change worth a write; the need varies by less in a few seconds. */
#define MIN_RELATIVE_CHANGE 0.15

/* Endpoints; no plan needs more, so a larger figure is rejected as invalid. */
#define MAX_NEED 100000.0

const struct saved_plan_row *saved_plan_find(const struct saved_plan *c,
					     const char *service)
{
	size_t i;

	for (i = 0; i < c->nr_rows; i++) {
		if (!strcmp(c->rows[i].service, service))
			return &c->rows[i];
	}
	return NULL;
}

struct saved_plan_row *saved_plan_row(struct saved_plan *c, const char *service)
{
	const struct saved_plan_row *found = saved_plan_find(c, service);
	struct saved_plan_row *row;

	if (found)
		return &c->rows[found - c->rows];
	if (c->nr_rows == SAVED_PLAN_MAX_SERVICES)
		return NULL;
	row = &c->rows[c->nr_rows++];
	memset(row, 0, sizeof(*row));
	str_copy(row->service, service, sizeof(row->service));
	return row;
}

void saved_plan_encode(const struct saved_plan *c, struct buf *out)
{
	const struct saved_plan_row *row;
	size_t i;

	buf_str(out, "{\"services\":[");
	for (i = 0; i < c->nr_rows; i++) {
		row = &c->rows[i];
		buf_str(out, i ? ",{\"name\":" : "{\"name\":");
		buf_json(out, row->service);
		buf_fmt(out, ",\"need\":%.3f,\"usual\":%.3f,\"firm\":%.3f}",
			row->need.need, row->need.baseline,
			row->on_demand_held);
	}
	buf_str(out, "]}");
}

static bool is_valid_figure(double v)
{
	return isfinite(v) && v >= 0 && v <= MAX_NEED;
}

static bool decode_row(struct json_object *o, struct saved_plan *out)
{
	const char *name = jsn_str(o, "name", "");
	struct saved_plan_row *row;

	if (!*name || strlen(name) >= SCALE_NAME)
		return false;
	row = saved_plan_row(out, name);
	if (!row)
		return false;
	row->need.need = jsn_dbl(o, "need", -1);
	row->need.baseline = jsn_dbl(o, "usual", -1);
	row->on_demand_held = jsn_dbl(o, "firm", -1);
	row->need.load_seen = true;
	return is_valid_figure(row->need.need) && row->need.need > 0 &&
	       is_valid_figure(row->need.baseline) &&
	       is_valid_figure(row->on_demand_held);
}

bool saved_plan_decode(const char *text, size_t len, struct saved_plan *out)
{
	JSN_AUTO *o = jsn_parse(text, len);
	struct json_object *list = o ? jsn_get(o, "services") : NULL;
	size_t i;

	memset(out, 0, sizeof(*out));
	if (!list || !json_object_is_type(list, json_type_array))
		return false;
	for (i = 0; i < jsn_len(list); i++) {
		if (decode_row(json_object_array_get_idx(list, i), out))
			continue;
		memset(out, 0, sizeof(*out));
		return false;
	}
	return true;
}

static bool differs(double a, double b)
{
	return fabs(a - b) > MIN_RELATIVE_CHANGE * b;
}

bool saved_plan_differs(const struct saved_plan *now,
			const struct saved_plan *written)
{
	const struct saved_plan_row *a, *b;
	size_t i;

	if (now->nr_rows != written->nr_rows)
		return true;
	for (i = 0; i < now->nr_rows; i++) {
		a = &now->rows[i];
		b = saved_plan_find(written, a->service);
		if (!b || differs(a->need.need, b->need.need) ||
		    differs(a->need.baseline, b->need.baseline))
			return true;
	}
	return false;
}
