/*
 * set (settings): the settings of one process, read once at its start.
 * docs/SETTINGS.md is the reference.
 */
#ifndef SET_H
#define SET_H

#include <stddef.h>
#include <stdint.h>

#include "base/err.h"

/* Sizes of strings in bytes, including the terminating NUL. */
#define SET_NAME_MAX 48
#define SET_ADDR_MAX 64

#define SET_MAX_SEEDS 16

struct set {
	char name[SET_NAME_MAX];
	char zone[SET_NAME_MAX];
	char region[SET_NAME_MAX];
	/* Addresses have the form "IP:PORT". */
	char http_address[SET_ADDR_MAX];
	char peer_address[SET_ADDR_MAX];
	char key_value[SET_ADDR_MAX];
	char cloud[SET_ADDR_MAX];
	char seeds[SET_MAX_SEEDS][SET_ADDR_MAX];
	size_t nr_seeds;
	char peer_secret[96];
	char grant_secret[96];
	char log_level[8];
	int64_t workers;       /* threads that serve clients */
	int64_t in_flight;     /* maximum number of concurrent requests */
	int64_t body_bytes;    /* maximum size of a request body */
	int64_t bodies_bytes;  /* of all large request bodies together */
	int64_t entry_list_ms; /* how long clients may cache the entry list */
	int64_t drain_ms;      /* time limit of the drain after SIGTERM */
	int64_t key_life_ms;   /* how long a request key is remembered */
	int64_t replay_ms;     /* how long its response is kept */
	/*
	 * Time without contact to the key-value service and all peers after
	 * which the entry accepts no new requests.
	 */
	int64_t cut_off_ms;
	int64_t lease_s; /* duration of duty leases */
	int64_t copy_ms; /* interval of token copies to another entry */
};

/*
 * Parses and validates settings; missing optional ones get their defaults.
 * `what` names the text in error messages. Returns 0, or -1 with an error that
 * names line and column.
 */
int set_parse(const char *what, const char *text, struct set *s, struct err *e);

/* Calls set_parse for the contents of a file of at most 64 KB. */
int set_load(const char *path, struct set *s, struct err *e);

/*
 * Reads a file of at most `max` bytes into a new string, which the caller
 * frees. Returns NULL with an error: ERR_NOT_FOUND if the file cannot be
 * opened, ERR_INVALID if it is larger.
 */
char *set_read_file(const char *path, size_t max, struct err *e);

/*
 * Splits "IP:PORT" (IPv4) into `host` and `*port`. Returns 0, or -1 if `addr`
 * does not have this form.
 */
int set_split_addr(const char *addr, char host[SET_ADDR_MAX], int *port);

#endif
