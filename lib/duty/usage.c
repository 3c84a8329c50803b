#include "duty/usage.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "base/buf.h"
#include "base/hsh.h"
#include "base/tab.h"

struct usage_key {
	uint64_t source;
	int64_t window;
	uint64_t account; /* hash of the name */
};

struct usage_row {
	struct usage_key key;
	char account[USAGE_NAME];
	int64_t runs;
	int64_t changed_ms;
	UT_hash_handle hh;
};

void usage_init(struct usage *u, int64_t window_ms)
{
	assert(window_ms > 0);
	u->window_ms = window_ms;
	u->rows = NULL;
}

void usage_free(struct usage *u)
{
	struct usage_row *row, *next;

	HASH_ITER(hh, u->rows, row, next)
	{
		HASH_DEL(u->rows, row);
		free(row);
	}
}

int64_t usage_window(const struct usage *u, int64_t true_ms)
{
	return true_ms / u->window_ms;
}

static struct usage_row *find(const struct usage *u, const struct usage_key *k)
{
	struct usage_row *row;

	HASH_FIND(hh, u->rows, k, sizeof(*k), row);
	return row;
}

/* clang-tidy counts the expansion of HASH_ADD as fifty statements. */
/* NOLINTNEXTLINE(readability-function-size) */
static struct usage_row *add(struct usage *u, const struct usage_key *k,
			     const char *account)
{
	struct usage_row *row = calloc(1, sizeof(*row));

	assert(row);
	row->key = *k;
	str_copy(row->account, account, sizeof(row->account));
	HASH_ADD(hh, u->rows, key, sizeof(row->key), row);
	return row;
}

static struct usage_row *row_of(struct usage *u, uint64_t source,
				int64_t window, const char *account)
{
	const struct usage_key key = { source, window, hsh_str(account, 0) };
	struct usage_row *row = find(u, &key);

	return row ? row : add(u, &key, account);
}

void usage_add(struct usage *u, uint64_t source, int64_t window,
	       const char *account, int64_t now)
{
	struct usage_row *row = row_of(u, source, window, account);

	row->runs++;
	row->changed_ms = now;
}

void usage_merge(struct usage *u, uint64_t source, int64_t window,
		 const char *account, int64_t runs, int64_t now)
{
	struct usage_row *row = row_of(u, source, window, account);

	if (runs <= row->runs)
		return;
	row->runs = runs;
	row->changed_ms = now;
}

void usage_each(const struct usage *u, int64_t from, usage_fn each, void *arg)
{
	const struct usage_row *row;

	for (row = u->rows; row; row = row->hh.next) {
		const struct usage_count c = {
			.source = row->key.source,
			.window = row->key.window,
			.account = row->account,
			.runs = row->runs,
			.changed_ms = row->changed_ms,
		};

		if (c.window >= from)
			each(&c, arg);
	}
}

static int by_account(const void *a, const void *b)
{
	const struct usage_row *const *x = a, *const *y = b;

	if ((*x)->key.account != (*y)->key.account)
		return (*x)->key.account < (*y)->key.account ? -1 : 1;
	return strcmp((*x)->account, (*y)->account);
}

/* The rows of a window, sorted by account; to be freed. */
static const struct usage_row **rows_of(const struct usage *u, int64_t window,
					size_t *n)
{
	const struct usage_row **rows =
		calloc(HASH_COUNT(u->rows) + 1, sizeof(struct usage_row *));
	const struct usage_row *row;

	assert(rows);
	*n = 0;
	for (row = u->rows; row; row = row->hh.next) {
		if (row->key.window == window)
			rows[(*n)++] = row;
	}
	qsort(rows, *n, sizeof(rows[0]), by_account);
	return rows;
}

size_t usage_sum(const struct usage *u, int64_t window,
		 struct usage_total **out)
{
	size_t nr_rows, n = 0, i;
	const struct usage_row **rows = rows_of(u, window, &nr_rows);

	*out = nr_rows ? calloc(nr_rows, sizeof(**out)) : NULL;
	assert(*out || !nr_rows);
	for (i = 0; i < nr_rows; i++) {
		if (!i || by_account(&rows[i - 1], &rows[i]) != 0)
			str_copy((*out)[n++].account, rows[i]->account,
				 USAGE_NAME);
		(*out)[n - 1].runs += rows[i]->runs;
	}
	free(rows);
	return n;
}

void usage_drop_before(struct usage *u, int64_t from)
{
	struct usage_row *row, *next;

	HASH_ITER(hh, u->rows, row, next)
	{
		if (row->key.window >= from)
			continue;
		HASH_DEL(u->rows, row);
		free(row);
	}
}
