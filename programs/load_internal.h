/*
 * The parts of marldock-load: what lives for the run and for a request.
 */
#ifndef LOAD_INTERNAL_H
#define LOAD_INTERNAL_H

#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/buf.h"
#include "base/clk.h"
#include "base/jsn.h"
#include "base/rnd.h"
#include "config/set.h"
#include "net/hcl.h"
#include "net/sse.h"

#define MAX_ACCOUNTS 16
#define MAX_SAMPLES 200000
#define MAX_ADDRESSES 16

/* Requests open at once; an open loop past this counts what it left out. */
#define MAX_OPEN 1500

/* A caller gives up on an answer after this. */
#define PATIENCE_MS 60000

struct samples {
	float *ms;
	size_t nr;
};

struct account {
	char name[48];
	char key[64];
	char model[48];
	double rate;
	long prompt_min, prompt_max, answer_min, answer_max, shared;
	double stream, replay;
	char plain[48], plain_path[96];
	double plain_share;
	struct samples first, between;
	long sent, whole, not_run, unknown, lost;
};

struct cached_list {
	char address[MAX_ADDRESSES][SET_ADDR_MAX];
	size_t nr;
	char grant[96];
	int64_t until_ms;
};

struct load {
	struct account accounts[MAX_ACCOUNTS];
	struct cached_list lists[MAX_ACCOUNTS];
	size_t nr_accounts;
	char entries[MAX_ADDRESSES][SET_ADDR_MAX];
	size_t nr_entries;
	char runs[MAX_ADDRESSES][SET_ADDR_MAX];
	size_t nr_runs;
	const char *workload, *report, *surge;
	long seconds;
	uint64_t seed;
	double scale;
	bool check_content, verbose;
	struct hcl *hcl;
	pthread_mutex_t lock;
	atomic_long open;
	long accepted, whole, doubled, lost, not_run, unknown, left_out;
	long false_not_run, restarts, reconnects, tokens, other;
	struct told *told; /* plain nonces and what their callers heard */
};

/* What the caller of a plain call was told, for the final comparison. */
struct told {
	struct told *next;
	char nonce[24];
	enum {
		TOLD_DONE,
		TOLD_NOT_RUN,
		TOLD_UNKNOWN
	} what;
};

struct request {
	struct load *l;
	struct account *a;
	size_t index;
	struct rnd rnd;
	char nonce[24];
	char key[160];
	bool plain, streamed;
	char *body;
	long answer;
	uint32_t hang_up_at; /* tokens held at which it disconnects; 0: none */

	/* What the caller holds. */
	struct sse sse;
	char last_id[32];
	uint32_t offset, link;
	bool accepted, whole, bad, done;
	uint64_t text_hash;
	int64_t start_us, last_us;
	float first_ms;
	struct samples gaps;
};

/* What one exchange with an entry came to. */
enum load_step {
	LOAD_DONE,
	LOAD_AGAIN, /* the connection ended, or the entry asks to retry */
	LOAD_NOT_RUN,
	LOAD_UNKNOWN,
	LOAD_OTHER
};

/* Fills in `body` and `answer` from the account; `rnd` decides. */
void load_make_body(struct request *q);

/*
 * Sends the request, or asks for the rest if the caller holds some of the
 * answer, and checks what comes.
 */
enum load_step load_exchange(struct request *q, const char *address);

/* A thread: one request from its first try to its end. `arg`: a request. */
void *load_run_request(void *arg);

/* Compares with what the plain services counted. */
void load_compare_runs(struct load *l);

/* Prints the table and the last line, and writes the JSON report. */
void load_report(struct load *l);

#endif
