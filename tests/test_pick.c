/*
 * Tests the choice among endpoints of different speed. A simulated service has
 * eight engines, of which one in four runs at 0.55 of the nominal speed and the
 * others at 1.2; an engine prefills one prompt after the other, and its streams
 * get no events meanwhile.
 */
#include <math.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "base/rnd.h"
#include "route/pick.h"
#include "support/unit.h"

#define NR_ENGINES 8
#define MAX_QUEUE 400
#define MAX_STREAMS 4000

/* Time of a prefill at the nominal speed, and of the events of a stream, ms. */
#define PREFILL_MS_PER_TOKEN 0.0145
#define EVENT_MS 20.0
#define PAUSE_BOUND_MS 500.0
#define LONG_TOKENS 17000
#define SHORT_TOKENS 1460
#define SHORT_EVENTS 29
#define LONG_EVENTS 20

/* Prompts differ by up to this part, and times by up to so many ms. */
#define TOKENS_VARY 0.3
#define JITTER_MS 20.0

struct stream {
	struct flt_endpoint *at;
	struct svc_state state;
	double tokens, predicted_ms, done_ms; /* done: of the prefill */
	int events, left;
	int64_t sent_ms, first_ms, last_ms, max_pause_ms;
};

struct engine {
	struct flt_endpoint *e;
	double speed;
	struct stream *queue[MAX_QUEUE]; /* to prefill */
	unsigned nr_queued;
	double next_event_ms;
	/* Results. */
	double tokens;
	unsigned requests, streams, paused;
};

struct world {
	struct flt fleet;
	struct svc model;
	struct engine engines[NR_ENGINES];
	struct stream streams[MAX_STREAMS];
	bool speeds;
	int64_t now;
	struct rnd rnd;
	double long_per_s, short_per_s;
};

static void add_engine(struct world *w, unsigned i, double speed)
{
	struct flt_info info = { .slots = 48 };
	enum flt_change change;

	snprintf(info.id, sizeof(info.id), "e%u", i);
	strcpy(info.service, "llm");
	strcpy(info.zone, "z1");
	w->engines[i].speed = speed;
	w->engines[i].e = flt_upsert(&w->fleet, &info, 1000, &change);
}

static void set_up(struct world *w, bool speeds, double long_per_s,
		   double short_per_s)
{
	unsigned i;

	memset(w, 0, sizeof(*w));
	flt_init(&w->fleet, NULL);
	for (i = 0; i < NR_ENGINES; i++)
		add_engine(w, i, i % 4 ? 1.2 : 0.55);
	svc_init(&w->model, "llm");
	w->speeds = speeds;
	w->now = 10000;
	w->long_per_s = long_per_s;
	w->short_per_s = short_per_s;
	rnd_seed(&w->rnd, 11);
}

static struct engine *engine_of(struct world *w, const struct flt_endpoint *e)
{
	unsigned i;

	for (i = 0; w->engines[i].e != e; i++)
		;
	return &w->engines[i];
}

static struct pick_query query_of(const struct world *w, double tokens)
{
	return (struct pick_query){
		.service = "llm",
		.model = &w->model,
		.zone = "z1",
		.engine = true,
		.unshared_tokens = tokens,
		.now_ms = w->now,
		.speeds = w->speeds,
		.pause_ms = PAUSE_BOUND_MS,
	};
}

static void send(struct world *w, double mean_tokens, int events)
{
	const double tokens =
		mean_tokens * (1 + TOKENS_VARY * (2 * rnd_unit(&w->rnd) - 1));
	const struct pick_query q = query_of(w, tokens);
	const struct pick_result r = pick_endpoint(&w->fleet, &q);
	struct engine *n = engine_of(w, r.endpoint);
	struct stream *s = w->streams;

	while (s->at)
		s++;
	*s = (struct stream){
		.at = r.endpoint,
		.state = r.state,
		.tokens = tokens,
		.events = events,
		.left = events,
		.sent_ms = w->now,
	};
	s->at->running++;
	s->at->prefill_tokens += tokens;
	n->queue[n->nr_queued++] = s;
	n->tokens += tokens;
	n->requests++;
}

static void event(struct world *w, struct stream *s)
{
	if (s->last_ms && w->now - s->last_ms > s->max_pause_ms)
		s->max_pause_ms = w->now - s->last_ms;
	s->last_ms = w->now;
	s->left--;
}

static double factor_of(const struct world *w, const struct stream *s)
{
	return w->speeds ? spd_factor(&s->at->speed) : 1;
}

