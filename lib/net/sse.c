#include "net/sse.h"

#include <string.h>

void sse_init(struct sse *s)
{
	memset(s, 0, sizeof(*s));
}

void sse_free(struct sse *s)
{
	buf_free(&s->line);
	buf_free(&s->data);
}

static void take_field(struct sse *s, const char *line)
{
	const char *colon = strchr(line, ':');
	const size_t n = colon ? (size_t)(colon - line) : strlen(line);
	const char *value = colon ? colon + 1 : "";

	if (*value == ' ')
		value++;
	if (n == 4 && !memcmp(line, "data", 4)) {
		if (s->has_data)
			buf_str(&s->data, "\n");
		buf_str(&s->data, value);
		s->has_data = true;
	} else if (n == 2 && !memcmp(line, "id", 2)) {
		str_copy(s->id, value, sizeof(s->id));
	} else if (n == 5 && !memcmp(line, "event", 5)) {
		str_copy(s->name, value, sizeof(s->name));
	}
}

static bool dispatch(struct sse *s,
		     bool (*fn)(const struct sse_event *ev, void *arg),
		     void *arg)
{
	const struct sse_event ev = { s->id, *s->name ? s->name : "message",
				      buf_cstr(&s->data) };
	const bool go = !s->has_data || fn(&ev, arg);

	buf_reset(&s->data);
	s->has_data = false;
	s->name[0] = '\0';
	return go;
}

bool sse_feed(struct sse *s, const char *bytes, size_t len,
	      bool (*fn)(const struct sse_event *ev, void *arg), void *arg)
{
	size_t i;

	for (i = 0; i < len; i++) {
		if (bytes[i] == '\r' || bytes[i] == '\0')
			continue;
		if (bytes[i] != '\n') {
			if (s->line.len >= SSE_MAX_LINE)
				return false;
			buf_add(&s->line, bytes + i, 1);
			continue;
		}
		if (!s->line.len) {
			if (!dispatch(s, fn, arg))
				return false;
			continue;
		}
		if (s->line.data[0] != ':')
			take_field(s, s->line.data);
		buf_reset(&s->line);
		if (s->data.len > SSE_MAX_DATA)
			return false;
	}
	return true;
}
