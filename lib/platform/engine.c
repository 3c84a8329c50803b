#include "platform/engine.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/jsn.h"

int engine_print_run(const struct engine_run *r, struct buf *out)
{
	JSN_AUTO *o = jsn_parse(r->body, strlen(r->body));
	const char *text;

	if (!o || !json_object_is_type(o, json_type_object))
		return -1;
	json_object_object_add(o, "stream", json_object_new_boolean(1));
	json_object_object_add(o, "stream_id",
			       json_object_new_string(r->stream_id));
	json_object_object_add(o, "priority", json_object_new_int(r->priority));
	if (r->kv_from)
		json_object_object_add(o, "kv_from",
				       json_object_new_string(r->kv_from));
	if (r->kept_tokens) {
		json_object_object_add(o, "kept_text",
				       json_object_new_string(r->kept_text));
		json_object_object_add(o, "kept_tokens",
				       json_object_new_int64(r->kept_tokens));
	}
	text = json_object_to_json_string_ext(o, JSON_C_TO_STRING_PLAIN);
	buf_str(out, text);
	return 0;
}

/* Text is in "text" for completions, in "delta" for chat completions. */
static const char *token_text(struct json_object *choice)
{
	const char *text = jsn_str(choice, "text", NULL);

	if (text)
		return text;
	return jsn_str(jsn_get(choice, "delta"), "content", NULL);
}

int engine_read_event(const char *id, const char *data, uint32_t next_offset,
		      struct engine_event *out)
{
	JSN_AUTO *o = NULL;
	struct json_object *choices, *choice;
	const char *text;
	char *end;

	memset(out, 0, offsetof(struct engine_event, text));
	out->text[0] = out->finish[0] = '\0';
	out->model[0] = out->version[0] = '\0';
	out->offset = next_offset;
	if (!strcmp(data, "[DONE]")) {
		out->done = true;
		return 0;
	}
	o = jsn_parse(data, strlen(data));
	choices = jsn_get(o, "choices");
	if (!o || jsn_len(choices) < 1)
		return -1;
	choice = json_object_array_get_idx(choices, 0);
	if (*id) {
		out->offset = (uint32_t)strtoul(id, &end, 10);
		if (*end)
			out->offset = next_offset;
	}
	str_copy(out->model, jsn_str(o, "model", ""), ENGINE_NAME_MAX);
	str_copy(out->version, jsn_str(o, "system_fingerprint", ""),
		 ENGINE_NAME_MAX);
	str_copy(out->finish, jsn_str(choice, "finish_reason", ""),
		 sizeof(out->finish));
	text = token_text(choice);
	if (text && *text) {
		if (strlen(text) >= sizeof(out->text))
			return -1;
		out->is_token = true;
		strcpy(out->text, text);
	}
	return 0;
}

static size_t read_names(struct json_object *list, char names[8][48])
{
	size_t n = 0, i;

	for (i = 0; i < jsn_len(list) && n < 8; i++) {
		const char *s = json_object_get_string(
			json_object_array_get_idx(list, i));

		str_copy(names[n++], s ? s : "", ENGINE_NAME_MAX);
	}
	return n;
}

int engine_read_state(const char *text, size_t len, struct engine_state *out)
{
	JSN_AUTO *o = jsn_parse(text, len);

	memset(out, 0, sizeof(*out));
	if (!o || !json_object_is_type(o, json_type_object))
		return -1;
	str_copy(out->model, jsn_str(o, "model", ""), ENGINE_NAME_MAX);
	str_copy(out->version, jsn_str(o, "version", ""), ENGINE_NAME_MAX);
	str_copy(out->role, jsn_str(o, "role", ""), sizeof(out->role));
	out->nr_adapters = read_names(jsn_get(o, "adapters"), out->adapters);
	out->fence = jsn_int(o, "fence", 0);
	out->ready = jsn_bool(o, "ready", false);
	out->leaving = jsn_bool(o, "leaving", false);
	out->running = jsn_int(o, "running", 0);
	out->waiting = jsn_int(o, "waiting", 0);
	out->slots = jsn_int(o, "slots", 1);
	out->load_age_ms = jsn_int(o, "load_age_ms", 0);
	out->cache_seq = jsn_int(o, "cache_seq", 0);
	out->cache_first = jsn_int(o, "cache_first", 0);
	out->streams = jsn_int(o, "streams", 0);
	out->mb_cached = jsn_int(o, "mb_cached", 0);
	return 0;
}

void engine_print_order(const struct engine_order *o, struct buf *out)
{
	size_t i;

	buf_fmt(out,
		"{\"model\":\"%s\",\"version\":\"%s\",\"role\":\"%s\","
		"\"fence\":%llu,\"adapters\":[",
		o->model, o->version, o->role, (unsigned long long)o->fence);
	for (i = 0; i < o->nr_adapters; i++)
		buf_fmt(out, "%s\"%s\"", i ? "," : "", o->adapters[i]);
	buf_str(out, "]}");
}

static bool has_name(const char names[8][48], size_t n, const char *want)
{
	size_t i;

	for (i = 0; i < n; i++) {
		if (!strcmp(names[i], want))
			return true;
	}
	return false;
}

bool engine_matches_order(const struct engine_state *s,
			  const struct engine_order *o)
{
	size_t i;

	if (strcmp(s->model, o->model) || strcmp(s->version, o->version) ||
	    strcmp(s->role, o->role))
		return false;
	for (i = 0; i < o->nr_adapters; i++) {
		if (!has_name((const char(*)[48])s->adapters, s->nr_adapters,
			      o->adapters[i]))
			return false;
	}
	return true;
}