/* What edge_learn.c does with the first event and the end of a stream. */
static void first_event(struct world *w, struct stream *s)
{
	const double took =
		(double)(w->now - s->sent_ms) + JITTER_MS * rnd_unit(&w->rnd);

	s->first_ms = w->now;
	s->at->prefill_tokens -= s->tokens;
	event(w, s);
	if (w->model.ttft.samples >= 20)
		spd_took(&s->at->speed, took, svc_ttft_ms(&w->model, &s->state),
			 w->now);
	svc_on_ttft(&w->model, &s->state, took / factor_of(w, s), true);
}

static void completed(struct world *w, struct stream *s)
{
	const double between =
		(double)(w->now - s->first_ms) / (double)(s->events - 1);
	const bool paused = (double)s->max_pause_ms > PAUSE_BOUND_MS;
	struct engine *n = engine_of(w, s->at);

	if (w->model.itl.samples >= 20)
		spd_took(&s->at->speed, between,
			 svc_itl_ms(&w->model, &s->state), w->now);
	spd_stream_ended(&s->at->speed, paused, w->now);
	svc_on_itl(&w->model, &s->state, between / factor_of(w, s));
	svc_on_run_end(&w->model, &s->state, (double)(w->now - s->sent_ms));
	n->streams++;
	n->paused += paused;
	s->at->running--;
	s->at = NULL;
}

/* One millisecond of an engine that prefills. */
static void prefill(struct world *w, struct engine *n)
{
	struct stream *s = n->queue[0];

	s->done_ms += n->speed;
	if (s->done_ms < s->tokens * PREFILL_MS_PER_TOKEN)
		return;
	memmove(n->queue, n->queue + 1, --n->nr_queued * sizeof(n->queue[0]));
	first_event(w, s);
	n->next_event_ms = (double)w->now + 1;
}

static void decode(struct world *w, struct engine *n)
{
	struct stream *s;

	if ((double)w->now < n->next_event_ms)
		return;
	n->next_event_ms = (double)w->now + EVENT_MS / n->speed;
	for (s = w->streams; s < w->streams + MAX_STREAMS; s++) {
		if (s->at != n->e || !s->first_ms)
			continue;
		event(w, s);
		if (!s->left)
			completed(w, s);
	}
}

static void update_speeds(struct world *w)
{
	double measured[NR_ENGINES], usual;
	unsigned i;

	for (i = 0; i < NR_ENGINES; i++) {
		spd_update(&w->engines[i].e->speed, w->now);
		measured[i] = w->engines[i].e->speed.measured;
	}
	usual = spd_usual(measured, NR_ENGINES);
	for (i = 0; i < NR_ENGINES; i++)
		spd_set_usual(&w->engines[i].e->speed, usual, w->now);
}

static void run(struct world *w, int64_t ms)
{
	const int64_t end = w->now + ms;
	unsigned i;

	for (; w->now < end; w->now++) {
		if (w->now % 300 == 0)
			update_speeds(w);
		if (rnd_unit(&w->rnd) < w->long_per_s / 1000)
			send(w, LONG_TOKENS, LONG_EVENTS);
		if (rnd_unit(&w->rnd) < w->short_per_s / 1000)
			send(w, SHORT_TOKENS, SHORT_EVENTS);
		for (i = 0; i < NR_ENGINES; i++) {
			if (w->engines[i].nr_queued)
				prefill(w, &w->engines[i]);
			else
				decode(w, &w->engines[i]);
		}
	}
}

/* Forgets the results so far. */
static void begin_to_count(struct world *w)
{
	unsigned i;

	for (i = 0; i < NR_ENGINES; i++) {
		w->engines[i].tokens = 0;
		w->engines[i].requests = w->engines[i].streams =
			w->engines[i].paused = 0;
	}
}

/* Results of the slow engines, or of the others. */
struct sums {
	double tokens;
	unsigned requests, streams, paused;
};

static struct sums sum(const struct world *w, bool slow)
{
	struct sums s = { .tokens = 0 };
	unsigned i;

	for (i = 0; i < NR_ENGINES; i++) {
		const struct engine *n = &w->engines[i];

		if ((n->speed < 1) != slow)
			continue;
		s.tokens += n->tokens;
		s.requests += n->requests;
		s.streams += n->streams;
		s.paused += n->paused;
	}
	return s;
}

static struct world w;

/* Prompt tokens of a slow engine, relative to those of a fast one. */
static double relative_work(bool speeds)
{
	set_up(&w, speeds, 0, 285);
	run(&w, 20000);
	begin_to_count(&w);
	run(&w, 30000);
	printf("  speeds %d: work at a slow engine %.2f of a fast one\n",
	       speeds, sum(&w, true).tokens / 2 / (sum(&w, false).tokens / 6));
	flt_free(&w.fleet);
	return sum(&w, true).tokens / 2 / (sum(&w, false).tokens / 6);
}

/* Guards against slow engines that get as much as fast ones, or nothing. */
static void work_is_in_proportion_to_speed(void)
{
	const double proportion = 0.55 / 1.2;
	const double work = relative_work(true);

	CU_ASSERT(work > 0.6 * proportion && work < 1.2 * proportion);
	relative_work(false);
}

