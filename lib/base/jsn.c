#include "base/jsn.h"

#include <ctype.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

/*
 * Limit of the nesting depth. The texts of this project nest 5 levels deep;
 * much deeper ones are a mistake or an attack.
 */
#define JSN_MAX_DEPTH 24

/* Bytes of a path from the root, such as "models[0].name", with NUL. */
#define JSN_PATH_MAX 256

struct jsn_reader {
	const char *source;
	const char *text;
	struct err *e;
	char path[JSN_PATH_MAX];
};

/* ---- Finding positions ---- */

struct scan {
	const char *text;
	const char *p;
};

static void scan_space(struct scan *s)
{
	for (;;) {
		while (*s->p && isspace((unsigned char)*s->p))
			s->p++;
		if (s->p[0] == '/' && s->p[1] == '/') {
			s->p += strcspn(s->p, "\n");
		} else if (s->p[0] == '/' && s->p[1] == '*') {
			const char *end = strstr(s->p + 2, "*/");

			s->p = end ? end + 2 : s->p + strlen(s->p);
		} else {
			return;
		}
	}
}

static void scan_string(struct scan *s)
{
	const char quote = *s->p++;

	while (*s->p && *s->p != quote) {
		if (*s->p == '\\' && s->p[1])
			s->p++;
		s->p++;
	}
	if (*s->p)
		s->p++;
}

static void scan_value(struct scan *s)
{
	int depth = 0;

	do {
		scan_space(s);
		if (*s->p == '"' || *s->p == '\'') {
			scan_string(s);
		} else if (*s->p == '{' || *s->p == '[') {
			depth++;
			s->p++;
		} else if (*s->p == '}' || *s->p == ']') {
			depth--;
			s->p++;
		} else if (*s->p == ',' || *s->p == ':') {
			s->p++;
		} else if (*s->p) {
			s->p += strcspn(s->p, ",:{}[]\"'/ \t\r\n");
		}
	} while (depth > 0 && *s->p);
}

/* Moves to the value of an object's member; false if there is none. */
static bool scan_member(struct scan *s, const char *name, size_t len)
{
	scan_space(s);
	if (*s->p != '{')
		return false;
	s->p++;
	for (;;) {
		const char *start;
		bool same;

		scan_space(s);
		if (*s->p != '"' && *s->p != '\'')
			return false;
		start = s->p + 1;
		scan_string(s);
		same = (size_t)(s->p - start) == len + 1 &&
		       !memcmp(start, name, len);
		scan_space(s);
		if (*s->p == ':')
			s->p++;
		scan_space(s);
		if (same)
			return true;
		scan_value(s);
		scan_space(s);
		if (*s->p != ',')
			return false;
		s->p++;
	}
}

static bool scan_index(struct scan *s, long index)
{
	scan_space(s);
	if (*s->p != '[')
		return false;
	s->p++;
	scan_space(s);
	while (index-- > 0) {
		scan_value(s);
		scan_space(s);
		if (*s->p != ',')
			return false;
		s->p++;
		scan_space(s);
	}
	return true;
}

static void offset_to_line(const char *text, size_t off, int *line, int *col)
{
	size_t i;

	*line = 1;
	*col = 1;
	for (i = 0; i < off && text[i]; i++) {
		(*col)++;
		if (text[i] == '\n') {
			(*line)++;
			*col = 1;
		}
	}
}

bool jsn_locate(const char *text, const char *path, int *line, int *col)
{
	struct scan s = { text, text };
	bool found = true;

	scan_space(&s);
	while (*path && found) {
		if (*path == '[') {
			found = scan_index(&s, strtol(path + 1, NULL, 10));
			path += strcspn(path, "]");
			path += *path == ']';
		} else {
			const size_t n = strcspn(path, ".[");

			found = scan_member(&s, path, n);
			path += n;
		}
		if (*path == '.')
			path++;
	}
	offset_to_line(text, (size_t)(s.p - text), line, col);
	return found;
}

/* ---- Reporting ---- */

static int verror_at(const char *what, const char *text, const char *path,
		     struct err *e, const char *fmt, va_list ap)
{
	char msg[200];
	int line, col;

