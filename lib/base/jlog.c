#include "base/jlog.h"

#include <assert.h>
#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "base/buf.h"

/* Buffered bytes that the reader has not taken; about 1,500 lines. */
#define MAX_PENDING_BYTES 262144

/* Rate limit, in lines per second; a busy entry writes about 150. */
#define MAX_LINES_PER_S 2000

/*
 * Interval of writes, in seconds. A write per line would cost more than
 * composing the line.
 */
#define FLUSH_S 0.25

struct jlog {
	struct ev_loop *loop;
	const struct clk *clk;
	int fd;
	enum jlog_level level;
	char instance[64];
	struct buf pending; /* lines not written yet, <= MAX_PENDING_BYTES */
	struct buf line;    /* the current line */
	bool suppressed;    /* the current line is more verbose than `level` */
	ev_timer flush;
	uint64_t dropped, dropped_reported; /* lines: total, already logged */
	int64_t second;			    /* boot clock, seconds */
	unsigned lines_in_second;	    /* for the rate limit */
};

static void flush(struct jlog *l)
{
	size_t at = 0;
	ssize_t n;

	while (at < l->pending.len) {
		n = write(l->fd, l->pending.data + at, l->pending.len - at);
		if (n <= 0)
			break; /* reader slow or closed: keep the rest */
		at += (size_t)n;
	}
	if (at == l->pending.len)
		buf_free(&l->pending);
	else
		buf_shift(&l->pending, at);
}

static void on_flush(struct ev_loop *loop, ev_timer *t, int revents)
{
	struct jlog *l = t->data;

	(void)revents;
	ev_timer_stop(loop, t);
	flush(l);
	if (l->pending.len)
		ev_timer_again(loop, t);
}

struct jlog *jlog_create(struct ev_loop *loop, const struct clk *clk, int fd,
			 enum jlog_level level, const char *instance)
{
	struct jlog *l = calloc(1, sizeof(*l));
	const int flags = fcntl(fd, F_GETFL);

	assert(l);
	l->loop = loop;
	l->clk = clk;
	l->fd = fd;
	l->level = level;
	str_copy(l->instance, instance, sizeof(l->instance));
	if (flags >= 0)
		fcntl(fd, F_SETFL, flags | O_NONBLOCK);
	ev_timer_init(&l->flush, on_flush, 0, FLUSH_S);
	l->flush.data = l;
	return l;
}

void jlog_free(struct jlog *l)
{
	if (!l)
		return;
	ev_timer_stop(l->loop, &l->flush);
	flush(l);
	buf_free(&l->pending);
	buf_free(&l->line);
	free(l);
}

static void put_time(struct jlog *l)
{
	struct timespec ts;
	struct tm tm;
	char text[40];

	l->clk->vt->wall(l->clk, &ts);
	gmtime_r(&ts.tv_sec, &tm);
	strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%S", &tm);
	buf_fmt(&l->line, "{\"time\":\"%s.%03ldZ\"", text,
		ts.tv_nsec / 1000000);
}

void jlog_begin(struct jlog *l, enum jlog_level level, const char *event)
{
	static const char *const names[] = { "error", "warn", "info", "debug" };

	l->suppressed = level > l->level;
	if (l->suppressed)
		return;
	buf_reset(&l->line);
	put_time(l);
	buf_fmt(&l->line, ",\"level\":\"%s\",\"instance\":\"%s\"", names[level],
		l->instance);
	jlog_str(l, "event", event);
}

static void put_key(struct jlog *l, const char *name)
{
	buf_str(&l->line, ",\"");
	buf_str(&l->line, name);
	buf_str(&l->line, "\":");
}

void jlog_str(struct jlog *l, const char *name, const char *value)
{
	if (l->suppressed)
		return;
	put_key(l, name);
	buf_json(&l->line, value ? value : "");
}

void jlog_int(struct jlog *l, const char *name, int64_t value)
{
	if (l->suppressed)
		return;
	put_key(l, name);
	buf_fmt(&l->line, "%lld", (long long)value);
}

void jlog_num(struct jlog *l, const char *name, double value)
{
	if (l->suppressed)
		return;
	put_key(l, name);
	buf_fmt(&l->line, "%.3g", value);
}

void jlog_bool(struct jlog *l, const char *name, bool value)
{
	if (l->suppressed)
		return;
	put_key(l, name);
	buf_str(&l->line, value ? "true" : "false");
}

static bool over_limit(struct jlog *l)
{
	const int64_t second = clk_boot_ms(l->clk) / 1000;

	if (second != l->second) {
		l->second = second;
		l->lines_in_second = 0;
	}
	return l->lines_in_second++ >= MAX_LINES_PER_S ||
	       l->pending.len + l->line.len > MAX_PENDING_BYTES;
}

void jlog_end(struct jlog *l)
{
	if (l->suppressed)
		return;
	if (over_limit(l)) {
		l->dropped++;
		return;
	}
	if (l->dropped != l->dropped_reported) {
		jlog_int(l, "lines_dropped",
			 (int64_t)(l->dropped - l->dropped_reported));
		l->dropped_reported = l->dropped;
	}
	buf_str(&l->line, "}\n");
	buf_add(&l->pending, l->line.data, l->line.len);
	if (!ev_is_active(&l->flush))
		ev_timer_again(l->loop, &l->flush);
}

uint64_t jlog_dropped(const struct jlog *l)
{
	return l->dropped;
}