/* Part of all streams that pause for too long, beside long prompts. */
static double pauses(bool speeds)
{
	struct sums slow, fast;

	set_up(&w, speeds, 9, 60);
	run(&w, 20000);
	begin_to_count(&w);
	run(&w, 60000);
	slow = sum(&w, true);
	fast = sum(&w, false);
	printf("  speeds %d: paused %u of %u at slow, %u of %u at fast\n",
	       speeds, slow.paused, slow.streams, fast.paused, fast.streams);
	CU_ASSERT(slow.requests > 0);
	flt_free(&w.fleet);
	return (double)(slow.paused + fast.paused) /
	       (double)(slow.streams + fast.streams);
}

/*
 * Guards against long prompts beside running streams of slow engines. With one
 * model for all engines, streams pause beyond their bound.
 */
static void running_streams_keep_their_pause_bound(void)
{
	CU_ASSERT(pauses(true) < 0.015);
	CU_ASSERT(pauses(false) > 0.025);
}

/* Guards against a slow engine that is avoided after it has recovered. */
static void recovered_engine_is_used_within_seconds(void)
{
	struct engine *n = &w.engines[0];
	int64_t recovered;

	set_up(&w, true, 4, 100);
	run(&w, 30000);
	CU_ASSERT_TRUE(spd_is_slow(&n->e->speed));
	n->speed = 1.2;
	for (recovered = w.now; spd_is_slow(&n->e->speed);) {
		run(&w, 100);
		if (w.now - recovered > 10000)
			break;
	}
	printf("  recovered engine is used after %lld ms\n",
	       (long long)(w.now - recovered));
	CU_ASSERT(w.now - recovered <= 6000);
	begin_to_count(&w);
	run(&w, 10000);
	CU_ASSERT(n->requests >
		  (w.engines[1].requests + w.engines[2].requests) / 4);
	flt_free(&w.fleet);
}

/*
 * Guards against a stall that moves load: for half a second all answers of an
 * engine are late.
 */
static void noise_changes_no_choice(void)
{
	const unsigned char engine = 1;
	struct spd *s;
	int64_t start, now;

	set_up(&w, true, 4, 100);
	w.engines[0].speed = w.engines[4].speed = 1.2;
	run(&w, 20000);
	s = &w.engines[engine].e->speed;
	start = w.now;
	for (now = start; now < start + 500; now += 10) {
		spd_took(s, 600, 60, now);
		spd_stream_ended(s, true, now);
	}
	for (; w.now < start + 10000;) {
		run(&w, 100);
		CU_ASSERT_EQUAL(spd_factor(s), 1);
		CU_ASSERT_EQUAL(s->pause_rate, 0);
	}
	flt_free(&w.fleet);
}

/* Guards against factors that follow from the load of engines of one speed. */
static void engines_of_one_speed_have_no_factor(void)
{
	unsigned other = 0, rounds, i;

	set_up(&w, true, 9, 100);
	for (i = 0; i < NR_ENGINES; i++)
		w.engines[i].speed = 1.2;
	run(&w, 10000);
	for (rounds = 0; rounds < 200; rounds++) {
		run(&w, 300);
		for (i = 0; i < NR_ENGINES; i++)
			other += spd_factor(&w.engines[i].e->speed) != 1;
	}
	CU_ASSERT(other <= rounds * NR_ENGINES / 100);
	flt_free(&w.fleet);
}

/* ---- Single choices ---- */

/* A fleet with random load, and a trained model. */
static void random_fleet(struct world *x, unsigned n)
{
	struct flt_info info = { .slots = 48 };
	enum flt_change change;
	struct flt_endpoint *e;
	unsigned i;

	flt_init(&x->fleet, NULL);
	svc_init(&x->model, "llm");
	x->model.typical_prefill_tokens = 3200;
	x->model.ttft.typical_error = 15;
	x->now = 100000;
	strcpy(info.service, "llm");
	strcpy(info.zone, "z1");
	for (i = 0; i < n; i++) {
		snprintf(info.id, sizeof(info.id), "e%u", i);
		e = flt_upsert(&x->fleet, &info, 1000, &change);
		e->running = (int)rnd_below(&x->rnd, 6);
		e->peer_running = rnd_below(&x->rnd, 20);
		e->peer_prefill_tokens = rnd_below(&x->rnd, 30000);
	}
}

