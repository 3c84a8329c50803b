#include "base/log.h"

#include <log4c.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

/*
 * Global, because log4c has one table of categories per process. One level for
 * all areas, set before the first thread starts.
 */
static enum log_level max_level = LOG_LEVEL_WARN;

/*
 * log4c adds categories to its hash table without a lock: two threads that
 * logged for the first time concurrently crashed in it (found with
 * ThreadSanitizer).
 */
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static const int priority_of[] = {
	[LOG_LEVEL_ERROR] = LOG4C_PRIORITY_ERROR,
	[LOG_LEVEL_WARN] = LOG4C_PRIORITY_WARN,
	[LOG_LEVEL_INFO] = LOG4C_PRIORITY_INFO,
	[LOG_LEVEL_DEBUG] = LOG4C_PRIORITY_DEBUG,
};

static const char *const level_names[] = { "error", "warn", "info", "debug" };

static const char *format_line(const log4c_layout_t *layout,
			       const log4c_logging_event_t *ev)
{
	static __thread char line[2048];
	struct timespec ts;
	struct tm tm;
	size_t n;

	(void)layout;
	clock_gettime(CLOCK_REALTIME, &ts);
	gmtime_r(&ts.tv_sec, &tm);
	n = strftime(line, sizeof(line), "%Y-%m-%dT%H:%M:%S", &tm);
	snprintf(line + n, sizeof(line) - n, ".%03ldZ %s %s %s\n",
		 ts.tv_nsec / 1000000,
		 log4c_priority_to_string(ev->evt_priority), ev->evt_category,
		 ev->evt_msg);
	return line;
}

/* Unlike log4c's stream appenders, adds no prefix and does not buffer. */
static int append_stderr(log4c_appender_t *appender,
			 const log4c_logging_event_t *ev)
{
	(void)appender;
	return fputs(ev->evt_rendered_msg, stderr) < 0 ? -1 : 0;
}

static const log4c_appender_type_t appender_type = { "marldock", NULL,
						     append_stderr, NULL };

static const log4c_layout_type_t layout_type = { "marldock", format_line };

int log_open(const char *level)
{
	log4c_category_t *root;
	log4c_appender_t *out;
	size_t i;

	for (i = 0; i < 4; i++) {
		if (!strcmp(level, level_names[i]))
			max_level = (enum log_level)i;
	}
	if (log4c_init())
		return -1;
	log4c_layout_type_set(&layout_type);
	out = log4c_appender_get("stderr");
	log4c_appender_type_set(&appender_type);
	log4c_appender_set_type(out, log4c_appender_type_get("marldock"));
	log4c_appender_set_layout(out, log4c_layout_get("marldock"));
	log4c_layout_set_type(log4c_layout_get("marldock"), &layout_type);
	root = log4c_category_get("marldock");
	log4c_category_set_appender(root, out);
	log4c_category_set_priority(root, priority_of[max_level]);
	log4c_category_set_additivity(root, 0);
	return 0;
}

void log_close(void)
{
	log4c_fini();
}

void log_line(enum log_level level, const char *area, const char *fmt, ...)
{
	char text[1536];
	char name[64];
	va_list ap;

	if (level > max_level)
		return;
	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	snprintf(name, sizeof(name), "marldock.%s", area);
	pthread_mutex_lock(&lock);
	log4c_category_log(log4c_category_get(name), priority_of[level], "%s",
			   text);
	pthread_mutex_unlock(&lock);
}
