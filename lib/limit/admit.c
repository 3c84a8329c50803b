#include "limit/admit.h"

/* Retry-After values for reasons that have no better estimate. */
#define RETRY_SOON_MS 500
#define RETRY_LATER_MS 2000

static struct admit_result refuse(enum admit_reason reason, int status,
				  int64_t retry_ms)
{
	const struct admit_result r = { ADMIT_REFUSE, reason, retry_ms,
					status };

	return r;
}

static struct admit_result accept_as(enum admit_verdict verdict)
{
	const struct admit_result r = { verdict, ADMIT_OK, 0, 0 };

	return r;
}

struct admit_result admit_decide(const struct admit_facts *f)
{
	const double wait = f->queue_wait_ms + f->predicted_ms;
	int64_t back = (int64_t)(wait - (double)f->wait_limit_ms);

	if (f->draining)
		return refuse(ADMIT_DRAINING, 503, 0);
	if (f->cut_off)
		return refuse(ADMIT_CUT_OFF, 503, RETRY_LATER_MS);
	if (f->in_flight >= f->max_in_flight)
		return refuse(ADMIT_TOO_MANY, 503, RETRY_SOON_MS);
	if (f->account_in_flight >= f->account_max_in_flight)
		return refuse(ADMIT_TOO_MANY, 429, RETRY_SOON_MS);
	if (!f->has_endpoint)
		return refuse(ADMIT_NO_ENDPOINT, 503, RETRY_LATER_MS);
	if (wait > (double)f->wait_limit_ms) {
		if (back < RETRY_SOON_MS)
			back = RETRY_SOON_MS;
		return refuse(ADMIT_TOO_LATE, 503, back);
	}
	if (!f->share_ok)
		return refuse(ADMIT_OVER_LIMIT, 429, f->share_retry_ms);
	if (f->has_room && !f->queued)
		return accept_as(ADMIT_GO);
	if (f->queued >= f->max_queued)
		return refuse(ADMIT_QUEUE_FULL, 503, RETRY_SOON_MS);
	return accept_as(ADMIT_WAIT);
}

const char *admit_reason_name(enum admit_reason r)
{
	static const char *const names[] = {
		"ok",	      "draining", "cut-off",	 "too-many",
		"over-limit", "too-late", "no-endpoint", "queue-full",
	};

	return names[r];
}

/*
 * Retries that each request adds, as in the paper the design follows (more only
 * amplifies a fault), and the maximum level in retries.
 */
#define RETRY_RATIO 0.1
#define RETRY_BURST 10.0

void retry_budget_init(struct retry_budget *b)
{
	b->level = RETRY_BURST;
}

void retry_budget_earn(struct retry_budget *b)
{
	b->level += RETRY_RATIO;
	if (b->level > RETRY_BURST)
		b->level = RETRY_BURST;
}

bool retry_budget_spend(struct retry_budget *b)
{
	if (b->level < 1.0)
		return false;
	b->level -= 1.0;
	return true;
}
