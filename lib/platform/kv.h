/*
 * kv: interface to the platform's key-value service.
 *
 * The production implementation uses the JSON gateway of etcd v3 (kv_etcd.c);
 * tests use fakes. Every call has a time limit. A call that fails with
 * ERR_TIMEOUT or ERR_IO may have taken effect; one that fails with ERR_REFUSED
 * has not.
 */
#ifndef KV_H
#define KV_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/err.h"

/* Size of a key buffer in bytes, with the terminating NUL. */
#define KV_KEY_MAX 160

struct kv;

/* A key, its value and its revisions. */
struct kv_pair {
	char key[KV_KEY_MAX];
	char *value;	    /* owned; NUL-terminated */
	size_t len;	    /* of value, in bytes */
	int64_t mod_rev;    /* revision of the last write */
	int64_t create_rev; /* revision of the creation */
	int64_t lease;	    /* attached lease; 0: none */
};

/* Result of a range read; release with kv_pairs_free(). */
struct kv_pairs {
	struct kv_pair *rows; /* owned */
	size_t nr;
	int64_t revision; /* of the store at the time of the read */
};

/* Declares a kv_pairs that is freed at the end of its scope. */
#define KV_PAIRS_AUTO __attribute__((cleanup(kv_pairs_free))) struct kv_pairs
/* Frees the rows and their values and resets `p` to empty. */
void kv_pairs_free(struct kv_pairs *p);

/* One write of a transaction. A NULL `value` deletes the key. */
struct kv_put {
	const char *key;
	const char *value;
	int64_t lease; /* lease to attach; 0: none */
};

/* Condition: the key's mod revision is `mod_rev`; 0: the key doesn't exist. */
struct kv_compare {
	const char *key;
	int64_t mod_rev;
};

/* A change seen by a watch. The pair is valid during the callback only. */
struct kv_event {
	bool deleted;
	struct kv_pair pair;
};

/*
 * Operations of a client. Those that return int return 0, or -1 with `e` set.
 */
struct kv_vtable {
	/*
	 * If `prefix` is true, reads all pairs whose keys begin with `key`,
	 * which must not be empty; otherwise only the pair of `key`. A missing
	 * key is no error: `out->nr` is 0.
	 */
	int (*range)(struct kv *kv, const char *key, bool prefix,
		     struct kv_pairs *out, struct err *e);
	/*
	 * Applies all puts atomically if all compares hold. `*succeeded` is
	 * false if one didn't hold. Returns 0 only if the reply arrived.
	 * Sets `*revision` to the store's revision unless `revision` is NULL.
	 */
	int (*txn)(struct kv *kv, const struct kv_compare *cmp, size_t nr_cmp,
		   const struct kv_put *puts, size_t nr_puts, bool *succeeded,
		   int64_t *revision, struct err *e);
	/* Grants a lease of `ttl_s` seconds and stores its id in `*id`. */
	int (*lease_grant)(struct kv *kv, int64_t ttl_s, int64_t *id,
			   struct err *e);
	/* Renews a lease. ERR_NOT_FOUND: it has expired or was revoked. */
	int (*lease_keep)(struct kv *kv, int64_t id, struct err *e);
	/* Revokes a lease; the service deletes the keys attached to it. */
	int (*lease_revoke)(struct kv *kv, int64_t id, struct err *e);
	/*
	 * Calls `fn` with each change under a prefix from revision `from` on,
	 * until `fn` returns false, the stream ends or the time limit passes.
	 * Also calls `fn` with NULL from time to time (kv_etcd.c: after each
	 * message from the service), so that it can stop the watch without a
	 * change. Returns 0 also at the time limit; the caller then starts the
	 * watch again.
	 */
	int (*watch)(struct kv *kv, const char *prefix, int64_t from,
		     bool (*fn)(const struct kv_event *ev, void *arg),
		     void *arg, struct err *e);
	/* Releases the client. */
	void (*free)(struct kv *kv);
};

/* Base of a client: the first member of the client's struct. */
struct kv {
	const struct kv_vtable *vt;
};

struct hcl;
/*
 * Creates a client of the etcd v3 JSON gateway at `address` (copied). Uses `h`,
 * which must outlive it. Release with vt->free().
 */
struct kv *kv_etcd_create(struct hcl *h, const char *address);

#endif
