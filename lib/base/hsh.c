#include "base/hsh.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

uint64_t hsh_bytes(const void *data, size_t len, uint64_t seed)
{
	return XXH3_64bits_withSeed(data, len, seed);
}

uint64_t hsh_str(const char *s, uint64_t seed)
{
	return hsh_bytes(s, strlen(s), seed);
}

struct hsh128 hsh128(const void *data, size_t len)
{
	const XXH128_hash_t h = XXH3_128bits(data, len);

	return (struct hsh128){ h.high64, h.low64 };
}

struct hsh128 hsh128_combine(struct hsh128 a, struct hsh128 b)
{
	const uint64_t all[4] = { a.hi, a.lo, b.hi, b.lo };

	return hsh128(all, sizeof(all));
}

void hsh128_hex(struct hsh128 h, char out[33])
{
	snprintf(out, 33, "%016llx%016llx", (unsigned long long)h.hi,
		 (unsigned long long)h.lo);
}

bool hsh128_parse(const char *text, struct hsh128 *out)
{
	char half[17];

	if (strlen(text) != 32 ||
	    strspn(text, "0123456789abcdef") != strlen(text))
		return false;
	memcpy(half, text, 16);
	half[16] = '\0';
	out->hi = strtoull(half, NULL, 16);
	out->lo = strtoull(text + 16, NULL, 16);
	return true;
}

uint64_t hsh_rendezvous(uint64_t key, uint64_t node)
{
	const uint64_t pair[2] = { key, node };

	return hsh_bytes(pair, sizeof(pair), 0);
}

static void to_hex(const unsigned char *bytes, size_t n, char *out)
{
	static const char digits[] = "0123456789abcdef";
	size_t i;

	for (i = 0; i < n; i++) {
		out[2 * i] = digits[bytes[i] >> 4];
		out[2 * i + 1] = digits[bytes[i] & 15];
	}
	out[2 * n] = '\0';
}

void hsh_sha256_hex(const char *s, char out[65])
{
	unsigned char md[32];

	EVP_Digest(s, strlen(s), md, NULL, EVP_sha256(), NULL);
	to_hex(md, sizeof(md), out);
}

void hsh_mac16(const char *secret, const char *data, char out[17])
{
	unsigned char md[EVP_MAX_MD_SIZE];
	unsigned int n = 0;

	HMAC(EVP_sha256(), secret, (int)strlen(secret),
	     (const unsigned char *)data, strlen(data), md, &n);
	to_hex(md, 8, out);
}

bool hsh_equal_secret(const char *a, const char *b)
{
	const size_t n = strlen(a);

	return n == strlen(b) && !CRYPTO_memcmp(a, b, n);
}
