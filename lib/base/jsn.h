/*
 * jsn: JSON with comments, read into structs by a table of fields.
 *
 * A table names every field that may stand in an object, its type, range and
 * where it goes. Reading checks the whole text and reports the first fault
 * with line and column: unknown names, missing names, wrong types, values out
 * of range, duplicate or trailing text. Nothing is half-read: on an error the
 * target's content is unspecified and must not be used.
 */
#ifndef JSN_H
#define JSN_H

#include <json-c/json.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/err.h"

enum jsn_type {
	JSN_STR,     /* char[size]; letters per `pattern` */
	JSN_INT,     /* int64_t in [min, max] */
	JSN_DBL,     /* double in [min, max] */
	JSN_BOOL,    /* bool */
	JSN_ENUM,    /* int: index into `names` */
	JSN_OBJ,     /* a nested struct read by `fields` */
	JSN_LIST,    /* an array of structs: `stride`, `max`, `count_at` */
	JSN_STRLIST, /* an array of char[size] */
};

enum jsn_pattern {
	JSN_ANY,  /* any text that fits */
	JSN_NAME, /* lower-case letters, digits, '-', '.', '_' */
	JSN_HEX,  /* lower-case hex digits */
};

struct jsn_field {
	const char *name;
	enum jsn_type type;
	size_t at;	  /* offset in the target struct */
	size_t size;	  /* strings: bytes with the NUL */
	double min, max;  /* numbers: range; lists: bounds on the count */
	const char *unit; /* numbers: the unit named in errors */
	bool optional;
	enum jsn_pattern pattern;
	const char *const *names;	/* enums, ended by NULL */
	const struct jsn_field *fields; /* objects and lists */
	size_t stride;			/* lists: bytes of one element */
	size_t count_at;		/* lists: offset of a size_t */
};

/* Ends a table of fields. */
#define JSN_END                                                              \
	{                                                                    \
		NULL, JSN_STR, 0, 0, 0, 0, NULL, false, JSN_ANY, NULL, NULL, \
			0, 0                                                 \
	}

/*
 * Reads `text` into `target` by `fields`. `what` names the text in errors
 * (a file name). Optional fields that are missing leave the target as it is,
 * so defaults are set before. Returns 0, or -1 with ERR_INVALID.
 */
int jsn_read(const char *what, const char *text, const struct jsn_field *fields,
	     void *target, struct err *e);

/*
 * Reports a fault found after reading (a name that does not exist, say) at
 * the position of `path`, such as "accounts[2].name". Returns -1.
 */
int jsn_error_at(const char *what, const char *text, const char *path,
		 struct err *e, const char *fmt, ...)
	__attribute__((format(printf, 5, 6)));

/* The line and column (from 1) of the value at `path`; false if not there. */
bool jsn_locate(const char *text, const char *path, int *line, int *col);

/* Parses a whole text without comments' help for messages; NULL if wrong. */
struct json_object *jsn_parse(const char *text, size_t len);

/* Clean-up attribute for json-c objects. */
#define JSN_AUTO __attribute__((cleanup(jsn_put))) struct json_object
void jsn_put(struct json_object **o);

/* Lenient look-ups in replies of outside systems; defaults when missing. */
const char *jsn_str(struct json_object *o, const char *name, const char *dflt);
int64_t jsn_int(struct json_object *o, const char *name, int64_t dflt);
double jsn_dbl(struct json_object *o, const char *name, double dflt);
bool jsn_bool(struct json_object *o, const char *name, bool dflt);
struct json_object *jsn_get(struct json_object *o, const char *name);
size_t jsn_len(struct json_object *array);

#endif