	vsnprintf(msg, sizeof(msg), fmt, ap);
	jsn_locate(text, path, &line, &col);
	return err_set(e, ERR_INVALID, "%s:%d:%d: %s%s%s", what, line, col,
		       path, *path ? ": " : "", msg);
}

int jsn_error_at(const char *what, const char *text, const char *path,
		 struct err *e, const char *fmt, ...)
{
	va_list ap;
	int ret;

	va_start(ap, fmt);
	ret = verror_at(what, text, path, e, fmt, ap);
	va_end(ap);
	return ret;
}

__attribute__((format(printf, 2, 3))) static int fail(struct jsn_reader *r,
						      const char *fmt, ...)
{
	va_list ap;
	int ret;

	va_start(ap, fmt);
	ret = verror_at(r->source, r->text, r->path, r->e, fmt, ap);
	va_end(ap);
	return ret;
}

/* ---- Reading values ---- */

static bool pattern_ok(enum jsn_pattern pattern, const char *s)
{
	if (pattern == JSN_ANY)
		return true;
	if (!*s)
		return false;
	for (; *s; s++) {
		const bool hex = isdigit((unsigned char)*s) ||
				 (*s >= 'a' && *s <= 'f');
		const bool name = isdigit((unsigned char)*s) ||
				  (*s >= 'a' && *s <= 'z') || strchr("-._", *s);

		if (pattern == JSN_HEX ? !hex : !name)
			return false;
	}
	return true;
}

static int read_str(struct jsn_reader *r, const struct jsn_field *f,
		    struct json_object *v, char *dst)
{
	const char *s;

	if (!json_object_is_type(v, json_type_string))
		return fail(r, "a string is expected");
	s = json_object_get_string(v);
	if (strlen(s) != (size_t)json_object_get_string_len(v))
		return fail(r, "the string has a NUL character inside");
	if (strlen(s) >= f->size)
		return fail(r, "longer than %zu characters", f->size - 1);
	if (!pattern_ok(f->pattern, s))
		return fail(r, f->pattern == JSN_HEX
				       ? "hex digits 0-9 a-f are expected"
				       : "a name of a-z 0-9 - . _ is expected");
	memcpy(dst, s, strlen(s) + 1);
	return 0;
}

static int read_num(struct jsn_reader *r, const struct jsn_field *f,
		    struct json_object *v, char *dst)
{
	const bool whole = json_object_is_type(v, json_type_int);
	const double d = json_object_get_double(v);
	const char *unit = f->unit ? f->unit : "";

	if (f->type == JSN_INT && !whole)
		return fail(r, "a whole number is expected");
	if (!whole && !json_object_is_type(v, json_type_double))
		return fail(r, "a number is expected");
	if (!(d >= f->min && d <= f->max))
		return fail(r, "%g is out of range: %g to %g%s%s", d, f->min,
			    f->max, *unit ? " " : "", unit);
	if (f->type == JSN_INT)
		*(int64_t *)(void *)dst = json_object_get_int64(v);
	else
		*(double *)(void *)dst = d;
	return 0;
}

static int read_enum(struct jsn_reader *r, const struct jsn_field *f,
		     struct json_object *v, char *dst)
{
	char allowed[120] = "";
	const char *s;
	int i;

	if (!json_object_is_type(v, json_type_string))
		return fail(r, "a string is expected");
	s = json_object_get_string(v);
	for (i = 0; f->names[i]; i++) {
		const size_t n = strlen(allowed);

		if (!strcmp(s, f->names[i])) {
			*(int *)(void *)dst = i;
			return 0;
		}
		snprintf(allowed + n, sizeof(allowed) - n, "%s%s",
			 i ? ", " : "", f->names[i]);
	}
	return fail(r, "\"%.40s\" is not one of: %s", s, allowed);
}

static int read_object(struct jsn_reader *r, const struct jsn_field *fields,
		       struct json_object *o, char *target);

static int read_list(struct jsn_reader *r, const struct jsn_field *f,
		     struct json_object *v, char *target)
{
	const size_t path_len = strlen(r->path);
	size_t n, i;

