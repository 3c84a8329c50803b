/*
 * mem: account of the memory that a process holds for others: what connections have
 * received and what they have still to send. Decides what is given up when all of it
 * together exceeds the limit.
 *
 * Holders of up to MEM_SMALL_BYTES are not limited here and never given up: the number
 * of connections bounds their sum. So a small request is served while large ones take
 * all that they may.
 */
#ifndef MEM_H
#define MEM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <urcu/list.h>

#include "base/clk.h"

#define MEM_SMALL_BYTES 16384

/* What is given up first has the lowest rank. */
enum mem_rank {
	MEM_INCOMPLETE, /* a request that is partly received */
	MEM_WAITING,	/* a request that was not sent on: it can be refused */
	MEM_ANSWERED,	/* an answer that its client does not read */
	MEM_RUNNING,	/* a request that may have run */
	MEM_RANKS,
};

struct mem_holder;

struct mem_vtable {
	/*
	 * Frees what the holder holds, down to MEM_SMALL_BYTES or less. False: it
	 * only accounted for what it no longer held.
	 */
	bool (*shed)(struct mem_holder *h);
};

struct mem_holder {
	const struct mem_vtable *vt;
	struct cds_list_head node; /* in mem.large, while it is large */
	size_t bytes;
	enum mem_rank rank;
	double byte_ms;	    /* bytes held times ms, up to changed_ms */
	int64_t changed_ms; /* of `bytes` */
};

struct mem {
	const struct clk *clk;
	size_t limit;		    /* of all large holders together, bytes */
	size_t bytes;		    /* of all holders */
	size_t large_bytes;	    /* of the large ones */
	struct cds_list_head large; /* of mem_holder.node */
	unsigned long shed[MEM_RANKS]; /* holders that were given up */
};

/* `clk` must outlive the account. */
void mem_init(struct mem *m, const struct clk *clk, size_t limit);

/* Adds a holder, which holds nothing yet. */
void mem_add(struct mem_holder *h, const struct mem_vtable *vt);

/* The holder holds `bytes` from now on. */
void mem_hold(struct mem *m, struct mem_holder *h, enum mem_rank rank,
	      size_t bytes);

/*
 * The holder to be given up next: of the lowest rank, the one that has held most for
 * longest. NULL: the limit is kept.
 */
struct mem_holder *mem_pick(const struct mem *m);

/* How many holders were given up, of all ranks. */
unsigned long mem_nr_shed(const struct mem *m);

/*
 * Gives up holders until the limit is kept. Not to be called while a request or its
 * answer is on the stack, which may be freed.
 */
void mem_relieve(struct mem *m);

#endif
