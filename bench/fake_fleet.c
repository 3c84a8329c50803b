#include "fake_fleet.h"

#include <string.h>

void fleet_init(struct fleet *f, size_t nr, unsigned zones, unsigned slots,
		double tpot_ms, double prefill_per_s)
{
	size_t i;

	memset(f, 0, sizeof(*f));
	f->nr = nr;
	for (i = 0; i < nr; i++) {
		f->e[i].id = i + 1;
		f->e[i].zone = (unsigned)(i % zones);
		f->e[i].slots = slots;
		f->e[i].tpot_ms = tpot_ms;
		f->e[i].prefill_per_s = prefill_per_s;
	}
}

struct fleet_engine *fleet_find(struct fleet *f, uint64_t id)
{
	return id && id <= f->nr ? &f->e[id - 1] : NULL;
}

static bool cached(const struct fleet_engine *e, uint64_t block)
{
	unsigned i;

	for (i = 0; i < FLEET_CACHE; i++) {
		if (e->cache[i] == block)
			return true;
	}
	return false;
}

static double uncached(const struct fleet_engine *e, const struct fleet_run *r)
{
	double have = 0;
	unsigned i;

	for (i = 0; i < r->key.nr && cached(e, r->key.block[i]); i++)
		have += PREFIX_BLOCK_CHARS / 4.0;
	return have < r->prompt_tokens ? r->prompt_tokens - have : 0;
}

static void remember(struct fleet_engine *e, const struct fleet_run *r)
{
	unsigned i;

	for (i = 0; i < r->key.nr; i++) {
		if (cached(e, r->key.block[i]))
			continue;
		e->cache[e->cache_next] = r->key.block[i];
		e->cache_next = (e->cache_next + 1) % FLEET_CACHE;
	}
}

static void begin(struct fleet_engine *e, struct fleet_run *r, int64_t now)
{
	const double todo = r->warm ? 0 : uncached(e, r) + r->kept;

	e->prefilled += todo;
	if (r->kept)
		e->reprefilled += todo;
	remember(e, r);
	r->prefill_until = now + (int64_t)(todo / e->prefill_per_s * 1000);
	r->next_token = r->prefill_until + (int64_t)e->tpot_ms;
	r->started = true;
}

bool fleet_send(struct fleet *f, uint64_t engine, const struct fleet_run *r)
{
	struct fleet_engine *e = fleet_find(f, engine);
	unsigned at;

	if (!e || e->gone || e->nr_wait == 2048)
		return false;
	/* Engines honour priorities among those that wait. */
	for (at = e->nr_wait; at && e->wait[at - 1].batch && !r->batch; at--)
		e->wait[at] = e->wait[at - 1];
	e->wait[at] = *r;
	e->nr_wait++;
	return true;
}

static void drop_run(struct fleet_engine *e, unsigned i)
{
	e->run[i] = e->run[--e->nr_run];
}

void fleet_cancel(struct fleet *f, uint64_t engine, uint64_t tag)
{
	struct fleet_engine *e = fleet_find(f, engine);
	unsigned i;

	for (i = 0; i < e->nr_run; i++) {
		if (e->run[i].tag == tag) {
			drop_run(e, i);
			return;
		}
	}
	for (i = 0; i < e->nr_wait; i++) {
		if (e->wait[i].tag == tag) {
			memmove(&e->wait[i], &e->wait[i + 1],
				(e->nr_wait - i - 1) * sizeof(e->wait[0]));
			e->nr_wait--;
			return;
		}
	}
}

static void lose_all(struct fleet *f, struct fleet_engine *e, int64_t now)
{
	e->gone = true;
	while (e->nr_run) {
		const struct fleet_run r = e->run[0];

		drop_run(e, 0);
		f->fn(f->arg, e, r.tag, r.made, true, true, now);
	}
	while (e->nr_wait) {
		const struct fleet_run r = e->wait[--e->nr_wait];

		f->fn(f->arg, e, r.tag, 0, true, true, now);
	}
}

static void step_run(struct fleet *f, struct fleet_engine *e, unsigned *i,
		     int64_t now)
{
	struct fleet_run *r = &e->run[*i];
	const uint64_t tag = r->tag;
	uint32_t made;
	bool end;

	if (now < r->next_token) {
		(*i)++;
		return;
	}
	r->next_token += (int64_t)e->tpot_ms;
	made = ++r->made;
	e->tokens++;
	end = r->kept + made >= r->max;
	if (end)
		drop_run(e, *i);
	else
		(*i)++;
	f->fn(f->arg, e, tag, made, end, false, now);
}

void fleet_tick(struct fleet *f, int64_t now)
{
	size_t k;
	unsigned i;

	for (k = 0; k < f->nr; k++) {
		struct fleet_engine *e = &f->e[k];

		if (e->gone)
			continue;
		if (e->end_ms && now >= e->end_ms) {
			lose_all(f, e, now);
			continue;
		}
		while (e->nr_run < e->slots && e->nr_wait) {
			e->run[e->nr_run] = e->wait[0];
			memmove(e->wait, e->wait + 1,
				--e->nr_wait * sizeof(e->wait[0]));
			begin(e, &e->run[e->nr_run++], now);
		}
		for (i = 0; i < e->nr_run;)
			step_run(f, e, &i, now);
	}
}
