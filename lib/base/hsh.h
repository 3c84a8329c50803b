/*
 * hsh: hash. Hashes for tables and load distribution, and digests for secrets.
 */
#ifndef HSH_H
#define HSH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * 64-bit hash (XXH3) for tables and rendezvous hashing; not cryptographic, not
 * for secrets.
 */
uint64_t hsh_bytes(const void *data, size_t len, uint64_t seed);
uint64_t hsh_str(const char *s, uint64_t seed);

/*
 * 128-bit hash (XXH3): data with equal hashes is taken to be equal without
 * comparing the bytes. Not for secrets.
 */
struct hsh128 {
	uint64_t hi, lo;
};

struct hsh128 hsh128(const void *data, size_t len);

/* Hash of two hashes in sequence; depends on their order. */
struct hsh128 hsh128_combine(struct hsh128 a, struct hsh128 b);

static inline bool hsh128_equal(struct hsh128 a, struct hsh128 b)
{
	return a.hi == b.hi && a.lo == b.lo;
}

/* Writes 32 lower-case hex digits and NUL. */
void hsh128_hex(struct hsh128 h, char out[33]);

/* Parses the output of hsh128_hex. False if the text is anything else. */
bool hsh128_parse(const char *text, struct hsh128 *out);

/*
 * Rendezvous weight of a node for a key: the node with the highest weight is
 * chosen.
 */
uint64_t hsh_rendezvous(uint64_t key, uint64_t node);

/* Writes the SHA-256 of a string as 64 lower-case hex digits and NUL. */
void hsh_sha256_hex(const char *s, char out[65]);

/*
 * Writes the first 16 lower-case hex digits of the HMAC-SHA256 of `data` with
 * the key `secret`, and NUL.
 */
void hsh_mac16(const char *secret, const char *data, char out[17]);

/*
 * True if the strings are equal. The time does not depend on where they differ,
 * only on their lengths.
 */
bool hsh_equal_secret(const char *a, const char *b);

#endif
