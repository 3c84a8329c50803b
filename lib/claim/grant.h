/*
 * grant: the prefix of request keys that an entry issues to clients.
 *
 * A request key is GRANT.SUFFIX. The grant names the view and the slot whose
 * judges decide about the key, and the time at which the grant was issued. It
 * carries a MAC with a secret from the settings and is bound to a client
 * account, so that clients can neither forge the time of issue nor use the
 * grant of another account.
 */
#ifndef GRANT_H
#define GRANT_H

#include <stdint.h>

#include "base/err.h"

/* Sizes in bytes, including the terminating NUL. */
#define GRANT_MAX 72
#define GRANT_KEY_MAX 160

/* Maximum length of a suffix in bytes. */
#define GRANT_SUFFIX_MAX 64

struct grant {
	uint64_t view;
	int64_t issued_ms; /* ms since the Unix epoch */
	char nonce[9];	   /* 8 hex digits; its hash selects the slot */
};

/* Writes the text of `g`, signed for `account`, to `out`. */
void grant_print(const struct grant *g, const char *account, const char *secret,
		 char out[GRANT_MAX]);

/*
 * Parses and verifies the grant of a request key. Returns 0, or -1 with
 * ERR_INVALID (malformed) or ERR_DENIED (wrong MAC: forged, or issued to
 * another account).
 */
int grant_parse(const char *key, const char *account, const char *secret,
		struct grant *out, struct err *e);

/*
 * Returns 1 if `key` has the form of a grant, a dot and a suffix of
 * [A-Za-z0-9_-], else 0. The grant is not verified.
 */
int grant_has_form(const char *key);

#endif
