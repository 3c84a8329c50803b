/*
 * attempt: what a caller's request says, decoded from its head, and what an
 * endpoint's answer says.
 */
#ifndef ATTEMPT_H
#define ATTEMPT_H

#include <stdbool.h>
#include <stdint.h>

#define ATTEMPT_ID 80
#define ATTEMPT_HOST 256
#define ATTEMPT_KEY 256

struct attempt {
	char id[ATTEMPT_ID];
	char host[ATTEMPT_HOST]; /* lower case, without port */
	char key[ATTEMPT_KEY];	 /* of a client account; "": none */
	int64_t deadline_ms;	 /* how long the caller waits; -1: not said */
	int64_t resume_after;	 /* id of the last event it has; -1: none */
	bool has_token_counts;	 /* it states its tokens */
	double prompt_tokens;
	double output_tokens; /* at most */
	uint64_t prefix_hash; /* hash of the prompt's shared parts; 0: none */
	double prefix_tokens; /* tokens in them */
};

/* An endpoint's answer, from its head. */
struct reply {
	int status;
	bool echoed;	    /* it names the attempt it answers */
	bool other_attempt; /* it names another one: a late second answer */
	bool not_run;	    /* it says that it did not run the request */
	bool misdirected;   /* another endpoint has the address */
	bool sealed;	    /* it bears the endpoint's proof */
	bool events;	    /* a stream of events follows */
	bool encoded;	    /* the body is not the endpoint's own bytes */
};

/* What is set for the endpoint, beside what the caller sent. */
struct forward {
	const char *endpoint_id;
	const char *account;  /* NULL: none */
	int64_t deadline_ms;  /* what is left; -1: not said */
	int urgency;	      /* 0 first .. 9; -1: not set */
	int64_t resume_after; /* -1: as the caller said */
	const char *copy_at; /* memory of the run, IP:PORT/HANDLE; NULL: none */
};

#endif
