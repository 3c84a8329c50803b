#include "request/leave.h"

#include <math.h>

/* Smoothing factor of the means: about the last twenty answers. */
#define SMOOTHING 0.05

/* Answers that the means must be based on. */
#define MIN_SAMPLES 3

static double scaled_ms(const struct leave_times *t, double tokens)
{
	return tokens > 0 && t->tokens > 0 ? t->ms * tokens / t->tokens : t->ms;
}

void leave_learn(struct leave_times *t, double tokens, double ms)
{
	double smoothing = 1 / (t->samples + 1), expected;

	if (!(ms >= 0) || !isfinite(ms) || !(tokens >= 0) || !isfinite(tokens))
		return;
	if (smoothing < SMOOTHING)
		smoothing = SMOOTHING;
	else
		t->samples += 1;
	expected = scaled_ms(t, tokens);
	if (t->samples > 1 && expected > 0)
		t->error +=
			(fabs(ms - expected) / expected - t->error) * smoothing;
	t->ms += (ms - t->ms) * smoothing;
	t->tokens += (tokens - t->tokens) * smoothing;
}

double leave_expect(const struct leave_times *t, double tokens)
{
	if (t->samples < MIN_SAMPLES)
		return -1;
	return scaled_ms(t, tokens) * (1 + t->error);
}

bool leave_may_send(const struct leave_query *q)
{
	if (q->deadline_ms <= q->left_ms)
		return true;
	if (!q->repeatable && (q->expected_ms < 0 || q->overdue))
		return false;
	if (q->expected_ms < 0)
		return q->since_ms < LEAVE_ACCEPT_MS && q->left_ms > 0;
	return q->expected_ms + (double)q->stall_ms <= (double)q->left_ms;
}
