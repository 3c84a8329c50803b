/*
 * grant: the prefix of request keys that an entry hands to callers.
 *
 * A key is GRANT.SUFFIX; the grant names the view and the slot whose judges
 * decide about the key, and when it was born. It is authenticated with a key
 * from the settings and bound to a client account, so callers can neither
 * mint births nor use another account's grant.
 */
#ifndef GRANT_H
#define GRANT_H

#include <stdint.h>

#include "base/err.h"

#define GRANT_MAX 72
#define GRANT_KEY_MAX 160
#define GRANT_SUFFIX_MAX 64

struct grant {
	uint64_t view;
	int64_t issued_ms; /* wall clock */
	char nonce[9];	   /* 8 hex digits; its hash is the slot */
};

/* Writes the text of `g` for `account`. */
void grant_print(const struct grant *g, const char *account, const char *secret,
		 char out[GRANT_MAX]);

/*
 * Reads the grant of a request key. Returns 0, or -1 with ERR_INVALID (not
 * of the form) or ERR_DENIED (not ours, or another account's).
 */
int grant_parse(const char *key, const char *account, const char *secret,
		struct grant *out, struct err *e);

/* True if `key` is a grant, a dot and a suffix of [A-Za-z0-9_-]. */
int grant_has_form(const char *key);

#endif
