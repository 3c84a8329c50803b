/*
 * doc (document): the configuration document of one service, which the
 * service's team maintains.
 *
 * docs/DOCUMENT.md is the reference. A parsed document is immutable and is
 * kept as long as its revision is in force somewhere. Validation is complete: a
 * document that doc_parse accepts can be put into force.
 */
#ifndef DOC_H
#define DOC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/err.h"

/* Size of a name in bytes, including the terminating NUL. */
#define DOC_NAME_MAX 48

/* Maximum number of elements of each list. */
#define DOC_MAX_MODELS 8
#define DOC_MAX_ADAPTERS 8
#define DOC_MAX_CLASSES 8
#define DOC_MAX_ZONES 16
#define DOC_MAX_ACCOUNTS 32
#define DOC_MAX_PLAIN 8
#define DOC_MAX_ROUTES 16

/*
 * Maximum length of a document in bytes: the key-value service stores values
 * of up to 1 MB.
 */
#define DOC_MAX_TEXT (512 * 1024)

/* Urgency of an account's requests. */
enum doc_urgency {
	DOC_INTERACTIVE,
	DOC_BATCH
};

struct doc_model {
	char name[DOC_NAME_MAX];
	char version[DOC_NAME_MAX];
	char adapters[DOC_MAX_ADAPTERS][DOC_NAME_MAX];
	size_t nr_adapters;
	int64_t min_replicas;
	int64_t max_replicas;
	double demand_tokens_per_s; /* generated tokens, peak demand */
	int64_t weights_mb;	    /* size of the model weights */
};

/* Machine class, and the capacity of one replica on it. */
struct doc_class {
	char name[DOC_NAME_MAX];
	double tokens_per_s;	     /* generated, all slots in use */
	double prefill_tokens_per_s; /* prompt tokens processed */
	int64_t slots;		     /* sequences in one batch */
	double kv_mb_per_s; /* KV cache transfer rate; 0: unsupported */
	double kv_mb_per_token;
	bool checks_fence; /* engines reject outdated fencing tokens */
};

struct doc_account {
	char name[DOC_NAME_MAX];
	char key_sha256[65]; /* of the API key, in hex */
	int urgency;	     /* enum doc_urgency */
	double weight;	     /* relative share under contention */
	double tokens_per_s; /* rate limit, over all entries */
	int64_t in_flight;   /* concurrent requests per entry */
};

/* Call of a plain service; `path` is matched as a whole. */
struct doc_route {
	char method[8];
	char path[96];
	bool repeatable; /* may be executed more than once */
};

/* Plain service: one without a model engine. */
struct doc_plain {
	char name[DOC_NAME_MAX];
	struct doc_route routes[DOC_MAX_ROUTES];
	size_t nr_routes;
	int64_t timeout_ms;
};

struct doc {
	char service[DOC_NAME_MAX];
	char zones[DOC_MAX_ZONES][DOC_NAME_MAX];
	size_t nr_zones;
	struct doc_model models[DOC_MAX_MODELS];
	size_t nr_models;
	struct doc_class classes[DOC_MAX_CLASSES];
	size_t nr_classes;
	struct doc_plain plain[DOC_MAX_PLAIN];
	size_t nr_plain;
	struct doc_account accounts[DOC_MAX_ACCOUNTS];
	size_t nr_accounts;
	int64_t first_token_ms;	   /* target: time to first token */
	int64_t between_tokens_ms; /* target: inter-token latency */
	int64_t deadline_ms;	   /* from arrival to the last token */
	double cost_weight; /* of the price; only validated, not used yet */
	double recompute_weight; /* of the expected recomputation cost */
	bool survive_zone_loss;	 /* capacity suffices without any one zone */
	bool allow_reclaimable;	 /* spot instances may be used */
};

/*
 * Parses and validates a document. `what` names the text in error messages.
 * Returns a new document (free with doc_free), or NULL with ERR_INVALID and a
 * message that begins with line and column of the first fault.
 */
struct doc *doc_parse(const char *what, const char *text, struct err *e);

/* NULL is allowed. */
void doc_free(struct doc *d);

/* Return the element with this name, or NULL. Valid as long as `d`. */
const struct doc_model *doc_find_model(const struct doc *d, const char *name);
const struct doc_class *doc_find_class(const struct doc *d, const char *name);
const struct doc_plain *doc_find_plain(const struct doc *d, const char *name);
const struct doc_account *doc_find_account(const struct doc *d,
					   const char *name);

/*
 * Returns the account to which an API key, sent as bearer token, belongs, or
 * NULL. All accounts are compared, each in constant time, so that the run time
 * reveals nothing about the keys.
 */
const struct doc_account *doc_authenticate(const struct doc *d,
					   const char *bearer);

/*
 * Returns true if the document marks this call as repeatable. Calls that it
 * does not list are not repeatable.
 */
bool doc_repeatable(const struct doc_plain *p, const char *method,
		    const char *path);

/* Returns true if `adapter` is one of the model's adapters or is empty. */
bool doc_has_adapter(const struct doc_model *m, const char *adapter);

#endif
