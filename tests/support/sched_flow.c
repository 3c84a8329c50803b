/*
 * One model request from caller to engines: breaks, lost runs, reclaims, an
 * owner that dies or drains, a holder with a copy that lags, late tokens of
 * older attempts, a caller that reconnects anywhere.
 */
#include <stdlib.h>
#include <string.h>

#include "base/buf.h"
#include "base/rnd.h"
#include "request/flow.h"
#include "standin/token.h"
#include "support/schedules.h"

#define MAX_TOKENS 40
#define MAX_RUNS 32
#define ENGINES 4

struct tok {
	uint32_t salt, link;
};

/* A run at an engine: one generation. */
struct run {
	uint32_t gen;
	uint64_t engine;
	uint32_t kept, made;
	uint32_t attempt;
	struct tok toks[MAX_TOKENS];
	uint32_t read;	     /* next token the reader gets */
	struct side *reader; /* the entry that has its stream open */
	bool lost;
};

/* An entry's copy of the request. */
struct side {
	struct flow flow;
	struct tok toks[MAX_TOKENS];
	bool alive;
	bool running;
};

struct scene {
	struct check *c;
	struct rnd rnd;
	enum bug bug;
	uint64_t key;
	struct run runs[MAX_RUNS];
	size_t nr_runs;
	struct side sides[2]; /* the owner, then the holder */
	unsigned owner;
	bool took_over;
	bool engine_gone[ENGINES + 1];
	int64_t now;
	/* The caller. */
	uint32_t gen, offset;
	bool connected, answered, reclaimed;
};

static struct run *find_run(struct scene *s, uint32_t gen)
{
	size_t i;

	for (i = 0; i < s->nr_runs; i++) {
		if (s->runs[i].gen == gen)
			return &s->runs[i];
	}
	return NULL;
}

static uint64_t pick_engine(struct scene *s)
{
	unsigned tries;

	for (tries = 0; tries < 32; tries++) {
		const uint64_t e = 1 + rnd_below(&s->rnd, ENGINES);

		if (!s->engine_gone[e])
			return e;
	}
	/* Placement brings another. */
	s->engine_gone[1] = false;
	return 1;
}

static void start_run(struct scene *s, struct side *side, uint64_t engine)
{
	struct run *r;

	if (s->nr_runs == MAX_RUNS)
		return;
	r = &s->runs[s->nr_runs++];
	memset(r, 0, sizeof(*r));
	r->gen = flow_gen(&side->flow);
	r->engine = engine;
	r->reader = side;
	r->kept = side->flow.tokens;
	r->made = r->kept;
	r->read = r->kept;
	r->attempt = side->flow.attempt;
	memcpy(r->toks, side->toks, sizeof(r->toks));
}

static void act(struct scene *s, struct side *side, struct flow_action a)
{
	struct run *r;

	switch (a.kind) {
	case FLOW_ROUTE: {
		const uint64_t e = pick_engine(s);
		const struct flow_action next =
			flow_routed(&side->flow, e, false, s->now);

		if (next.kind == FLOW_CALL)
			start_run(s, side, e);
		else
			act(s, side, next);
		return;
	}
	case FLOW_RESUME:
		r = find_run(s, flow_gen(&side->flow));
		if (!r || r->lost || s->engine_gone[r->engine]) {
			const struct flow_event ev = { FLOW_EV_GONE, a.attempt,
						       0 };
			bool fresh;

			act(s, side,
			    flow_event(&side->flow, &ev, &fresh, s->now));
		} else {
			r->read = a.from;
			r->reader = side;
		}
		return;
	default:
		return;
	}
}

static void tell(struct scene *s, struct side *side, enum flow_event_kind kind,
		 uint32_t attempt, uint32_t offset, const struct tok *t)
{
	struct flow_event ev = { kind, attempt, offset };
	struct flow_action a;
	bool fresh;

	if (s->bug == BUG_ATTEMPT_IGNORED)
		ev.attempt = side->flow.attempt;
	a = flow_event(&side->flow, &ev, &fresh, s->now);
	if (fresh && t)
		side->toks[offset] = *t;
	act(s, side, a);
}

/* One engine makes and delivers a token, perhaps of an old attempt. */
static void engine_step(struct scene *s)
{
	struct side *side = &s->sides[s->owner];
	struct run *r;

	if (!s->nr_runs || !side->alive)
		return;
	r = &s->runs[rnd_below(&s->rnd, (uint32_t)s->nr_runs)];
	if (r->lost || s->engine_gone[r->engine] || r->reader != side)
		return;
	if (r->made < MAX_TOKENS) {
		struct tok *t = &r->toks[r->made];
		const uint32_t before = r->made ? r->toks[r->made - 1].link : 0;

		t->salt = (uint32_t)rnd_next(&s->rnd) & 0xffff;
		t->link = token_link(before, t->salt);
		r->made++;
	}
	if (r->read < r->made) {
		const uint32_t at = r->read++;

		tell(s, side, FLOW_EV_TOKEN, r->attempt, at, &r->toks[at]);
	} else if (r->made == MAX_TOKENS) {
		tell(s, side, FLOW_EV_END, r->attempt, MAX_TOKENS, NULL);
	}
}

