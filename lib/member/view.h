/*
 * view: a numbered membership view: the list of entries that all processes
 * agree on. It is immutable once written.
 *
 * Views are written by compare-and-swap to the key-value service and spread
 * between peers. Each view has a table of slots. A slot has three judges (the
 * members that vote on the claims of the slot's request keys; claim/judge.h),
 * in three availability zones if there are three, and a reserve that takes over
 * the votes of a judge that leaves. The table is a function of the members
 * alone, so every process computes the same one, and a look-up costs the same
 * with 8 members as with 900.
 *
 * A view is kept until no grant (claim/grant.h) can refer to its number any
 * more.
 */
#ifndef VIEW_H
#define VIEW_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/buf.h"
#include "base/err.h"

/* Bytes of a name or an address, with the terminating zero. */
#define VIEW_NAME_MAX 48
#define VIEW_ADDR_MAX 64

/*
 * Members. More than the largest fleet that is targeted; also the limit on
 * untrusted input.
 */
#define VIEW_MAX_MEMBERS 2048

/*
 * Slots per view. With 900 members each is a judge of about 14 slots, which
 * keeps the load of the busiest one within about twice the mean.
 */
#define VIEW_SLOTS 4096

/* Judges per slot. */
#define VIEW_JUDGES 3

struct view_member {
	char name[VIEW_NAME_MAX];
	char zone[VIEW_NAME_MAX];
	char region[VIEW_NAME_MAX];
	char http[VIEW_ADDR_MAX];
	char peer[VIEW_ADDR_MAX];
	uint64_t boot; /* Unix time of its start in ms: its incarnation */
	uint64_t id;   /* view_instance_id(name, boot) */
};

struct view_slot {
	uint16_t judge[VIEW_JUDGES]; /* indexes into view.members */
	uint16_t reserve;	     /* likewise; valid if has_reserve */
	uint8_t nr_judges; /* fewer than 3 in views of fewer members */
	bool has_reserve;
};

struct view {
	uint64_t number;
	size_t nr;
	struct view_member *members; /* sorted by name */
	struct view_slot slots[VIEW_SLOTS];
};

/* Returns the id of one incarnation of an entry: a hash of name and boot. */
uint64_t view_instance_id(const char *name, uint64_t boot);

/*
 * Creates a view of `nr` members, which are copied and sorted; their `id` is
 * computed. Of members with the same name the youngest incarnation is kept.
 * Returns NULL if there are more than VIEW_MAX_MEMBERS. Free it with
 * view_free().
 */
struct view *view_create(uint64_t number, const struct view_member *members,
			 size_t nr);

/* Frees a view; `v` may be NULL. */
void view_free(struct view *v);

/* Returns the member with this incarnation id, owned by `v`, or NULL. */
const struct view_member *view_find(const struct view *v, uint64_t id);

/* Returns the member with this name, owned by `v`, or NULL. */
const struct view_member *view_find_name(const struct view *v,
					 const char *name);

/* Returns the slot of a grant with this nonce: 0 to VIEW_SLOTS - 1. */
unsigned view_slot_of(const char *nonce);

/* True if `a` and `b` have the same incarnations as members. */
bool view_same_members(const struct view *a, const struct view *b);

/*
 * Appends the JSON form, in which views are kept in the key-value service and
 * sent between peers.
 */
void view_print(const struct view *v, struct buf *out);

/*
 * Parses that form. Returns a new view, or NULL with `e` set to ERR_INVALID.
 */
struct view *view_parse(const char *text, size_t len, struct err *e);

#endif
