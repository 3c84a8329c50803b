/*
 * attempt: the decoded head of a client request, and that of the endpoint's
 * response.
 */
#ifndef ATTEMPT_H
#define ATTEMPT_H

#include <stdbool.h>
#include <stdint.h>

/* Buffer sizes in bytes, with the terminating null byte. */
#define ATTEMPT_ID 80
#define ATTEMPT_HOST 256
#define ATTEMPT_KEY 256
#define ATTEMPT_MALFORMED 64
#define ATTEMPT_PART 20

/* Parts of a prompt that are kept: of more, the first and the last ones. */
#define ATTEMPT_MAX_PARTS 32

/* A part of a prompt, which any number of requests may share. */
struct attempt_part {
	/* Of its id, a hexadecimal number: not of the way it is written. */
	uint64_t hash;
	char id[ATTEMPT_PART]; /* for logs; may be cut off */
};

struct attempt {
	char id[ATTEMPT_ID];
	char host[ATTEMPT_HOST]; /* lower case, without port */
	char key[ATTEMPT_KEY];	 /* API key of the client account; "": none */
	int64_t deadline_ms;	 /* remaining client timeout; -1: not given */
	int64_t resume_after;	 /* id of the last event received; -1: none */
	/*
	 * Id of the attempt that brought the first event of the stream that
	 * this one continues; "": not stated.
	 */
	char resumes[ATTEMPT_ID];
	bool has_token_counts; /* the two counts below are given */
	double prompt_tokens;
	double output_tokens; /* upper bound */
	uint64_t prefix_hash; /* hash of the prompt's shared parts; 0: none */
	double prefix_tokens; /* length of these parts */
	/* Each of them once, without the last one, the request's own. */
	struct attempt_part parts[ATTEMPT_MAX_PARTS];
	unsigned nr_parts;
};

/* The decoded head of an endpoint's response. */
struct reply {
	int status;	    /* HTTP status */
	bool echoed;	    /* carries the id of this attempt */
	bool other_attempt; /* carries another id: a late second response */
	bool not_run;	    /* states that the request was not run */
	bool misdirected;   /* the address belongs to another endpoint by now */
	bool sealed;	    /* carries the endpoint's proof of origin */
	bool events;	    /* the body is an event stream */
	bool encoded;	    /* has a Content-Encoding: not the original bytes */
	/*
	 * The requests per second that the endpoint accepts from all entries
	 * together; 0: it states no limit; -1: one that cannot be read.
	 */
	double limit_per_s;
	bool leaving; /* it states that the endpoint is shutting down */
	/*
	 * The endpoint is brittle: with more refusals than this in a second for
	 * want of room it falls over; -1: it does not state so.
	 */
	int brittle;
	/*
	 * A refusal (503) states that the endpoint wants no requests of this
	 * entry for this long; -1: it does not.
	 */
	int64_t wait_ms;
	/* A statement that cannot be read, "NAME: VALUE"; "": none. */
	char malformed[ATTEMPT_MALFORMED];
};

/* Headers set by the entry when it forwards an attempt to an endpoint. */
struct forward {
	const char *endpoint_id;
	const char *account;  /* NULL: none */
	int64_t deadline_ms;  /* time left; -1: no deadline */
	int urgency;	      /* 0 (highest) to 9; -1: not set */
	int64_t resume_after; /* -1: the value of the client's request */
	const char *copy_at;  /* KV cache copy, IP:PORT/HANDLE; NULL: none */
};

#endif
