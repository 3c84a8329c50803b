/*
 * jsn: JSON. Reads JSON text, which may have comments, into structs according
 * to a table of fields.
 *
 * The table lists every field that an object may have, with its type, range and
 * offset in the struct. Reading validates the whole text and reports the first
 * error with line and column: unknown, missing and duplicate names, wrong
 * types, values out of range, trailing text. After an error, the content of the
 * target is unspecified and must not be used.
 */
#ifndef JSN_H
#define JSN_H

#include <json-c/json.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/err.h"

enum jsn_type {
	JSN_STR,     /* char[size]; characters by `pattern` */
	JSN_INT,     /* int64_t in [min, max] */
	JSN_DBL,     /* double in [min, max] */
	JSN_BOOL,    /* bool */
	JSN_ENUM,    /* int: index into `names` */
	JSN_OBJ,     /* a nested struct read by `fields` */
	JSN_LIST,    /* an array with room for `max` structs */
	JSN_STRLIST, /* an array of char[size]; otherwise like JSN_LIST */
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
	double min, max;  /* numbers: range; lists: range of the count */
	const char *unit; /* numbers: unit, for error messages */
	bool optional;	  /* may be missing */
	enum jsn_pattern pattern;
	const char *const *names; /* enums: names of the values, then NULL */
	const struct jsn_field *fields; /* objects and lists */
	size_t stride;			/* lists: size of an element, bytes */
	size_t count_at; /* lists: offset of a size_t, the count */
};

/* Terminates a table of fields. */
#define JSN_END                                                              \
	{                                                                    \
		NULL, JSN_STR, 0, 0, 0, 0, NULL, false, JSN_ANY, NULL, NULL, \
			0, 0                                                 \
	}

/*
 * Reads `text` into the struct `target` according to `fields`. `what` names the
 * text in error messages (a file name). Optional fields that are missing leave
 * the target unchanged, so set defaults before. Returns 0, or -1 with
 * ERR_INVALID.
 */
int jsn_read(const char *what, const char *text, const struct jsn_field *fields,
	     void *target, struct err *e);

/*
 * Sets *e to an error that was found after reading, such as a reference to a
 * name that does not exist, with the position of `path`, such as
 * "accounts[2].name". Returns -1.
 */
int jsn_error_at(const char *what, const char *text, const char *path,
		 struct err *e, const char *fmt, ...)
	__attribute__((format(printf, 5, 6)));

/*
 * Finds the line and column (from 1) of the value at `path`. If it does not
 * exist, returns false and the position where the search ended.
 */
bool jsn_locate(const char *text, const char *path, int *line, int *col);

/*
 * Parses a text of `len` bytes without reporting positions. Returns NULL if it
 * is not valid JSON or has 1 GiB or more. Text after the value is ignored. Free
 * with jsn_put, json_object_put or JSN_AUTO.
 */
struct json_object *jsn_parse(const char *text, size_t len);

/* Declares a json-c object that is released when it goes out of scope. */
#define JSN_AUTO __attribute__((cleanup(jsn_put))) struct json_object
void jsn_put(struct json_object **o);

/*
 * Lenient look-ups in responses of external systems: `dflt` (jsn_get: NULL,
 * jsn_len: 0) if the member is missing or of another type. `o` may be NULL.
 * Strings and objects belong to `o`. jsn_int also reads numbers in strings.
 */
const char *jsn_str(struct json_object *o, const char *name, const char *dflt);
int64_t jsn_int(struct json_object *o, const char *name, int64_t dflt);
double jsn_dbl(struct json_object *o, const char *name, double dflt);
bool jsn_bool(struct json_object *o, const char *name, bool dflt);
struct json_object *jsn_get(struct json_object *o, const char *name);
size_t jsn_len(struct json_object *array);

#endif
