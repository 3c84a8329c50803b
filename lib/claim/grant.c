#include "claim/grant.h"

#include <ctype.h>
#include <stdio.h>
#include <string.h>

#include "base/buf.h"
#include "base/hsh.h"

/* The account is covered by the MAC, but not part of the text. */
static void grant_mac(const char *body, const char *account, const char *secret,
		      char out[17])
{
	char signed_text[GRANT_MAX + 64];

	snprintf(signed_text, sizeof(signed_text), "grant|%s|%s", body,
		 account);
	hsh_mac16(secret, signed_text, out);
}

void grant_print(const struct grant *g, const char *account, const char *secret,
		 char out[GRANT_MAX])
{
	char body[GRANT_MAX];
	char mac[17];

	snprintf(body, sizeof(body), "g%llx-%llx-%s",
		 (unsigned long long)g->view, (unsigned long long)g->issued_ms,
		 g->nonce);
	grant_mac(body, account, secret, mac);
	snprintf(out, GRANT_MAX, "%.52s-%s", body, mac);
}

int grant_has_form(const char *key)
{
	const char *dot = strchr(key, '.');
	const char *p;

	if (key[0] != 'g' || !dot || dot - key >= GRANT_MAX)
		return 0;
	if (!dot[1] || strlen(dot + 1) > GRANT_SUFFIX_MAX)
		return 0;
	for (p = dot + 1; *p; p++) {
		if (!isalnum((unsigned char)*p) && *p != '-' && *p != '_')
			return 0;
	}
	return 1;
}

int grant_parse(const char *key, const char *account, const char *secret,
		struct grant *out, struct err *e)
{
	char text[GRANT_MAX], mac[17];
	unsigned long long view, issued;
	char *last;
	int end = 0;

	if (!grant_has_form(key))
		return err_set(e, ERR_INVALID,
			       "the key is not GRANT.SUFFIX with a grant from "
			       "/v1/entries and a suffix of 1 to 64 letters, "
			       "digits, - or _");
	str_copy(text, key, (size_t)(strchr(key, '.') - key) + 1);
	last = strrchr(text, '-');
	if (!last)
		return err_set(e, ERR_INVALID, "the grant is not complete");
	*last = '\0';
	grant_mac(text, account, secret, mac);
	if (!hsh_equal_secret(mac, last + 1))
		return err_set(e, ERR_DENIED,
			       "the grant is not one that this service gave "
			       "to this account");
	if (sscanf(text, "g%llx-%llx-%8[0-9a-f]%n", &view, &issued, out->nonce,
		   &end) != 3 ||
	    text[end])
		return err_set(e, ERR_INVALID, "the grant cannot be read");
	out->view = view;
	out->issued_ms = (int64_t)issued;
	return 0;
}