	if (!json_object_is_type(v, json_type_array))
		return fail(r, "a list is expected");
	n = json_object_array_length(v);
	if ((double)n < f->min || (double)n > f->max)
		return fail(r, "%zu elements: %g to %g are allowed", n, f->min,
			    f->max);
	for (i = 0; i < n; i++) {
		struct json_object *item = json_object_array_get_idx(v, i);
		char *dst = target + f->at + i * f->stride;
		int ret;

		snprintf(r->path + path_len, sizeof(r->path) - path_len,
			 "[%zu]", i);
		if (f->type == JSN_STRLIST)
			ret = read_str(r, f, item, dst);
		else
			ret = read_object(r, f->fields, item, dst);
		if (ret)
			return ret;
		r->path[path_len] = '\0';
	}
	*(size_t *)(void *)(target + f->count_at) = n;
	return 0;
}

static int read_field(struct jsn_reader *r, const struct jsn_field *f,
		      struct json_object *v, char *target)
{
	char *dst = target + f->at;

	switch (f->type) {
	case JSN_STR:
		return read_str(r, f, v, dst);
	case JSN_INT:
	case JSN_DBL:
		return read_num(r, f, v, dst);
	case JSN_BOOL:
		if (!json_object_is_type(v, json_type_boolean))
			return fail(r, "true or false is expected");
		*(bool *)(void *)dst = json_object_get_boolean(v);
		return 0;
	case JSN_ENUM:
		return read_enum(r, f, v, dst);
	case JSN_OBJ:
		return read_object(r, f->fields, v, dst);
	case JSN_LIST:
	case JSN_STRLIST:
		return read_list(r, f, v, target);
	}
	return 0;
}

static const struct jsn_field *find_field(const struct jsn_field *fields,
					  const char *name)
{
	for (; fields->name; fields++) {
		if (!strcmp(fields->name, name))
			return fields;
	}
	return NULL;
}

static int read_object(struct jsn_reader *r, const struct jsn_field *fields,
		       struct json_object *o, char *target)
{
	const size_t path_len = strlen(r->path);
	const struct jsn_field *f;

	if (!json_object_is_type(o, json_type_object))
		return fail(r, "an object is expected");
	json_object_object_foreach(o, name, value)
	{
		f = find_field(fields, name);
		snprintf(r->path + path_len, sizeof(r->path) - path_len,
			 "%s%.60s", path_len ? "." : "", name);
		if (!f)
			return fail(r, "no such field");
		if (read_field(r, f, value, target))
			return -1;
		r->path[path_len] = '\0';
	}
	for (f = fields; f->name; f++) {
		if (!f->optional &&
		    !json_object_object_get_ex(o, f->name, NULL))
			return fail(r, "\"%s\" is missing", f->name);
	}
	return 0;
}

/* ---- Whole texts ---- */

/*
 * Finds a duplicate name in an object and leaves `s` at it. Searches the text,
 * because json-c keeps only the last of such members and reports no error: the
 * first value would be ignored silently. Only the first 128 names of an object
 * are compared.
 */
static bool has_duplicate(struct scan *s, int depth)
{
	const char *names[128];
	size_t lens[128], n = 0, i;
	const bool object = *s->p == '{';

	if (depth > JSN_MAX_DEPTH)
		return false;
	s->p++;
	for (;;) {
		scan_space(s);
		if (!*s->p || *s->p == '}' || *s->p == ']')
			break;
		if (object) {
			const char *start = s->p + 1;

			if (*s->p != '"' && *s->p != '\'')
				return false;
			scan_string(s);
			for (i = 0; i < n; i++) {
				if (lens[i] == (size_t)(s->p - start) &&
				    !memcmp(names[i], start, lens[i])) {
					s->p = start - 1;
					return true;
				}
			}
			if (n < 128) {
				names[n] = start;
				lens[n++] = (size_t)(s->p - start);
			}
			scan_space(s);
			s->p += *s->p == ':';
			scan_space(s);
		}
		if (*s->p == '{' || *s->p == '[') {
			if (has_duplicate(s, depth + 1))
				return true;
		} else {
			scan_value(s);
		}
		scan_space(s);
		if (*s->p == ',')
			s->p++;
		else if (*s->p != '}' && *s->p != ']')
			return false;
	}
	s->p += *s->p != '\0';
	return false;
}

