#include "base/err.h"

#include <stdarg.h>
#include <stdio.h>

int err_set(struct err *e, enum err_code code, const char *fmt, ...)
{
	va_list ap;

	if (!e)
		return -1;
	e->code = code;
	va_start(ap, fmt);
	vsnprintf(e->text, sizeof(e->text), fmt, ap);
	va_end(ap);
	return -1;
}

bool err_is_set(const struct err *e)
{
	return e->code != ERR_NONE;
}

const char *err_name(enum err_code code)
{
	static const char *const names[] = {
		"none",	   "invalid", "not-found", "conflict", "timeout",
		"refused", "io",      "full",	   "denied",
	};

	if ((unsigned)code >= sizeof(names) / sizeof(names[0]))
		return "?";
	return names[code];
}
