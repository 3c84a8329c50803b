/*
 * duty: the prefix is the word itself. A duty is a singleton role that one
 * process at a time holds under a lease; its fencing token orders successive
 * holders. No I/O: the caller makes the calls that the actions name.
 *
 * Lease time is counted on the monotonic clock from before the request was
 * sent, and the holder stops acting a safety margin before the lease expires.
 * A holder that was paused may still send a command late. Endpoints that check
 * the fencing token refuse it. For endpoints that ignore the token, a new
 * holder first waits until the previous lease has expired.
 */
#ifndef DUTY_H
#define DUTY_H

#include <stdbool.h>
#include <stdint.h>

enum duty_state {
	DUTY_IDLE,	/* not held here; another process may hold it */
	DUTY_ACQUIRING, /* a DUTY_ACQUIRE call is in flight */
	DUTY_WAITING,	/* held; the previous lease may not have expired yet */
	DUTY_HELD,	/* held; commands to all endpoints are allowed */
};

enum duty_action {
	DUTY_NOTHING,
	DUTY_ACQUIRE, /* grant a lease, then create the duty's key if absent */
	DUTY_RENEW,   /* renew the lease */
};

/* All times are in milliseconds on the monotonic clock. */
struct duty {
	enum duty_state state;
	int64_t lease_ms;	  /* length of the lease */
	int64_t margin_ms;	  /* safety margin at the end of the lease */
	int64_t request_sent_ms;  /* taken before the last request was sent */
	int64_t valid_until_ms;	  /* end of the lease minus the margin */
	int64_t unfenced_from_ms; /* no unfenced commands before this time */
	int64_t next_ms;	  /* time of the next action */
	uint64_t fence; /* fencing token: the key's create revision, which
			   increases with each holder; 0 if idle */
	bool renewing;	/* a DUTY_RENEW call is in flight */
};

/* Sets the state to idle. `lease_ms` is the lease time that is requested from
 * the key-value service. */
void duty_init(struct duty *d, int64_t lease_ms);

/*
 * Returns the call to make now. For any action but DUTY_NOTHING the caller
 * reports the result by one of duty_acquired, duty_refused, duty_renewed,
 * duty_failed and duty_lost.
 */
enum duty_action duty_tick(struct duty *d, int64_t now_ms);

/*
 * DUTY_ACQUIRE succeeded with fencing token `fence`. `fresh` is true only if
 * it is certain that no previous holder's lease can still be running.
 */
void duty_acquired(struct duty *d, uint64_t fence, bool fresh, int64_t now_ms);

/* DUTY_ACQUIRE failed because another process holds the duty. */
void duty_refused(struct duty *d, int64_t now_ms);

/* DUTY_RENEW succeeded. The state becomes idle if `now_ms` is valid_until_ms or
 * later. */
void duty_renewed(struct duty *d, int64_t now_ms);

/*
 * A call failed or timed out, so its effect is unknown. An acquisition is
 * retried (the key's value shows whether this process owns it); a renewal is
 * retried until the lease expires.
 */
void duty_failed(struct duty *d, int64_t now_ms);

/* The key-value service reported that the lease no longer exists. */
void duty_lost(struct duty *d, int64_t now_ms);

/* Returns true if endpoints that check fencing tokens may be sent commands. */
bool duty_may_act(const struct duty *d, int64_t now_ms);

/* Returns true if endpoints that ignore fencing tokens may be sent commands. */
bool duty_may_act_unfenced(const struct duty *d, int64_t now_ms);

#endif