/* Guards against other choices among endpoints of one speed. */
static void choice_among_equal_speeds_is_as_before(void)
{
	struct flt_endpoint *e;
	struct pick_result on, off;
	struct pick_query q;
	int64_t now;
	unsigned i;

	memset(&w, 0, sizeof(w));
	rnd_seed(&w.rnd, 3);
	for (i = 0; i < 300; i++) {
		random_fleet(&w, 20);
		cds_list_for_each_entry(e, &w.fleet.endpoints, node) {
			for (now = w.now - 5000; now < w.now; now += 200) {
				spd_took(&e->speed, 90 + rnd_unit(&w.rnd) * 20,
					 100, now);
				spd_stream_ended(&e->speed, now % 1000 == 0,
						 now);
			}
			spd_update(&e->speed, w.now);
			spd_set_usual(&e->speed, 1, w.now);
		}
		q = query_of(&w, rnd_below(&w.rnd, LONG_TOKENS));
		q.speeds = true;
		on = pick_endpoint(&w.fleet, &q);
		q.speeds = false;
		off = pick_endpoint(&w.fleet, &q);
		CU_ASSERT_PTR_EQUAL(on.endpoint, off.endpoint);
		CU_ASSERT_EQUAL(on.cost_ms, off.cost_ms);
		CU_ASSERT_EQUAL(on.wait_ms, off.wait_ms);
		CU_ASSERT_PTR_NULL(on.avoided);
		flt_free(&w.fleet);
	}
}

/* Guards against a slow endpoint that is refused if there is no other one. */
static void slow_endpoint_is_better_than_none(void)
{
	struct pick_result r;
	struct pick_query q;
	struct flt_endpoint *e;

	memset(&w, 0, sizeof(w));
	rnd_seed(&w.rnd, 3);
	random_fleet(&w, 2);
	w.speeds = true;
	e = flt_find(&w.fleet, "e0");
	e->speed =
		(struct spd){ .factor = 4, .last_factor = 4, .pause_rate = 1 };
	e->running = flt_find(&w.fleet, "e1")->running = 3;
	e->peer_running = flt_find(&w.fleet, "e1")->peer_running = 0;
	e->peer_prefill_tokens = 0;
	flt_find(&w.fleet, "e1")->peer_prefill_tokens = 100;
	q = query_of(&w, LONG_TOKENS);
	r = pick_endpoint(&w.fleet, &q);
	CU_ASSERT_STRING_EQUAL(r.endpoint->info.id, "e1");
	CU_ASSERT_PTR_EQUAL(r.avoided, e);
	q.excluded[q.nr_excluded++] = r.endpoint;
	r = pick_endpoint(&w.fleet, &q);
	CU_ASSERT_PTR_EQUAL(r.endpoint, e);
	CU_ASSERT_PTR_NULL(r.avoided);
	flt_free(&w.fleet);
}

/* Prints the time of a choice among 300 endpoints. */
static void time_of_a_choice(void)
{
	const unsigned rounds = 2000;
	struct timespec from, to;
	struct pick_query q;
	struct flt_endpoint *e;
	unsigned i, k, found = 0;
	double ns;

	memset(&w, 0, sizeof(w));
	rnd_seed(&w.rnd, 3);
	random_fleet(&w, 300);
	cds_list_for_each_entry(e, &w.fleet.endpoints, node) {
		if (rnd_below(&w.rnd, 4) == 0)
			e->speed = (struct spd){ .factor = 2.2,
						 .last_factor = 2.2 };
	}
	q = query_of(&w, LONG_TOKENS);
	for (k = 0; k < 4; k++) {
		q.speeds = k % 2;
		q.sending_peers = k / 2 * 84;
		clock_gettime(CLOCK_MONOTONIC, &from);
		for (i = 1; i <= rounds; i++) {
			q.sample_seed = i;
			found += pick_endpoint(&w.fleet, &q).endpoint != NULL;
		}
		clock_gettime(CLOCK_MONOTONIC, &to);
		ns = (double)(to.tv_sec - from.tv_sec) * 1e9 +
		     (double)(to.tv_nsec - from.tv_nsec);
		printf("  300 endpoints, %u senders, speeds %d: %.1f us\n",
		       q.sending_peers, q.speeds, ns / rounds / 1000);
	}
	CU_ASSERT_EQUAL(found, 4 * rounds);
	flt_free(&w.fleet);
}

static const struct unit_test tests[] = {
	{ "work is in proportion to speed", work_is_in_proportion_to_speed },
	{ "running streams keep their pause bound",
	  running_streams_keep_their_pause_bound },
	{ "recovered engine is used within seconds",
	  recovered_engine_is_used_within_seconds },
	{ "noise changes no choice", noise_changes_no_choice },
	{ "engines of one speed have no factor",
	  engines_of_one_speed_have_no_factor },
	{ "choice among equal speeds is as before",
	  choice_among_equal_speeds_is_as_before },
	{ "slow endpoint is better than none",
	  slow_endpoint_is_better_than_none },
	{ "time of a choice", time_of_a_choice },
};

UNIT_MAIN("pick", tests)
