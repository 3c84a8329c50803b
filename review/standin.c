/*
 * Small stand-ins for the review's cases; plain C, no libraries.
 *
 *   standin store [ERA]                  the platform's store and its duty calls
 *   standin call ADDRESS URL             a GET, such as /test/copy to a store
 *   standin load ADDRESS ID SECONDS      GETs one after the other
 *   standin put ADDRESS KEY              writes standard input under KEY
 *   standin replica OPTIONS              a replica; see replica_main()
 *   standin proxy TO MODE_FILE           a link; the file holds pass or cut
 *   standin ready ADDRESS                prints the status of GET /v1/readyz
 *   standin stream ADDRESS ID EVENTS     one client of a stream
 *   standin pipeline ADDRESS ID          one client, three GETs on a channel
 *
 * All sockets are on loopback, at free ports. Servers print "ready ADDRESS".
 */
#define _GNU_SOURCE
#include <arpa/inet.h>
#include <ctype.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

/* ---- Time, text, sockets ---- */

static int64_t now_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_REALTIME, &t);
	return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

static void sleep_ms(int64_t ms)
{
	struct timespec t = { ms / 1000, ms % 1000 * 1000000 };

	while (ms > 0 && nanosleep(&t, &t) && errno == EINTR)
		;
}

/* One line, written at once, so that lines of several processes stay whole. */
__attribute__((format(printf, 1, 2))) static void say(const char *fmt, ...)
{
	char line[1200];
	const int64_t t = now_ms();
	int n = snprintf(line, sizeof(line), "%lld.%03d ",
			 (long long)(t / 1000), (int)(t % 1000));
	va_list ap;

	va_start(ap, fmt);
	n += vsnprintf(line + n, sizeof(line) - (size_t)n - 1, fmt, ap);
	va_end(ap);
	if (n > (int)sizeof(line) - 2)
		n = (int)sizeof(line) - 2;
	line[n++] = '\n';
	if (write(STDOUT_FILENO, line, (size_t)n) < 0)
		exit(2);
}

struct text {
	char *data;
	size_t len, size;
};

static void add_bytes(struct text *t, const void *data, size_t n)
{
	if (t->len + n + 1 > t->size) {
		t->size = 2 * (t->len + n + 1);
		t->data = realloc(t->data, t->size);
		if (!t->data)
			abort();
	}
	memcpy(t->data + t->len, data, n);
	t->len += n;
	t->data[t->len] = '\0';
}

__attribute__((format(printf, 2, 3))) static void
add(struct text *t, const char *fmt, ...)
{
	char part[4096];
	va_list ap;
	int n;

	va_start(ap, fmt);
	n = vsnprintf(part, sizeof(part), fmt, ap);
	va_end(ap);
	if (n < 0 || n >= (int)sizeof(part))
		abort();
	add_bytes(t, part, (size_t)n);
}

static bool send_all(int fd, const void *data, size_t n)
{
	const char *at = data;

	while (n) {
		const ssize_t k = send(fd, at, n, MSG_NOSIGNAL);

		if (k < 0 && errno == EINTR)
			continue;
		if (k <= 0)
			return false;
		at += k;
		n -= (size_t)k;
	}
	return true;
}

static struct sockaddr_in address_of(const char *text)
{
	struct sockaddr_in a = { .sin_family = AF_INET };
	const char *colon = strrchr(text, ':');
	char ip[32] = "";

	if (!colon || colon - text >= (int)sizeof(ip)) {
		fprintf(stderr, "'%s' is no address\n", text);
		exit(2);
	}
	memcpy(ip, text, (size_t)(colon - text));
	inet_pton(AF_INET, ip, &a.sin_addr);
	a.sin_port = htons((uint16_t)atoi(colon + 1));
	return a;
}

static int connect_to(const char *to)
{
	const struct sockaddr_in a = address_of(to);
	const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	if (connect(fd, (const struct sockaddr *)&a, sizeof(a))) {
		close(fd);
		return -1;
	}
	return fd;
}

/* Listens; writes where to `at`, 32 bytes. */
static int listen_at(const char *where, char *at)
{
	struct sockaddr_in a = address_of(where);
	const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;
	socklen_t n = sizeof(a);
	char ip[32];

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&a, sizeof(a)) || listen(fd, 256)) {
		perror(where);
		exit(2);
	}
	getsockname(fd, (struct sockaddr *)&a, &n);
	inet_ntop(AF_INET, &a.sin_addr, ip, sizeof(ip));
	snprintf(at, 32, "%.20s:%u", ip, ntohs(a.sin_port));
	return fd;
}

struct handed {
	int fd;
	void *arg;
};

static void serve(int listener, void *(*each)(void *), void *arg)
{
	for (;;) {
		const int fd = accept4(listener, NULL, NULL, SOCK_CLOEXEC);
		const int on = 1;
		struct handed *h;
		pthread_t t;

		if (fd < 0)
			continue;
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		h = malloc(sizeof(*h));
		*h = (struct handed){ fd, arg };
		if (pthread_create(&t, NULL, each, h)) {
			close(fd);
			free(h);
			continue;
		}
		pthread_detach(t);
	}
}

/* ---- HTTP messages ---- */

struct channel {
	int fd;
	char buf[65536];
	size_t from, to;
};

/* -1: the end, or an error. */
static int get_byte(struct channel *c)
{
	ssize_t n;

	if (c->from == c->to) {
		do
			n = recv(c->fd, c->buf, sizeof(c->buf), 0);
		while (n < 0 && errno == EINTR);
		if (n <= 0)
			return -1;
		c->from = 0;
		c->to = (size_t)n;
	}
	return (unsigned char)c->buf[c->from++];
}

