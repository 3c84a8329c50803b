/*
 * standin-caller: one caller of one request, told what to do line by line on
 * standard input, so that a test decides when it disconnects and where it
 * comes back. Tokens are checked as marldock-load checks them.
 *
 *   ask ADDRESS [N]  sends the request, or asks for the rest of the answer;
 *                    disconnects once it holds N tokens
 *   save             remembers what it holds
 *   restore          goes back to that, as a caller with an old event id
 *   forget           holds nothing
 *
 * Each line is answered with one: RESULT held=N restarts=N bad=0|1 hash=H
 *
 * Options: --key KEY of the account, --request KEY, --model M, --nonce HEX,
 * --tokens N, --prompt CHARS, --stream 0|1, --plain SERVICE --path PATH
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common.h"
#include "../../programs/load_internal.h"

struct held {
	char last_id[32];
	uint32_t offset, link;
	uint64_t text_hash;
};

static struct held held_of(const struct request *q)
{
	struct held h = { .offset = q->offset,
			  .link = q->link,
			  .text_hash = q->text_hash };

	str_copy(h.last_id, q->last_id, sizeof(h.last_id));
	return h;
}

static void go_back(struct request *q, const struct held *h)
{
	str_copy(q->last_id, h->last_id, sizeof(q->last_id));
	q->offset = h->offset;
	q->link = h->link;
	q->text_hash = h->text_hash;
	q->done = false;
}

static const char *ask(struct request *q, const char *address, uint32_t at)
{
	static const char *const names[] = {
		[LOAD_DONE] = "done",	    [LOAD_AGAIN] = "again",
		[LOAD_NOT_RUN] = "not-run", [LOAD_UNKNOWN] = "unknown",
		[LOAD_OTHER] = "other",
	};

	/* A whole reply has no event ids: it always begins with token 0. */
	if (!q->streamed)
		go_back(q, &(struct held){ .offset = 0 });
	q->hang_up_at = at;
	return names[load_exchange(q, address)];
}

static const char *obey(struct request *q, struct held *saved, const char *line)
{
	char address[SET_ADDR_MAX];
	unsigned at = 0;

	if (sscanf(line, "ask %63s %u", address, &at) >= 1)
		return ask(q, address, at);
	if (!strncmp(line, "save", 4))
		*saved = held_of(q);
	else if (!strncmp(line, "restore", 7))
		go_back(q, saved);
	else if (!strncmp(line, "forget", 6))
		go_back(q, &(struct held){ .offset = 0 });
	else
		return "unknown-command";
	return "ok";
}

static void read_options(int argc, char **argv, struct request *q)
{
	struct account *a = q->a;

	str_copy(a->name, "caller", sizeof(a->name));
	str_copy(a->key, standin_option(argc, argv, "key", ""), sizeof(a->key));
	str_copy(a->model, standin_option(argc, argv, "model", ""),
		 sizeof(a->model));
	str_copy(a->plain, standin_option(argc, argv, "plain", ""),
		 sizeof(a->plain));
	str_copy(a->plain_path, standin_option(argc, argv, "path", "/"),
		 sizeof(a->plain_path));
	a->answer_min = a->answer_max =
		standin_number(argc, argv, "tokens", 16);
	a->prompt_min = a->prompt_max =
		standin_number(argc, argv, "prompt", 400);
	q->plain = *a->plain != '\0';
	q->streamed = !q->plain && standin_number(argc, argv, "stream", 1);
	str_copy(q->key, standin_option(argc, argv, "request", ""),
		 sizeof(q->key));
	str_copy(q->nonce, standin_option(argc, argv, "nonce", "1"),
		 sizeof(q->nonce));
}

int main(int argc, char **argv)
{
	struct load *l = mem_new(sizeof(*l));
	struct request *q = mem_new(sizeof(*q));
	struct held saved = { .offset = 0 };
	char line[256];

	signal(SIGPIPE, SIG_IGN);
	pthread_mutex_init(&l->lock, NULL);
	l->hcl = hcl_create();
	l->check_content = l->verbose = true;
	q->l = l;
	q->a = &l->accounts[0];
	/* The same prompt for all callers of one request. */
	rnd_seed(&q->rnd, 1);
	read_options(argc, argv, q);
	load_make_body(q);
	while (fgets(line, sizeof(line), stdin)) {
		const char *result = obey(q, &saved, line);

		printf("%s held=%u restarts=%ld bad=%d hash=%llx\n", result,
		       q->offset, l->restarts, q->bad,
		       (unsigned long long)q->text_hash);
		fflush(stdout);
	}
	free(q->gaps.ms);
	free(q->body);
	free(q);
	hcl_free(l->hcl);
	free(l);
	return 0;
}
