/*
 * cloud: interface to the cloud platform.
 *
 * Lists, starts and stops instances and reads offers and reclaim notices.
 * docs/INTERFACES.md specifies the HTTP form.
 */
#ifndef CLOUD_H
#define CLOUD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/err.h"

/* Size of a name buffer in bytes, with the terminating NUL. */
#define CLOUD_NAME_MAX 48

/* Life cycle of an instance, in this order. */
enum cloud_state {
	CLOUD_STARTING,
	CLOUD_RUNNING,
	CLOUD_LEAVING, /* still running, about to end */
	CLOUD_GONE
};

/* An instance as the platform reports it, or the one to start. */
struct cloud_instance {
	char id[CLOUD_NAME_MAX];
	char address[64];
	char zone[CLOUD_NAME_MAX];
	char class_name[CLOUD_NAME_MAX];
	bool reclaimable; /* spot; false: on-demand */
	enum cloud_state state;
	char service[CLOUD_NAME_MAX];
	char kind[8];		   /* "engine" or "plain" */
	char role[CLOUD_NAME_MAX]; /* model or plain service it serves */
	int64_t end_in_ms;	   /* time left if CLOUD_LEAVING; -1: unknown */
};

/* All instances at one version of the platform's list. */
struct cloud_list {
	struct cloud_instance *rows; /* owned; release with free() */
	size_t nr;
	int64_t version; /* increases with each change of the list */
};

/* A reclaim notice: the platform will take this instance back. */
struct cloud_notice {
	char instance[CLOUD_NAME_MAX];
	int64_t end_in_ms; /* time until the instance ends, from now */
};

/* Price and reclaim rate of one instance class in one zone. */
struct cloud_offer {
	char zone[CLOUD_NAME_MAX];
	char class_name[CLOUD_NAME_MAX];
	bool reclaimable; /* spot; false: on-demand */
	double price_per_h;
	double reclaims_per_h;
};

struct cloud;

/*
 * Operations of a platform client. Those that return int return 0, or -1 with
 * `e` set.
 */
struct cloud_vtable {
	/* Reads all instances. The caller frees `out->rows`. */
	int (*list)(struct cloud *c, struct cloud_list *out, struct err *e);
	/*
	 * Reads up to `max` notices with a sequence number above `*seq` into
	 * `out` and their number into `*n`. Sets `*seq` to the sequence number
	 * of the last notice read. Long poll: the platform may hold the call
	 * until it has a notice or the poll's wait time has passed.
	 */
	int (*notices)(struct cloud *c, int64_t *seq, struct cloud_notice *out,
		       size_t max, size_t *n, struct err *e);
	/* Reads up to `max` offers into `out` and their number into `*n`. */
	int (*offers)(struct cloud *c, struct cloud_offer *out, size_t max,
		      size_t *n, struct err *e);
	/*
	 * Starts an instance as described by `want`. `token` makes the call
	 * idempotent: a retry passes the same token.
	 * ERR_FULL: the platform refused because it has no capacity.
	 */
	int (*start)(struct cloud *c, const char *token,
		     const struct cloud_instance *want, struct err *e);
	/* Stops the instance. ERR_NOT_FOUND: there is none with this id. */
	int (*stop)(struct cloud *c, const char *id, struct err *e);
	/*
	 * Reads the bandwidth of weight downloads in megabytes per second,
	 * shared by all loads; -1 if the platform doesn't report it.
	 */
	int (*weight_rate)(struct cloud *c, double *mb_per_s, struct err *e);
	/* Releases the client. */
	void (*free)(struct cloud *c);
};

/* Base of a platform client: the first member of the client's struct. */
struct cloud {
	const struct cloud_vtable *vt;
};

struct hcl;
/*
 * Creates a client of the platform's HTTP API at `address` (copied). Uses
 * `h`, which must outlive it. Release with vt->free().
 */
struct cloud *cloud_http_create(struct hcl *h, const char *address);

struct json_object;
struct buf;
/*
 * Appends the JSON object of one instance to `out`. The platform's list and
 * the messages between peers use the same form. Omits `end_in_ms`; does not
 * escape `address` and `kind`.
 */
void cloud_print_instance(const struct cloud_instance *in, struct buf *out);
/*
 * Reads such an object. Missing strings become "", a missing `end_in_ms` -1,
 * and a missing or unknown state CLOUD_GONE.
 */
void cloud_read_instance(struct json_object *o, struct cloud_instance *in);
/* Returns the state's name in JSON; a static string. */
const char *cloud_state_name(enum cloud_state s);

#endif