static bool get_line(struct channel *c, char *line, size_t size)
{
	size_t n = 0;
	int b;

	while ((b = get_byte(c)) >= 0) {
		if (b == '\n') {
			if (n && line[n - 1] == '\r')
				n--;
			line[n] = '\0';
			return true;
		}
		if (n + 1 < size)
			line[n++] = (char)b;
	}
	return false;
}

struct message {
	char first[1024]; /* request or status line */
	char method[16], url[512];
	int status;
	char names[64][64], values[64][512];
	int headers;
	struct text body;
};

static const char *header(const struct message *m, const char *name)
{
	int i;

	for (i = 0; i < m->headers; i++) {
		if (!strcasecmp(m->names[i], name))
			return m->values[i];
	}
	return "";
}

static bool get_head(struct channel *c, struct message *m)
{
	char line[1024], *colon;

	m->headers = 0;
	m->body.len = 0;
	if (!get_line(c, m->first, sizeof(m->first)))
		return false;
	m->method[0] = m->url[0] = '\0';
	m->status = 0;
	if (sscanf(m->first, "HTTP/1.1 %d", &m->status) != 1)
		sscanf(m->first, "%15s %511s", m->method, m->url);
	while (get_line(c, line, sizeof(line))) {
		if (!line[0])
			return true;
		colon = strchr(line, ':');
		if (!colon || m->headers == 64)
			continue;
		*colon++ = '\0';
		while (*colon == ' ')
			colon++;
		snprintf(m->names[m->headers], 64, "%.63s", line);
		snprintf(m->values[m->headers], 512, "%.511s", colon);
		m->headers++;
	}
	return false;
}

static bool get_bytes(struct channel *c, struct text *out, size_t n)
{
	int b;
	char one;

	while (n--) {
		b = get_byte(c);
		if (b < 0)
			return false;
		one = (char)b;
		add_bytes(out, &one, 1);
	}
	return true;
}

static bool get_message(struct channel *c, struct message *m)
{
	if (!get_head(c, m))
		return false;
	return get_bytes(c, &m->body,
			 (size_t)strtoul(header(m, "Content-Length"), NULL, 10));
}

/* Of the store, for its header; 0: no such header. */
static int64_t store_era;

static void answer(int fd, int status, const char *headers, const char *body)
{
	struct text t = { 0 };

	add(&t, "HTTP/1.1 %d X\r\n", status);
	if (store_era)
		add(&t, "Store-Era: %lld\r\n", (long long)store_era);
	add(&t, "%sContent-Type: application/json\r\n"
		"Content-Length: %zu\r\n\r\n", headers, strlen(body));
	add_bytes(&t, body, strlen(body));
	send_all(fd, t.data, t.len);
	free(t.data);
}

static void query(const char *url, const char *name, char *out, size_t size)
{
	const char *at = strchr(url, '?');
	const size_t len = strlen(name);
	size_t n = 0;

	out[0] = '\0';
	while (at && *at) {
		at++;
		if (!strncmp(at, name, len) && at[len] == '=') {
			for (at += len + 1; *at && *at != '&' && n + 1 < size;
			     at++) {
				unsigned hex;

				if (*at == '%' && sscanf(at + 1, "%2x", &hex)) {
					out[n++] = (char)hex;
					at += 2;
				} else {
					out[n++] = *at;
				}
			}
			out[n] = '\0';
			return;
		}
		at = strchr(at, '&');
	}
}

/* ---- The store ---- */

#define MAX_ITEMS 512
#define MAX_EVENTS 16384
#define MAX_LEASES 64

static struct {
	pthread_mutex_t lock;
	pthread_cond_t changed;
	int64_t revision;
	struct item {
		char key[200];
		char *value; /* base64; NULL: there is none */
		int64_t revision, created, lease;
	} items[MAX_ITEMS];
	int nr_items;
	struct event {
		int64_t revision;
		struct text json;
		char key[200];
	} events[MAX_EVENTS];
	int nr_events;
	struct lease {
		int64_t id, ttl_ms, until_ms;
	} leases[MAX_LEASES];
	int nr_leases;
	int64_t next_lease;
	int64_t from;	    /* revision that the history begins after */
	int64_t away_until_ms;
	/* What it comes back from. */
	struct item old_items[MAX_ITEMS];
	struct lease old_leases[MAX_LEASES];
	int nr_old_items, nr_old_leases;
	int64_t old_revision, old_next_lease;
} store = { .lock = PTHREAD_MUTEX_INITIALIZER,
	    .changed = PTHREAD_COND_INITIALIZER,
	    .revision = 100,
	    .from = 100,
	    .next_lease = 1000 };

static struct item *find_item(const char *key, bool make)
{
	int i;

	for (i = 0; i < store.nr_items; i++) {
		if (!strcmp(store.items[i].key, key))
			return &store.items[i];
	}
	if (!make)
		return NULL;
	if (store.nr_items == MAX_ITEMS)
		abort();
	snprintf(store.items[i].key, sizeof(store.items[i].key), "%.199s", key);
	store.nr_items++;
	return &store.items[i];
}

static void put_item(struct text *t, const struct item *it)
{
	add(t, "{\"key\":\"%s\",\"value\":\"", it->key);
	add_bytes(t, it->value, strlen(it->value));
	add(t, "\",\"revision\":%lld,\"created\":%lld,\"lease\":%lld}",
	    (long long)it->revision, (long long)it->created,
	    (long long)it->lease);
}

static void record_event(struct item *it)
{
	struct event *e = &store.events[store.nr_events++];

	if (store.nr_events == MAX_EVENTS)
		abort();
	e->revision = store.revision;
	e->json.len = 0;
	snprintf(e->key, sizeof(e->key), "%s", it->key);
	if (it->value)
		put_item(&e->json, it);
	else
		add(&e->json,
		    "{\"key\":\"%s\",\"revision\":%lld,\"deleted\":true}",
		    it->key, (long long)store.revision);
	pthread_cond_broadcast(&store.changed);
}