static bool only_space_left(const char *p)
{
	struct scan s = { p, p };

	scan_space(&s);
	return !*s.p;
}

int jsn_read(const char *what, const char *text, const struct jsn_field *fields,
	     void *target, struct err *e)
{
	struct json_tokener *tok = json_tokener_new_ex(JSN_MAX_DEPTH);
	struct jsn_reader r = { what, text, e, "" };
	struct scan s = { text, text };
	struct json_object *o;
	size_t off;
	int line, col, ret;

	o = json_tokener_parse_ex(tok, text, (int)strlen(text) + 1);
	off = json_tokener_get_parse_end(tok);
	if (!o) {
		const enum json_tokener_error why = json_tokener_get_error(tok);

		offset_to_line(text, off, &line, &col);
		json_tokener_free(tok);
		return err_set(
			e, ERR_INVALID, "%s:%d:%d: %s", what, line, col,
			why == json_tokener_continue ||
					why == json_tokener_error_parse_eof
				? "unexpected end of text"
				: json_tokener_error_desc(why));
	}
	json_tokener_free(tok);
	if (off < strlen(text) && !only_space_left(text + off)) {
		offset_to_line(text, off, &line, &col);
		json_object_put(o);
		return err_set(e, ERR_INVALID,
			       "%s:%d:%d: text after the end of the object",
			       what, line, col);
	}
	scan_space(&s);
	if (*s.p == '{' && has_duplicate(&s, 0)) {
		offset_to_line(text, (size_t)(s.p - text), &line, &col);
		json_object_put(o);
		return err_set(e, ERR_INVALID,
			       "%s:%d:%d: duplicate name in its object", what,
			       line, col);
	}
	ret = read_object(&r, fields, o, target);
	json_object_put(o);
	return ret;
}

/* ---- Responses of external systems ---- */

struct json_object *jsn_parse(const char *text, size_t len)
{
	struct json_tokener *tok = json_tokener_new_ex(JSN_MAX_DEPTH);
	struct json_object *o = NULL;

	if (len < (1u << 30))
		o = json_tokener_parse_ex(tok, text, (int)len);
	if (o && json_tokener_get_error(tok) != json_tokener_success) {
		json_object_put(o);
		o = NULL;
	}
	json_tokener_free(tok);
	return o;
}

void jsn_put(struct json_object **o)
{
	if (*o)
		json_object_put(*o);
}

struct json_object *jsn_get(struct json_object *o, const char *name)
{
	struct json_object *v = NULL;

	if (!o || !json_object_is_type(o, json_type_object))
		return NULL;
	json_object_object_get_ex(o, name, &v);
	return v;
}

const char *jsn_str(struct json_object *o, const char *name, const char *dflt)
{
	struct json_object *v = jsn_get(o, name);

	if (!v || !json_object_is_type(v, json_type_string))
		return dflt;
	return json_object_get_string(v);
}

int64_t jsn_int(struct json_object *o, const char *name, int64_t dflt)
{
	struct json_object *v = jsn_get(o, name);

	/* etcd's gateway writes 64-bit numbers as strings. */
	if (v && json_object_is_type(v, json_type_string))
		return strtoll(json_object_get_string(v), NULL, 10);
	if (!v || (!json_object_is_type(v, json_type_int) &&
		   !json_object_is_type(v, json_type_double)))
		return dflt;
	return json_object_get_int64(v);
}

double jsn_dbl(struct json_object *o, const char *name, double dflt)
{
	struct json_object *v = jsn_get(o, name);

	if (!v || (!json_object_is_type(v, json_type_int) &&
		   !json_object_is_type(v, json_type_double)))
		return dflt;
	return json_object_get_double(v);
}

bool jsn_bool(struct json_object *o, const char *name, bool dflt)
{
	struct json_object *v = jsn_get(o, name);

	if (!v || !json_object_is_type(v, json_type_boolean))
		return dflt;
	return json_object_get_boolean(v);
}

size_t jsn_len(struct json_object *array)
{
	if (!array || !json_object_is_type(array, json_type_array))
		return 0;
	return json_object_array_length(array);
}
