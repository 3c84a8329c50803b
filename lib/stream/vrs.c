#include "stream/vrs.h"

#include <assert.h>
#include <string.h>

#include "base/jsn.h"

struct bnd_origin vrs_origin(const char *service, const char *version)
{
	return (struct bnd_origin){ hsh_str(service, 0), flt_version(version) };
}

struct bnd_origin vrs_origin_of(const struct flt_endpoint *e)
{
	return (struct bnd_origin){ hsh_str(e->info.service, 0), e->version };
}

static bool same_origin(struct bnd_origin a, struct bnd_origin b)
{
	return a.service == b.service && a.version == b.version;
}

/* Returns the index of the version's row, or v->nr_rows. */
static unsigned index_of(const struct vrs *v, struct bnd_origin origin)
{
	unsigned i;

	for (i = 0; i < v->nr_rows; i++) {
		if (same_origin(v->rows[i].origin, origin))
			break;
	}
	return i;
}

struct vrs_row *vrs_find(struct vrs *v, struct bnd_origin origin)
{
	const unsigned i = index_of(v, origin);

	return i < v->nr_rows ? &v->rows[i] : NULL;
}

bool vrs_is_serving(const struct vrs *v, struct bnd_origin origin)
{
	const unsigned i = index_of(v, origin);

	return i < v->nr_rows && !v->rows[i].retired;
}

unsigned vrs_count(const struct vrs *v, uint64_t service,
		   const struct vrs_row **row)
{
	unsigned i, n = 0;

	for (i = 0; i < v->nr_rows; i++) {
		if (v->rows[i].origin.service != service)
			continue;
		*row = &v->rows[i];
		n++;
	}
	return n;
}

/* Returns the new row; NULL: there are too many. */
static struct vrs_row *add_row(struct vrs *v, const char *service,
			       const char *version)
{
	const struct bnd_origin origin = vrs_origin(service, version);
	const struct vrs_row *unused;
	struct vrs_row *row;

	if (v->nr_rows == VRS_MAX_ROWS ||
	    vrs_count(v, origin.service, &unused) == BND_MAX_VERSIONS)
		return NULL;
	row = &v->rows[v->nr_rows++];
	memset(row, 0, sizeof(*row));
	str_copy(row->service, service, sizeof(row->service));
	str_copy(row->version, version, sizeof(row->version));
	row->origin = origin;
	return row;
}

/* ---- The stored form ---- */

void vrs_encode(const struct vrs *v, struct buf *out)
{
	unsigned i;

	buf_str(out, "{\"versions\":[");
	for (i = 0; i < v->nr_rows; i++) {
		buf_str(out, i ? ",{\"service\":" : "{\"service\":");
		buf_json(out, v->rows[i].service);
		buf_str(out, ",\"version\":");
		buf_json(out, v->rows[i].version);
		buf_fmt(out, ",\"retired\":%s}",
			v->rows[i].retired ? "true" : "false");
	}
	buf_str(out, "]}");
}

static bool decode_row(struct json_object *o, struct vrs *out)
{
	const char *service = jsn_str(o, "service", "");
	const char *version = jsn_str(o, "version", NULL);
	struct vrs_row *row;

	if (!*service || strlen(service) >= FLT_NAME || !version ||
	    strlen(version) >= FLT_NAME ||
	    vrs_find(out, vrs_origin(service, version)))
		return false;
	row = add_row(out, service, version);
	if (!row)
		return false;
	row->retired = jsn_bool(o, "retired", false);
	return true;
}

bool vrs_decode(const char *text, size_t len, struct vrs *out)
{
	JSN_AUTO *o = jsn_parse(text, len);
	struct json_object *list = jsn_get(o, "versions");
	size_t i;

	out->nr_rows = 0;
	if (!json_object_is_type(list, json_type_array))
		return false;
	for (i = 0; i < jsn_len(list); i++) {
		if (decode_row(json_object_array_get_idx(list, i), out))
			continue;
		out->nr_rows = 0;
		return false;
	}
	return true;
}

static void keep_lost_row(struct vrs *v, const struct vrs_row *lost)
{
	struct vrs_row *row = add_row(v, lost->service, lost->version);

	if (!row)
		return;
	*row = *lost;
	row->stored = false;
}

void vrs_adopt(struct vrs *v, const struct vrs *read, bool restored,
	       int64_t now)
{
	const struct vrs old = *v;
	struct vrs_row *row;
	unsigned i;

	*v = *read;
	for (i = 0; i < v->nr_rows; i++) {
		v->rows[i].stored = true;
		v->rows[i].retired_ms = v->rows[i].retired ? now : 0;
	}
	for (i = 0; i < old.nr_rows; i++) {
		row = vrs_find(v, old.rows[i].origin);
		if (!row && (restored || !old.rows[i].stored))
			keep_lost_row(v, &old.rows[i]);
		if (!row)
			continue;
		row->unlisted_ms = old.rows[i].unlisted_ms;
		if (row->retired && old.rows[i].retired_ms)
			row->retired_ms = old.rows[i].retired_ms;
	}
}

/* ---- The next record ---- */

static void note_listed(struct vrs *v, const struct vrs_row *listed, unsigned n,
			int64_t now)
{
	struct vrs_row *row;
	unsigned i;

	for (i = 0; i < v->nr_rows; i++) {
		if (!v->rows[i].unlisted_ms)
			v->rows[i].unlisted_ms = now;
	}
	for (i = 0; i < n; i++) {
		row = vrs_find(v, listed[i].origin);
		if (!row)
			continue;
		row->unlisted_ms = 0;
		/* It may be retired again before this entry reads that. */
		row->retired_ms = 0;
	}
}

/* The state of a recorded version in the next record; false: it is removed. */
static bool next_state(struct vrs_row *row, bool sure, int64_t now)
{
	if (!row->unlisted_ms)
		row->retired = false;
	else if (!sure)
		return true;
	else if (row->retired)
		return now - row->retired_ms <= VRS_REMOVE_MS;
	else
		row->retired = now - row->unlisted_ms > VRS_RETIRE_MS;
	return true;
}

bool vrs_plan(struct vrs *v, const struct vrs_row *listed, unsigned n,
	      bool sure, int64_t now, struct vrs *out)
{
	bool differs = false;
	struct vrs_row row;
	unsigned i;

	note_listed(v, listed, n, now);
	out->nr_rows = 0;
	for (i = 0; i < v->nr_rows; i++) {
		row = v->rows[i];
		if (!next_state(&row, sure, now)) {
			differs = true;
			continue;
		}
		differs |= !row.stored || row.retired != v->rows[i].retired;
		out->rows[out->nr_rows++] = row;
	}
	for (i = 0; i < n; i++) {
		if (vrs_find(out, listed[i].origin))
			continue;
		if (add_row(out, listed[i].service, listed[i].version))
			differs = true;
	}
	return differs;
}

void vrs_restart_times(struct vrs *v, int64_t now)
{
	unsigned i;

	for (i = 0; i < v->nr_rows; i++) {
		v->rows[i].unlisted_ms = 0;
		v->rows[i].retired_ms = v->rows[i].retired ? now : 0;
	}
}