static void write_item(const char *key, char *value, int64_t lease)
{
	struct item *it = find_item(key, true);

	if (!it->value)
		it->created = store.revision;
	free(it->value);
	it->value = value;
	it->lease = lease;
	it->revision = store.revision;
	record_event(it);
}

static void delete_item(struct item *it)
{
	if (!it || !it->value)
		return;
	free(it->value);
	it->value = NULL;
	record_event(it);
}

static struct lease *find_lease(int64_t id)
{
	int i;

	for (i = 0; i < store.nr_leases; i++) {
		if (store.leases[i].id == id)
			return &store.leases[i];
	}
	return NULL;
}

static void end_lease(struct lease *l)
{
	const int64_t id = l->id;
	int i;

	*l = store.leases[--store.nr_leases];
	store.revision++;
	for (i = 0; i < store.nr_items; i++) {
		if (store.items[i].value && store.items[i].lease == id)
			delete_item(&store.items[i]);
	}
}

static void *end_leases(void *arg)
{
	int i;

	(void)arg;
	for (;;) {
		sleep_ms(500);
		pthread_mutex_lock(&store.lock);
		for (i = store.nr_leases - 1; i >= 0; i--) {
			if (now_ms() >= store.leases[i].until_ms)
				end_lease(&store.leases[i]);
		}
		pthread_mutex_unlock(&store.lock);
	}
	return NULL;
}

/* The text of a list in `json`, without its brackets; to be freed. */
static char *list_of(const char *json, const char *name)
{
	char start[64];
	const char *at, *end;

	snprintf(start, sizeof(start), "\"%s\":[", name);
	at = strstr(json, start);
	if (!at)
		return strdup("");
	at += strlen(start);
	end = strchr(at, ']'); /* keys and base64 have no bracket */
	return strndup(at, end ? (size_t)(end - at) : strlen(at));
}

/* The member's text, without quotes; false: there is none. */
static bool member(const char *object, const char *end, const char *name,
		   char **out)
{
	char start[64];
	const char *at;
	size_t n;

	snprintf(start, sizeof(start), "\"%s\":", name);
	at = strstr(object, start);
	if (!at || at >= end)
		return false;
	at += strlen(start);
	if (*at == '"') {
		at++;
		n = strcspn(at, "\"");
	} else {
		n = strcspn(at, ",}");
	}
	*out = strndup(at, n);
	return true;
}

static int64_t number_of(const char *object, const char *end, const char *name)
{
	char *text = NULL;
	int64_t v = 0;

	if (member(object, end, name, &text))
		v = strtoll(text, NULL, 10);
	free(text);
	return v;
}

/* Each object of a list: `at` moves on. */
static const char *next_object(const char **at, const char **end)
{
	const char *o = strchr(*at, '{');

	if (!o)
		return NULL;
	*end = strchr(o, '}');
	if (!*end)
		return NULL;
	*at = *end + 1;
	return o;
}

static int transact(const char *json)
{
	char *on = list_of(json, "expectedRev"), *puts = list_of(json, "writes");
	char *dels = list_of(json, "deletes"), *key, *value;
	const char *at, *o, *end;
	int status = 200;

	for (at = on; status == 200 && (o = next_object(&at, &end));) {
		const struct item *it;

		if (!member(o, end, "key", &key))
			continue;
		it = find_item(key, false);
		free(key);
		if ((it && it->value ? it->revision : 0) !=
		    number_of(o, end, "revision"))
			status = 412;
	}
	for (at = puts; status == 200 && (o = next_object(&at, &end));) {
		const int64_t lease = number_of(o, end, "lease");

		if (lease && !find_lease(lease))
			status = 404;
	}
	if (status == 200) {
		store.revision++;
		for (at = puts; (o = next_object(&at, &end));) {
			if (!member(o, end, "key", &key))
				continue;
			if (member(o, end, "value", &value))
				write_item(key, value,
					   number_of(o, end, "lease"));
			free(key);
		}
		for (key = strtok_r(dels, "\",", &value); key;
		     key = strtok_r(NULL, "\",", &value))
			delete_item(find_item(key, false));
	}
	free(on);
	free(puts);
	free(dels);
	return status;
}

/* ---- A drill: the store comes back from an older copy ---- */

static void copy_store(void)
{
	int i;

	for (i = 0; i < store.nr_items; i++) {
		store.old_items[i] = store.items[i];
		if (store.items[i].value)
			store.old_items[i].value = strdup(store.items[i].value);
	}
	memcpy(store.old_leases, store.leases, sizeof(store.leases));
	store.nr_old_items = store.nr_items;
	store.nr_old_leases = store.nr_leases;
	store.old_revision = store.revision;
	store.old_next_lease = store.next_lease;
	say("store: copied at revision %lld", (long long)store.revision);
}

/* What the operator and the replicas wrote since is written again by them. */
static void come_back(int away_ms)
{
	int i;

	for (i = 0; i < store.nr_items; i++) {
		const struct item *old = &store.old_items[i];

		if (!strncmp(store.items[i].key, "op/", 3) ||
		    !strncmp(store.items[i].key, "servers/", 8))
			continue;
		if (i < store.nr_old_items) {
			store.items[i] = *old;
			if (old->value)
				store.items[i].value = strdup(old->value);
		} else {
			store.items[i].value = NULL;
		}
	}
	for (i = 0; i < store.nr_items; i++) {
		if (store.items[i].revision > store.old_revision)
			store.items[i].revision = store.old_revision;
	}
	memcpy(store.leases, store.old_leases, sizeof(store.leases));
	store.nr_leases = store.nr_old_leases;
	store.away_until_ms = now_ms() + away_ms;
	for (i = 0; i < store.nr_leases; i++)
		store.leases[i].until_ms =
			store.away_until_ms + store.leases[i].ttl_ms;
	store.next_lease = store.old_next_lease;
	store.revision = store.from = store.old_revision;
	store.nr_events = 0;
	store_era++;
	say("store: comes back from its copy, revision %lld, era %lld, in %d ms",
	    (long long)store.revision, (long long)store_era, away_ms);
	pthread_cond_broadcast(&store.changed);
}

