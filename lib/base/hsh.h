/*
 * hsh: hashing for spreading work, and digests for secrets.
 */
#ifndef HSH_H
#define HSH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* A 64-bit hash for tables and rendezvous hashing; not for secrets. */
uint64_t hsh_bytes(const void *data, size_t len, uint64_t seed);
uint64_t hsh_str(const char *s, uint64_t seed);

/* 128 bits, for telling contents apart that nobody compares; not for secrets. */
struct hsh128 {
	uint64_t hi, lo;
};

struct hsh128 hsh128(const void *data, size_t len);

/* Of two contents in this order. */
struct hsh128 hsh128_combine(struct hsh128 a, struct hsh128 b);

static inline bool hsh128_equal(struct hsh128 a, struct hsh128 b)
{
	return a.hi == b.hi && a.lo == b.lo;
}

/* 32 hex digits; `out` holds 33 bytes. */
void hsh128_hex(struct hsh128 h, char out[33]);

/* False if the text is no such digits. */
bool hsh128_parse(const char *text, struct hsh128 *out);

/* The rendezvous weight of a node for a key: the highest weight wins. */
uint64_t hsh_rendezvous(uint64_t key, uint64_t node);

/* Lower-case hex SHA-256 of a string; `out` holds 65 bytes. */
void hsh_sha256_hex(const char *s, char out[65]);

/* The first 16 hex digits of an HMAC-SHA256; `out` holds 17 bytes. */
void hsh_mac16(const char *secret, const char *data, char out[17]);

/* Compares strings in time that does not depend on where they differ. */
bool hsh_equal_secret(const char *a, const char *b);

#endif
