/*
 * duty: holding one duty under a lease, and the order fence that goes with
 * it. Pure; the shell makes the calls that the actions name.
 *
 * A lease time is counted from before its request was sent, by the monotonic
 * clock, and the holder stops a margin early. A holder that was paused may
 * still wake late: the fence number is what endpoints that check refuse, and
 * for endpoints that ignore it a new holder first waits out the old lease.
 */
#ifndef DUTY_H
#define DUTY_H

#include <stdbool.h>
#include <stdint.h>

enum duty_state {
	DUTY_IDLE,	/* not held; another may hold it */
	DUTY_ACQUIRING, /* a call to take it is under way */
	DUTY_WAITING,	/* held, waiting out the former holder */
	DUTY_HELD,	/* held: orders may be given */
};

enum duty_action {
	DUTY_NOTHING,
	DUTY_ACQUIRE, /* grant a lease, then create the duty's key if absent */
	DUTY_RENEW,   /* keep the lease alive */
};

struct duty {
	enum duty_state state;
	int64_t lease_ms;
	int64_t margin_ms;
	int64_t request_sent_ms;  /* before the last request was sent */
	int64_t valid_until_ms;	  /* end of what we hold, margin taken off */
	int64_t unfenced_from_ms; /* orders wait until then */
	int64_t next_ms;	  /* next action */
	uint64_t fence; /* the key's create revision: rises by holder */
	bool renewing;
};

/* `lease_ms` as asked of the key-value service. */
void duty_init(struct duty *d, int64_t lease_ms);

/* What to do now; each action must be answered by one of the next four. */
enum duty_action duty_tick(struct duty *d, int64_t now_ms);

/*
 * DUTY_ACQUIRE succeeded with `fence`. `fresh` is true if it is known that the
 * duty had no former holder whose lease could still run.
 */
void duty_acquired(struct duty *d, uint64_t fence, bool fresh, int64_t now_ms);

/* DUTY_ACQUIRE found another holder. */
void duty_refused(struct duty *d, int64_t now_ms);

/* DUTY_RENEW succeeded. */
void duty_renewed(struct duty *d, int64_t now_ms);

/*
 * A call failed or got no answer. What it did is not known: a take is asked
 * again (the key's value tells whether it is ours), a renewal too until the
 * lease has run out.
 */
void duty_failed(struct duty *d, int64_t now_ms);

/* The service says that the lease is gone. */
void duty_lost(struct duty *d, int64_t now_ms);

/* True if an order may be given now to endpoints that check fences. */
bool duty_may_act(const struct duty *d, int64_t now_ms);

/* True if an order may be given now to endpoints that ignore fences. */
bool duty_may_act_unfenced(const struct duty *d, int64_t now_ms);

#endif