static char *base64(const char *data, size_t len)
{
	static const char set[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqr"
				  "stuvwxyz0123456789+/";
	char *out = calloc(1, len / 3 * 4 + 8), *o = out;
	size_t i;

	for (i = 0; i < len; i += 3) {
		const unsigned a = (unsigned char)data[i];
		const unsigned b = i + 1 < len ? (unsigned char)data[i + 1] : 0;
		const unsigned c = i + 2 < len ? (unsigned char)data[i + 2] : 0;

		*o++ = set[a >> 2];
		*o++ = set[(a & 3) << 4 | b >> 4];
		*o++ = i + 1 < len ? set[(b & 15) << 2 | c >> 6] : '=';
		*o++ = i + 2 < len ? set[c & 63] : '=';
	}
	return out;
}

/* The events after a revision, with this prefix; false: there are none. */
static bool collect(struct text *t, const char *prefix, int64_t after)
{
	bool any = false;
	int i;

	add(t, "{\"events\":[");
	for (i = 0; i < store.nr_events; i++) {
		const struct event *e = &store.events[i];

		if (e->revision <= after ||
		    strncmp(e->key, prefix, strlen(prefix)))
			continue;
		if (any)
			add(t, ",");
		add_bytes(t, e->json.data, e->json.len);
		any = true;
	}
	add(t, "],\"currentRev\":%lld}", (long long)store.revision);
	return any;
}

static void on_watch(int fd, const char *url, int64_t era)
{
	char prefix[200], after[32], wait[32];
	struct text t = { 0 };
	struct timespec until;
	int64_t end;

	query(url, "prefix", prefix, sizeof(prefix));
	query(url, "after", after, sizeof(after));
	query(url, "waitMs", wait, sizeof(wait));
	end = now_ms() + atoll(wait);
	until = (struct timespec){ end / 1000, end % 1000 * 1000000 };
	if (atoll(after) > store.revision || atoll(after) < store.from) {
		answer(fd, 410, "", "{}");
		return;
	}
	while (!collect(&t, prefix, atoll(after)) && now_ms() < end &&
	       era == store_era) {
		t.len = 0;
		pthread_cond_timedwait(&store.changed, &store.lock, &until);
	}
	if (era == store_era)
		answer(fd, 200, "", t.data);
	free(t.data);
}

static void on_read(int fd, const char *url, bool range)
{
	char prefix[200], after[200];
	const struct item *it;
	struct text t = { 0 };
	bool any = false;
	int i;

	query(url, range ? "prefix" : "key", prefix, sizeof(prefix));
	query(url, "after", after, sizeof(after));
	if (!range) {
		it = find_item(prefix, false);
		if (it && it->value) {
			put_item(&t, it);
			t.data[--t.len] = '\0';
			add(&t, ",");
		} else {
			add(&t, "{");
		}
		add(&t, "\"currentRev\":%lld}", (long long)store.revision);
		answer(fd, it && it->value ? 200 : 404, "", t.data);
		free(t.data);
		return;
	}
	add(&t, "{\"items\":[");
	for (i = 0; i < store.nr_items; i++) {
		it = &store.items[i];
		if (!it->value || strncmp(it->key, prefix, strlen(prefix)) ||
		    (after[0] && strcmp(it->key, after) <= 0))
			continue;
		if (any)
			add(&t, ",");
		put_item(&t, it);
		any = true;
	}
	add(&t, "],\"morePages\":false,\"currentRev\":%lld}",
	    (long long)store.revision);
	answer(fd, 200, "", t.data);
	free(t.data);
}

static void on_lease(int fd, const struct message *m)
{
	struct lease *l = &store.leases[store.nr_leases++];
	char text[80];

	if (store.nr_leases == MAX_LEASES)
		abort();
	l->id = ++store.next_lease;
	l->ttl_ms = number_of(m->body.data, m->body.data + m->body.len, "ttlMs");
	l->until_ms = now_ms() + l->ttl_ms;
	snprintf(text, sizeof(text), "{\"lease\":%lld,\"ttlMs\":%lld}",
		 (long long)l->id, (long long)l->ttl_ms);
	answer(fd, 200, "", text);
}

static void on_store_call(int fd, const struct message *m, int64_t era)
{
	const char *url = m->url, *slash = strrchr(url, '/');
	const char *body = m->body.data ? m->body.data : "";
	struct lease *l = find_lease(slash ? atoll(slash + 1) : 0);
	char text[80], key[200];
	int status;

	if (!strncmp(url, "/v1/kv-key?", 11)) {
		on_read(fd, url, false);
	} else if (!strncmp(url, "/v1/kv-range?", 13)) {
		on_read(fd, url, true);
	} else if (!strncmp(url, "/v1/kv-watch?", 13)) {
		on_watch(fd, url, era);
	} else if (!strcmp(url, "/v1/kv-txn")) {
		status = transact(m->body.data ? m->body.data : "");
		snprintf(text, sizeof(text), "{\"revision\":%lld,\"items\":[]}",
			 (long long)store.revision);
		answer(fd, status, "", text);
	} else if (!strcmp(url, "/v1/kv-lease")) {
		on_lease(fd, m);
	} else if (!strncmp(url, "/v1/kv-keep/", 12)) {
		if (l)
			l->until_ms = now_ms() + l->ttl_ms;
		answer(fd, l ? 200 : 404, "", "{}");
	} else if (!strncmp(url, "/v1/kv-lease-end/", 17)) {
		if (l)
			end_lease(l);
		answer(fd, l ? 200 : 404, "", "{}");
	} else if (!strncmp(url, "/test/put?", 10)) {
		query(url, "key", key, sizeof(key));
		store.revision++;
		write_item(key,
			   base64(m->body.data ? m->body.data : "", m->body.len),
			   0);
		answer(fd, 200, "", "{}");
	} else if (!strcmp(url, "/test/copy")) {
		copy_store();
		answer(fd, 200, "", "{}");
	} else if (!strncmp(url, "/test/return?", 13)) {
		query(url, "ms", text, sizeof(text));
		come_back(atoi(text));
		answer(fd, 200, "", "{}");
	} else if (!strcmp(url, "/usage") || !strcmp(url, "/scale")) {
		say("cloud: %s by %s with Fencing-Token %s: %.200s", url + 1,
		    header(m, "Duty-Holder"), header(m, "Fencing-Token"), body);
		answer(fd, 200, "", "{}");
	} else {
		answer(fd, 404, "", "{}");
	}
}

static void *store_channel(void *arg)
{
	struct handed *h = arg;
	struct channel c = { .fd = h->fd };
	struct message *m = calloc(1, sizeof(*m));
	int64_t era;

	free(h);
	while (get_message(&c, m)) {
		/* Away: it breaks off what it is asked. */
		if (now_ms() < store.away_until_ms && !strncmp(m->url, "/v1/", 4))
			break;
		era = store_era;
		pthread_mutex_lock(&store.lock);
		on_store_call(c.fd, m, era);
		pthread_mutex_unlock(&store.lock);
		if (era != store_era && !strncmp(m->url, "/v1/", 4))
			break;
	}
	close(c.fd);
	free(m->body.data);
	free(m);
	return NULL;
}

static int store_main(int era)
{
	char at[32];
	const int fd = listen_at("127.0.0.1:0", at);
	pthread_t t;

	store_era = era;
	pthread_create(&t, NULL, end_leases, NULL);
	printf("ready %s\n", at);
	fflush(stdout);
	serve(fd, store_channel, NULL);
	return 0;
}

static bool put(const char *to, const char *key, const char *body, size_t len)
{
	struct message *m = calloc(1, sizeof(*m));
	struct channel *c = calloc(1, sizeof(*c));
	struct text t = { 0 };
	bool ok = false;

	c->fd = connect_to(to);
	if (c->fd >= 0) {
		add(&t, "POST /test/put?key=%s HTTP/1.1\r\nHost: store\r\n"
			"Content-Length: %zu\r\n\r\n", key, len);
		add_bytes(&t, body, len);
		ok = send_all(c->fd, t.data, t.len) && get_message(c, m) &&
		     m->status == 200;
		close(c->fd);
	}
	free(t.data);
	free(m->body.data);
	free(m);
	free(c);
	return ok;
}

static int put_main(const char *to, const char *key)
{
	struct text t = { 0 };
	char part[4096];
	size_t n;

	while ((n = fread(part, 1, sizeof(part), stdin)) > 0)
		add_bytes(&t, part, n);
	return put(to, key, t.data, t.len) ? 0 : 2;
}

/* ---- A replica ---- */

#define MAX_RUNS 256

static struct {
	char id[64], service[64], zone[32], store[32];
	char at[32];	    /* where it listens */
	char registered[32]; /* the address in its entry */
	int64_t born_ms;
	bool unframed, spot;
	int gap_ms, events;
	int leaves_ms; /* on SIGUSR1 */
	volatile sig_atomic_t leaving;
	int64_t leaving_since_ms;
	pthread_mutex_t lock;
	struct run {
		char id[80];
		bool stop, ended;
	} runs[MAX_RUNS];
	int nr_runs;
} replica = { .lock = PTHREAD_MUTEX_INITIALIZER };

static void on_leave(int number)
{
	(void)number;
	replica.leaving = 1;
}

/* Its entry in the store, every 1.2 s and when it begins to leave. */
static void *check_in(void *arg)
{
	int64_t next = 0, seq = 0;
	struct text t = { 0 };
	char key[100];
	bool said = false;

	(void)arg;
	snprintf(key, sizeof(key), "servers/%s", replica.id);
	for (;; sleep_ms(10)) {
		if (replica.leaving && !replica.leaving_since_ms)
			replica.leaving_since_ms = now_ms();
		if (now_ms() < next && said == !!replica.leaving)
			continue;
		t.len = 0;
		add(&t,
		    "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\","
		    "\"version\":\"v1\",\"slots\":64,\"state\":\"%s\","
		    "\"coldLeftMs\":0,\"seqNo\":%lld,\"born\":%lld",
		    replica.service, replica.registered, replica.zone,
		    replica.leaving ? "draining" : "ready", (long long)++seq,
		    (long long)replica.born_ms);
		if (replica.spot)
			add(&t, ",\"spot\":true");
		if (replica.leaving)
			add(&t, ",\"leaves_ms\":%lld",
			    (long long)(replica.leaving_since_ms +
					replica.leaves_ms - now_ms()));
		add(&t, "}");
		if (put(replica.store, key, t.data, t.len) &&
		    said != !!replica.leaving) {
			said = true;
			say("replica %s: draining, leaves in %d ms, accepted by "
			    "the store", replica.id, replica.leaves_ms);
		}
		next = now_ms() + 1200;
	}
	return NULL;
}

static struct run *begin_run(const char *id)
{
	struct run *r;

	pthread_mutex_lock(&replica.lock);
	r = &replica.runs[replica.nr_runs++ % MAX_RUNS];
	*r = (struct run){ .stop = false };
	snprintf(r->id, sizeof(r->id), "%.79s", id);
	pthread_mutex_unlock(&replica.lock);
	return r;
}

/* The page's kv-move, at a replica whose target has no room. */
static void on_move(int fd, const struct message *m)
{
	const char *end = m->body.data + m->body.len;
	struct run *r = NULL;
	char *id = NULL;
	int i;

	if (!m->body.len || !member(m->body.data, end, "id", &id)) {
		answer(fd, 404, "", "{}");
		return;
	}
	pthread_mutex_lock(&replica.lock);
	for (i = 0; i < replica.nr_runs && i < MAX_RUNS; i++) {
		if (!strcmp(replica.runs[i].id, id) && !replica.runs[i].ended)
			r = &replica.runs[i];
	}
	if (r)
		r->stop = true;
	pthread_mutex_unlock(&replica.lock);
	for (i = 0; r && !r->ended && i < 2000; i++)
		sleep_ms(1);
	say("replica %s: kv-move of %s: %s", replica.id, id,
	    r ? "run stopped, 503: no room at the target" : "404");
	answer(fd, r ? 503 : 404, "", r ? "{\"handle\":\"h1\"}" : "{}");
	free(id);
}

static bool put_event(int fd, int i, const char *id)
{
	struct text t = { 0 };
	char event[160];
	const int n = snprintf(event, sizeof(event),
			       "id: %d\ndata: piece %d of %.79s\n\n", i, i, id);
	bool ok;

	if (replica.unframed)
		add(&t, "%s", event);
	else
		add(&t, "%x\r\n%s\r\n", n, event);
	ok = send_all(fd, t.data, t.len);
	free(t.data);
	return ok;
}

/* Returns false if the channel is to be closed. */
static bool run_stream(int fd, const struct message *m, const char *id)
{
	const int after = atoi(header(m, "Last-Event-Id"));
	struct run *r = begin_run(id);
	struct text t = { 0 };
	bool ok;
	int i;

	add(&t, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\n"
		"Replica-Seal: seal-%s\r\nContent-Type: text/event-stream\r\n"
		"%s\r\n", id, replica.id,
	    replica.unframed ? "" : "Transfer-Encoding: chunked\r\n");
	ok = send_all(fd, t.data, t.len);
	free(t.data);
	for (i = after + 1; ok && i <= replica.events && !r->stop; i++) {
		sleep_ms(replica.gap_ms);
		ok = !r->stop && put_event(fd, i, id);
	}
	say("replica %s: stream %s %s, after piece %d of %d", replica.id, id,
	    r->stop	? "stopped"
	    : ok	? "complete"
			: "left by the caller",
	    i - 1 - !ok, replica.events);
	if (ok && !r->stop && !replica.unframed)
		send_all(fd, "0\r\n\r\n", 5);
	/* "its stream is closed without its end", before the call is answered. */
	shutdown(fd, SHUT_WR);
	r->ended = true;
	return false;
}

static bool run_plain(int fd, const struct message *m, const char *id)
{
	struct text head = { 0 }, body = { 0 };
	char work[16];

	query(m->url, "ms", work, sizeof(work));
	sleep_ms(atoi(work));
	add(&body, "answer to %s %s with id %s for account %s", m->method,
	    m->url, id, header(m, "Tenant"));
	while (body.len < 800)
		add(&body, ".");
	add(&head, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\n"
		   "Replica-Seal: seal-%s\r\nContent-Length: %zu\r\n\r\n",
	    id, replica.id, body.len);
	add_bytes(&head, body.data, body.len);
	say("replica %s: %s answered", replica.id, id);
	send_all(fd, head.data, head.len);
	free(head.data);
	free(body.data);
	return true;
}

static void *replica_channel(void *arg)
{
	struct handed *h = arg;
	struct channel *c = calloc(1, sizeof(*c));
	struct message *m = calloc(1, sizeof(*m));
	bool keep = true;
	char id[80];

	c->fd = h->fd;
	free(h);
	while (keep && get_message(c, m)) {
		if (!strcmp(m->url, "/v1/kv-move")) {
			on_move(c->fd, m);
			continue;
		}
		snprintf(id, sizeof(id), "%.79s", header(m, "Attempt-Id"));
		if (!id[0] || strcmp(header(m, "Expect-Replica"), replica.id)) {
			answer(c->fd, id[0] ? 421 : 404, "Not-Executed: 1\r\n",
			       "{}");
			continue;
		}
		say("replica %s: runs %s %s %s after piece %d", replica.id, id,
		    m->method, m->url, atoi(header(m, "Last-Event-Id")));
		keep = strstr(replica.service, "llm")
			       ? run_stream(c->fd, m, id)
			       : run_plain(c->fd, m, id);
	}
	close(c->fd);
	free(m->body.data);
	free(m);
	free(c);
	return NULL;
}

/*
 * --id ID --service S (one with "llm" in its name streams) --zone Z --store A
 * --listen A --registered A (in its entry; default: where it listens)
 * --unframed 1 (streams with neither a length nor chunks) --spot 1 --gap MS
 * --events N --leaves MS. A plain request says in its query how long it takes.
 */
static int replica_main(int argc, char **argv)
{
	const char *listen = "127.0.0.1:0", *registered = NULL;
	pthread_t t;
	int fd, i;

	for (i = 2; i + 1 < argc; i += 2) {
		const char *k = argv[i], *v = argv[i + 1];

		if (!strcmp(k, "--id"))
			snprintf(replica.id, sizeof(replica.id), "%s", v);
		else if (!strcmp(k, "--service"))
			snprintf(replica.service, sizeof(replica.service), "%s",
				 v);
		else if (!strcmp(k, "--zone"))
			snprintf(replica.zone, sizeof(replica.zone), "%s", v);
		else if (!strcmp(k, "--store"))
			snprintf(replica.store, sizeof(replica.store), "%s", v);
		else if (!strcmp(k, "--listen"))
			listen = v;
		else if (!strcmp(k, "--registered"))
			registered = v;
		else if (!strcmp(k, "--unframed"))
			replica.unframed = atoi(v);
		else if (!strcmp(k, "--spot"))
			replica.spot = atoi(v);
		else if (!strcmp(k, "--gap"))
			replica.gap_ms = atoi(v);
		else if (!strcmp(k, "--events"))
			replica.events = atoi(v);
		else if (!strcmp(k, "--leaves"))
			replica.leaves_ms = atoi(v);
	}
	fd = listen_at(listen, replica.at);
	snprintf(replica.registered, sizeof(replica.registered), "%s",
		 registered ? registered : replica.at);
	replica.born_ms = now_ms();
	signal(SIGUSR1, on_leave);
	printf("ready %s\n", replica.at);
	fflush(stdout);
	say("replica %s: starts at %s, registered at %s", replica.id,
	    replica.at, replica.registered);
	pthread_create(&t, NULL, check_in, NULL);
	serve(fd, replica_channel, NULL);
	return 0;
}

/* ---- A link that can be cut ---- */

static struct {
	const char *to, *mode_file;
} proxy;

static void wait_for_link(void)
{
	char mode[16];
	FILE *f;

	for (;; sleep_ms(5)) {
		f = fopen(proxy.mode_file, "r");
		mode[0] = '\0';
		if (f && !fgets(mode, sizeof(mode), f))
			mode[0] = '\0';
		if (f)
			fclose(f);
		if (!strncmp(mode, "pass", 4))
			return;
	}
}

struct pipe_ends {
	int from, to;
	bool is_reply;
};

/* Passes bytes on, then the end as it came: in order, or as a reset. */
static void *pass_on(void *arg)
{
	const struct pipe_ends p = *(struct pipe_ends *)arg;
	const struct linger now = { 1, 0 };
	char part[16384];
	ssize_t n;

	free(arg);
	for (;;) {
		n = recv(p.from, part, sizeof(part), 0);
		if (n < 0 && errno == EINTR)
			continue;
		wait_for_link();
		if (n <= 0 || !send_all(p.to, part, (size_t)n))
			break;
	}
	if (p.is_reply)
		say("link: the replica's side %s",
		    n < 0 ? "was reset" : "was closed in order");
	if (n < 0) {
		setsockopt(p.to, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
		shutdown(p.to, SHUT_RD);
		close(p.to);
	} else {
		shutdown(p.to, SHUT_WR);
	}
	return NULL;
}

static void *proxy_channel(void *arg)
{
	struct handed *h = arg;
	struct pipe_ends *up = malloc(sizeof(*up)), *down = malloc(sizeof(*up));
	const int fd = h->fd;
	pthread_t t;
	int server;

	free(h);
	wait_for_link();
	server = connect_to(proxy.to);
	if (server < 0) {
		close(fd);
		return NULL;
	}
	*up = (struct pipe_ends){ fd, server, false };
	*down = (struct pipe_ends){ server, fd, true };
	pthread_create(&t, NULL, pass_on, up);
	pass_on(down);
	pthread_join(t, NULL);
	close(fd);
	close(server);
	return NULL;
}

static int proxy_main(const char *to, const char *mode_file)
{
	char at[32];
	const int fd = listen_at("127.0.0.1:0", at);

	proxy.to = to;
	proxy.mode_file = mode_file;
	printf("ready %s\n", at);
	fflush(stdout);
	serve(fd, proxy_channel, NULL);
	return 0;
}

/* ---- Clients ---- */

static int get_main(const char *to, const char *url)
{
	struct message *m = calloc(1, sizeof(*m));
	struct channel *c = calloc(1, sizeof(*c));
	struct text t = { 0 };

	add(&t, "GET %s HTTP/1.1\r\nHost: x\r\n\r\n", url);
	c->fd = connect_to(to);
	if (c->fd >= 0 && send_all(c->fd, t.data, t.len) && get_message(c, m))
		printf("%d\n", m->status);
	else
		printf("none\n");
	return 0;
}

static void put_request(struct text *t, const char *method, const char *path,
			const char *id, int deadline_ms, const char *body)
{
	add(t, "%s %s HTTP/1.1\r\nHost: review.example\r\nAttempt-Id: %s\r\n"
	       "Deadline-Ms: %d\r\nAuthorization: Bearer key-one\r\n",
	    method, path, id, deadline_ms);
	if (body)
		add(t, "Model: m\r\nToken-Count: 100,120\r\n"
		       "Content-Type: application/json\r\n"
		       "Content-Length: %zu\r\n\r\n%s", strlen(body), body);
	else
		add(t, "\r\n");
}

/* Reads chunks up to the last one. Returns true if that came. */
static bool get_chunks(struct channel *c, struct text *out)
{
	char line[64];
	size_t n;

	for (;;) {
		if (!get_line(c, line, sizeof(line)))
			return false;
		n = strtoul(line, NULL, 16);
		if (!n)
			return get_line(c, line, sizeof(line)) && !line[0];
		if (!get_bytes(c, out, n) || !get_line(c, line, sizeof(line)))
			return false;
	}
}

/*
 * A client of one stream, in one attempt. Exits with 1 if an answer that looks
 * complete lacks pieces, has one twice or out of order; else with 0.
 */
static int stream_main(const char *to, const char *id, int events)
{
	struct message *m = calloc(1, sizeof(*m));
	struct channel *c = calloc(1, sizeof(*c));
	struct text t = { 0 }, body = { 0 };
	const struct timeval patience = { 15, 0 };
	const char *at;
	bool whole = false, ordered = true;
	int last = 0, n;

	c->fd = connect_to(to);
	put_request(&t, "POST", "/stream/x", id, 12000, "{\"prompt\":1}");
	setsockopt(c->fd, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof(patience));
	say("client %s: sends a stream request", id);
	if (c->fd < 0 || !send_all(c->fd, t.data, t.len) || !get_head(c, m)) {
		say("client %s: no answer", id);
		return 0;
	}
	if (!strcasecmp(header(m, "Transfer-Encoding"), "chunked"))
		whole = get_chunks(c, &body);
	else
		whole = get_bytes(c, &body,
				  strtoul(header(m, "Content-Length"), NULL,
					  10));
	for (at = body.data; at && (at = strstr(at, "id: ")); at += 4) {
		n = atoi(at + 4);
		ordered &= n == last + 1;
		last = n;
	}
	say("client %s: status %d, proof %s, pieces 1 to %d of %d%s, the answer "
	    "%s", id, m->status, header(m, "Replica-Seal"), last, events,
	    ordered ? "" : " (out of order)",
	    whole ? "ends as complete" : "is broken off");
	return m->status == 200 && whole && (last != events || !ordered);
}

/* One answer of a channel with GETs; returns true if it is that of `id`. */
static bool check_answer(struct channel *c, struct message *m, const char *id)
{
	char expected[300];

	if (!get_message(c, m)) {
		say("client %s: the channel ends without an answer", id);
		return true;
	}
	if (m->status != 200) {
		say("client %s: status %d", id, m->status);
		return !header(m, "Attempt-Id")[0] ||
		       !strcmp(header(m, "Attempt-Id"), id);
	}
	snprintf(expected, sizeof(expected), " with id %s for ", id);
	if (m->body.data && strstr(m->body.data, expected)) {
		say("client %s: its own answer", id);
		return true;
	}
	say("client %s: got the answer of %s: \"%.60s\"", id,
	    header(m, "Attempt-Id"), m->body.data ? m->body.data : "");
	return false;
}

/*
 * Three GETs of a safe route on one channel, 100 and 300 ms after the first one,
 * without waiting for answers; they take 500, 500 and 300 ms. Exits with 1 if
 * one gets the answer of another, with 2 if there is no channel.
 */
static int pipeline_main(const char *to, const char *id)
{
	static const int pause_ms[] = { 0, 100, 200 };
	static const int work_ms[] = { 500, 500, 300 };
	struct message *m = calloc(1, sizeof(*m));
	struct channel *c = calloc(1, sizeof(*c));
	const struct timeval patience = { 10, 0 };
	char ids[3][80], path[300];
	struct text t = { 0 };
	int i, foreign = 0;

	c->fd = connect_to(to);
	if (c->fd < 0)
		return 2;
	setsockopt(c->fd, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof(patience));
	for (i = 0; i < 3; i++) {
		sleep_ms(pause_ms[i]);
		snprintf(ids[i], sizeof(ids[i]), "%.60s-%d", id, i + 1);
		snprintf(path, sizeof(path), "/read/%s?ms=%d", ids[i],
			 work_ms[i]);
		t.len = 0;
		put_request(&t, "GET", path, ids[i], 6000, NULL);
		say("client %s: sent as request %d of the channel", ids[i],
		    i + 1);
		if (!send_all(c->fd, t.data, t.len))
			return 0;
	}
	for (i = 0; i < 3; i++)
		foreign += !check_answer(c, m, ids[i]);
	return foreign != 0;
}

/* Each request on a channel of its own, ten a second. */
static int load_main(const char *to, const char *id, int seconds)
{
	const int64_t end = now_ms() + (int64_t)seconds * 1000;
	struct message *m = calloc(1, sizeof(*m));
	struct channel *c = calloc(1, sizeof(*c));
	char ids[80];
	struct text t = { 0 };
	int i;

	for (i = 0; now_ms() < end; i++, sleep_ms(100)) {
		snprintf(ids, sizeof(ids), "%.60s-%d", id, i);
		t.len = 0;
		put_request(&t, "GET", "/read/x?ms=5", ids, 2000, NULL);
		memset(c, 0, sizeof(*c));
		c->fd = connect_to(to);
		if (c->fd < 0)
			continue;
		if (send_all(c->fd, t.data, t.len))
			get_message(c, m);
		close(c->fd);
	}
	return 0;
}

int main(int argc, char **argv)
{
	const char *what = argc > 1 ? argv[1] : "";

	signal(SIGPIPE, SIG_IGN);
	if (!strcmp(what, "store"))
		return store_main(argc > 2 ? atoi(argv[2]) : 0);
	if (!strcmp(what, "put") && argc == 4)
		return put_main(argv[2], argv[3]);
	if (!strcmp(what, "replica"))
		return replica_main(argc, argv);
	if (!strcmp(what, "proxy") && argc == 4)
		return proxy_main(argv[2], argv[3]);
	if (!strcmp(what, "ready") && argc == 3)
		return get_main(argv[2], "/v1/readyz");
	if (!strcmp(what, "call") && argc == 4)
		return get_main(argv[2], argv[3]);
	if (!strcmp(what, "load") && argc == 5)
		return load_main(argv[2], argv[3], atoi(argv[4]));
	if (!strcmp(what, "stream") && argc == 5)
		return stream_main(argv[2], argv[3], atoi(argv[4]));
	if (!strcmp(what, "pipeline") && argc == 4)
		return pipeline_main(argv[2], argv[3]);
	fprintf(stderr, "standin: see the head of review/standin.c\n");
	return 2;
}
