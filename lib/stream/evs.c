#include "stream/evs.h"

#include <stdlib.h>
#include <string.h>

#define ID_FIELD "id:"

void evs_init(struct evs *s)
{
	memset(s, 0, sizeof(*s));
	s->last_id = -1;
	s->ordered = true;
}

void evs_free(struct evs *s)
{
	buf_free(&s->partial);
}

/* Returns the id of the event `text`, or -1 if it has none. */
static int64_t event_id(const char *text)
{
	const char *at = text;
	char *end;
	long long id;

	while (at && *at) {
		if (!strncmp(at, ID_FIELD, strlen(ID_FIELD))) {
			id = strtoll(at + strlen(ID_FIELD), &end, 10);
			return id >= 0 ? id : -1;
		}
		at = strchr(at, '\n');
		at = at ? at + 1 : NULL;
	}
	return -1;
}

/*
 * Returns the length of the first whole event in `b`, or 0 if there is none.
 * Searches for the end of the event from offset `from` on.
 */
static size_t find_end(const struct buf *b, size_t from)
{
	size_t i;

	for (i = from; i + 1 < b->len; i++) {
		if (b->data[i] != '\n')
			continue;
		if (b->data[i + 1] == '\n')
			return i + 2;
		if (i + 2 < b->len && b->data[i + 1] == '\r' &&
		    b->data[i + 2] == '\n')
			return i + 3;
	}
	return 0;
}

/*
 * Processes the event in the first `len` bytes of the partial buffer. Returns 1
 * if it was appended to `out`, 0 if it was skipped.
 */
static size_t take_event(struct evs *s, size_t len, int64_t skip_to,
			 struct buf *out)
{
	const char after = s->partial.data[len];
	int64_t id;

	s->partial.data[len] = '\0';
	id = event_id(s->partial.data);
	s->partial.data[len] = after;
	if (id >= 0 && id <= skip_to)
		return 0;
	if (id >= 0) {
		if (s->last_id >= 0 && id != s->last_id + 1)
			s->ordered = false;
		s->last_id = id;
	}
	s->events++;
	buf_add(out, s->partial.data, len);
	return 1;
}

size_t evs_feed(struct evs *s, const char *data, size_t len, int64_t skip_to,
		struct buf *out)
{
	size_t from = s->partial.len > 2 ? s->partial.len - 2 : 0;
	size_t n = 0, end;

	buf_add(&s->partial, data, len);
	while ((end = find_end(&s->partial, from))) {
		n += take_event(s, end, skip_to, out);
		buf_shift(&s->partial, end);
		from = 0;
	}
	if (!s->partial.len)
		buf_free(&s->partial);
	s->too_large = s->partial.len > EVS_MAX_EVENT_BYTES;
	return n;
}

bool evs_has_partial(const struct evs *s)
{
	return s->partial.len != 0;
}

void evs_drop_partial(struct evs *s)
{
	buf_free(&s->partial);
}
