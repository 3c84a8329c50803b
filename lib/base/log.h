/*
 * log: log lines through log4c, one per decision, to stderr.
 *
 * Callers write `key=value` pairs and quote values that have spaces. The log4c
 * category is marldock.AREA. The level is set once, from the settings. Unlike
 * jlog, a call can block while the reader of stderr is slow.
 */
#ifndef LOG_H
#define LOG_H

enum log_level {
	LOG_LEVEL_ERROR,
	LOG_LEVEL_WARN,
	LOG_LEVEL_INFO,
	LOG_LEVEL_DEBUG
};

/*
 * Must be called before log_line, and before threads start. `level`: error,
 * warn, info or debug; otherwise warn. Returns 0, or -1 if log4c cannot be
 * initialized.
 */
int log_open(const char *level);
void log_close(void);

/*
 * Writes a line, unless `level` is more verbose than that of log_open. `area`
 * names the module or duty, such as "route" or "member". The text is truncated
 * to 1,535 bytes. Can be called by any thread.
 */
void log_line(enum log_level level, const char *area, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

#endif