/* The copy at the holder: everything so far, or nothing of late. */
static void copy(struct scene *s)
{
	struct side *from = &s->sides[0], *to = &s->sides[1];

	if (s->took_over || !from->alive)
		return;
	to->flow = from->flow;
	memcpy(to->toks, from->toks, sizeof(to->toks));
}

static void take_over(struct scene *s, bool graceful)
{
	struct side *to = &s->sides[1];
	const struct flow old = to->flow;
	struct flow_action a = { .kind = FLOW_RESUME };

	if (s->took_over)
		return;
	s->took_over = true;
	s->sides[0].alive = false;
	s->owner = 1;
	if (s->connected)
		check_cut(s->c, s->key, graceful, s->bug != BUG_CUT_OFF);
	s->connected = false;
	if (old.phase == FLOW_DONE)
		return;
	flow_init(&to->flow, rnd_next(&s->rnd), 10, 1 << 30);
	flow_adopt(&to->flow, old.gens, old.nr_gens, old.tokens, old.attempt,
		   old.endpoint);
	a.attempt = old.attempt;
	a.from = old.tokens;
	a.endpoint = old.endpoint;
	if (!old.endpoint)
		a.kind = FLOW_ROUTE;
	act(s, to, a);
}

/* The caller takes what there is, at whichever entry has the request. */
static void caller_step(struct scene *s)
{
	struct side *side = &s->sides[s->owner];
	const struct flow *f = &side->flow;

	if (s->answered || !side->alive)
		return;
	s->connected = true;
	if (!flow_can_continue(f, s->gen, s->offset) && s->bug != BUG_SPLICE) {
		check_restart(s->c, s->key);
		s->offset = 0;
	}
	while (s->offset < f->tokens) {
		const struct tok *t = &side->toks[s->offset];

		check_token(s->c, s->key, s->offset, t->salt, t->link);
		s->offset++;
	}
	if (f->tokens)
		s->gen = flow_gen(f);
	if (f->phase == FLOW_DONE && f->outcome == FLOW_COMPLETED) {
		s->answered = true;
		check_answered(s->c, s->key, MAX_TOKENS);
	}
}

static void reclaim(struct scene *s)
{
	struct side *side = &s->sides[s->owner];
	const uint64_t e = side->flow.endpoint;

	if (!e || side->flow.phase == FLOW_DONE)
		return;
	s->reclaimed = true;
	check_accepted(s->c, s->key, true);
	/* Continued in time, while the old run talks on; or found dead. */
	if (rnd_below(&s->rnd, 2)) {
		tell(s, side, FLOW_EV_MOVE, side->flow.attempt, 0, NULL);
		return;
	}
	s->engine_gone[e] = true;
	tell(s, side, FLOW_EV_BROKEN, side->flow.attempt, 0, NULL);
}

static void disturb(struct scene *s)
{
	struct side *side = &s->sides[s->owner];

	switch (rnd_below(&s->rnd, 9)) {
	case 0:
		tell(s, side, FLOW_EV_BROKEN, side->flow.attempt, 0, NULL);
		break;
	case 1:
		reclaim(s);
		break;
	case 2:
		take_over(s, false);
		break;
	case 3:
		copy(s);
		take_over(s, true);
		break;
	case 4:
		if (s->nr_runs)
			s->runs[s->nr_runs - 1].lost = true;
		tell(s, side, FLOW_EV_GONE, side->flow.attempt, 0, NULL);
		break;
	case 5:
		s->connected = false;
		break;
	default:
		caller_step(s);
		break;
	}
}

unsigned schedule_flow(struct check *c, uint64_t seed, enum bug bug)
{
	struct scene *s = mem_new(sizeof(*s));
	struct side *first = &s->sides[0];
	const struct flow_action route = { .kind = FLOW_ROUTE };
	unsigned i, disturbances = 0;

	s->c = c;
	s->bug = bug;
	s->key = seed;
	rnd_seed(&s->rnd, seed);
	s->sides[0].alive = s->sides[1].alive = true;
	flow_init(&first->flow, rnd_next(&s->rnd), 10, 1 << 30);
	check_accepted(c, s->key, false);
	act(s, first, route);
	copy(s);
	/* Attempts are bounded, so are the disturbances of one request. */
	for (i = 0; i < 4000 && !s->answered; i++) {
		s->now++;
		engine_step(s);
		if (rnd_below(&s->rnd, 12) == 0)
			copy(s);
		if (rnd_below(&s->rnd, 10) == 0)
			caller_step(s);
		if (disturbances < 5 && rnd_below(&s->rnd, 25) == 0) {
			disturb(s);
			disturbances++;
		}
	}
	free(s);
	return 1;
}
