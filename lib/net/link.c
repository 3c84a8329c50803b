#include "net/link.h"

#include <arpa/inet.h>
#include <assert.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <urcu/list.h>

#include "base/buf.h"
#include "base/clk.h"
#include "base/hsh.h"
#include "config/set.h"

/* Calls that may wait for one peer; beyond that it is as good as gone. */
#define MAX_WAITING 512

/* After a time-out or refusal a peer's calls fail at once for so long. */
#define BREAK_MS 300

#define CONNECT_MS 300
#define SEND_TIMEOUT_S 1
#define IDLE_CLOSE_MS 60000

/* Keeps a send's cost level up to the target's 900 peers. */
#define NR_BUCKETS 256

struct job {
	struct cds_list_head node;
	struct link_call call;
};

struct peer {
	struct cds_list_head node;  /* of the bucket */
	struct cds_list_head ready; /* of peers with jobs, none running */
	char address[64];
	struct cds_list_head jobs;
	size_t waiting;
	bool busy;
	CLIENT *client; /* touched by the thread that has it busy */
	int64_t broken_until;
	int64_t used_ms;
};

struct links {
	pthread_mutex_t lock;
	pthread_cond_t work;
	struct cds_list_head peers[NR_BUCKETS];
	struct cds_list_head ready;
	bool stopping;
	size_t nr_threads;
	pthread_t *threads;
	atomic_ullong bytes;
	atomic_ullong calls;
};

/* ---- One call ---- */

/* Returns a connected socket, or -1 with errno. */
static int connect_to(const char *address)
{
	struct sockaddr_in sa = { .sin_family = AF_INET };
	const struct timeval tv = { SEND_TIMEOUT_S, 0 };
	char host[SET_ADDR_MAX];
	struct pollfd p;
	int fd, port, one = 1, err = 0;
	socklen_t len = sizeof(err);

	errno = EINVAL;
	if (set_split_addr(address, host, &port))
		return -1;
	sa.sin_port = htons((uint16_t)port);
	inet_pton(AF_INET, host, &sa.sin_addr);
	fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	if (fd < 0)
		return -1;
	p.fd = fd;
	p.events = POLLOUT;
	if (connect(fd, (struct sockaddr *)&sa, sizeof(sa)) &&
	    (errno != EINPROGRESS || poll(&p, 1, CONNECT_MS) != 1 ||
	     getsockopt(fd, SOL_SOCKET, SO_ERROR, &err, &len) || err)) {
		if (err)
			errno = err;
		close(fd);
		return -1;
	}
	fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	/*
	 * libtirpc writes with plain write(): to a stopped peer with a full
	 * window that would hang for good, so the socket bounds it.
	 */
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &tv, sizeof(tv));
	return fd;
}

static CLIENT *make_client(const char *address)
{
	const int fd = connect_to(address);
	struct sockaddr_in sa = { .sin_family = AF_INET };
	struct netbuf nb = { sizeof(sa), sizeof(sa), &sa };
	CLIENT *c;

	if (fd < 0)
		return NULL;
	c = clnt_vc_create(fd, &nb, MARLDOCK_PEER, MARLDOCK_PEER_V1, 0, 0);
	if (!c) {
		close(fd);
		return NULL;
	}
	clnt_control(c, CLSET_FD_CLOSE, NULL);
	return c;
}

static void drop_client(struct peer *p)
{
	if (!p->client)
		return;
	auth_destroy(p->client->cl_auth);
	clnt_destroy(p->client);
	p->client = NULL;
}

static enum err_code map_stat(enum clnt_stat st)
{
	switch (st) {
	case RPC_SUCCESS:
		return ERR_NONE;
	case RPC_TIMEDOUT:
		return ERR_TIMEOUT;
	default:
		return ERR_IO;
	}
}

static enum err_code try_call(struct links *l, struct peer *p,
			      const struct link_call *c, void *result)
{
	const struct timeval tv = { c->timeout_ms / 1000,
				    (c->timeout_ms % 1000) * 1000 };
	enum clnt_stat st;

	if (!p->client)
		p->client = make_client(p->address);
	if (!p->client)
		return ERR_REFUSED;
	st = clnt_call(p->client, c->proc, c->xdr_args, c->args, c->xdr_result,
		       result, tv);
	atomic_fetch_add(&l->calls, 1);
	if (st == RPC_SUCCESS)
		atomic_fetch_add(&l->bytes,
				 xdr_sizeof(c->xdr_args, c->args) +
					 xdr_sizeof(c->xdr_result, result));
	else
		drop_client(p);
	return map_stat(st);
}

static void free_args(const struct link_call *c)
{
	xdr_free(c->xdr_args, c->args);
	free(c->args);
}

/* The connection may have died while idle; that is no news of the peer. */
static void run_job(struct links *l, struct peer *p, struct job *j)
{
	const int64_t now = clk_ms(clk_real());
	const bool kept = p->client != NULL;
	void *result = mem_new(j->call.result_size);
	enum err_code why = ERR_REFUSED;

	if (now >= p->broken_until) {
		why = try_call(l, p, &j->call, result);
		if (why == ERR_IO && kept) {
			memset(result, 0, j->call.result_size);
			why = try_call(l, p, &j->call, result);
		}
		if (why != ERR_NONE)
			p->broken_until = clk_ms(clk_real()) + BREAK_MS;
	}
	p->used_ms = now;
	if (j->call.done)
		j->call.done(why, why == ERR_NONE ? result : NULL, j->call.arg);
	xdr_free(j->call.xdr_result, result);
	free(result);
	free_args(&j->call);
	free(j);
}

/* ---- The pool ---- */

/* Called with the lock held. */
static void make_ready(struct links *l, struct peer *p)
{
	if (p->busy || cds_list_empty(&p->jobs))
		return;
	p->busy = true;
	cds_list_add_tail(&p->ready, &l->ready);
	pthread_cond_signal(&l->work);
}

static void *serve(void *arg)
{
	struct links *l = arg;
	struct peer *p;
	struct job *j;

	pthread_mutex_lock(&l->lock);
	for (;;) {
		while (cds_list_empty(&l->ready) && !l->stopping)
			pthread_cond_wait(&l->work, &l->lock);
		if (cds_list_empty(&l->ready))
			break;
		p = cds_list_first_entry(&l->ready, struct peer, ready);
		cds_list_del(&p->ready);
		j = cds_list_first_entry(&p->jobs, struct job, node);
		cds_list_del(&j->node);
		p->waiting--;
		pthread_mutex_unlock(&l->lock);
		run_job(l, p, j);
		pthread_mutex_lock(&l->lock);
		p->busy = false;
		make_ready(l, p);
	}
	pthread_mutex_unlock(&l->lock);
	return NULL;
}

struct links *links_create(size_t threads)
{
	struct links *l = mem_new(sizeof(*l));
	size_t i;

	pthread_mutex_init(&l->lock, NULL);
	pthread_cond_init(&l->work, NULL);
	for (i = 0; i < NR_BUCKETS; i++)
		CDS_INIT_LIST_HEAD(&l->peers[i]);
	CDS_INIT_LIST_HEAD(&l->ready);
	l->nr_threads = threads;
	l->threads = mem_new(threads * sizeof(*l->threads));
	for (i = 0; i < threads; i++) {
		if (pthread_create(&l->threads[i], NULL, serve, l))
			abort();
	}
	return l;
}

void links_free(struct links *l)
{
	struct peer *p, *tmp;
	size_t i;

	if (!l)
		return;
	pthread_mutex_lock(&l->lock);
	l->stopping = true;
	pthread_cond_broadcast(&l->work);
	pthread_mutex_unlock(&l->lock);
	for (i = 0; i < l->nr_threads; i++)
		pthread_join(l->threads[i], NULL);
	for (i = 0; i < NR_BUCKETS; i++) {
		cds_list_for_each_entry_safe(p, tmp, &l->peers[i], node) {
			drop_client(p);
			free(p);
		}
	}
	free(l->threads);
	pthread_cond_destroy(&l->work);
	pthread_mutex_destroy(&l->lock);
	free(l);
}

/* Called with the lock held; closes what has been idle for long. */
static struct peer *find_or_add(struct links *l, const char *address)
{
	const int64_t now = clk_ms(clk_real());
	struct cds_list_head *bucket =
		&l->peers[hsh_str(address, 0) % NR_BUCKETS];
	struct peer *p, *tmp, *found = NULL;

	cds_list_for_each_entry_safe(p, tmp, bucket, node) {
		if (!strcmp(p->address, address)) {
			found = p;
		} else if (!p->busy && cds_list_empty(&p->jobs) &&
			   now - p->used_ms > IDLE_CLOSE_MS) {
			cds_list_del(&p->node);
			drop_client(p);
			free(p);
		}
	}
	if (found)
		return found;
	p = mem_new(sizeof(*p));
	str_copy(p->address, address, sizeof(p->address));
	p->used_ms = now;
	CDS_INIT_LIST_HEAD(&p->jobs);
	cds_list_add(&p->node, bucket);
	return p;
}

bool links_send(struct links *l, const struct link_call *c)
{
	struct job *j = mem_new(sizeof(*j));
	struct peer *p;
	bool ok;

	j->call = *c;
	pthread_mutex_lock(&l->lock);
	p = find_or_add(l, c->address);
	ok = !l->stopping && p->waiting < MAX_WAITING;
	if (ok) {
		cds_list_add_tail(&j->node, &p->jobs);
		p->waiting++;
		make_ready(l, p);
	}
	pthread_mutex_unlock(&l->lock);
	if (!ok) {
		free_args(c);
		free(j);
	}
	return ok;
}

/* ---- Waiting for one call ---- */

struct waiter {
	pthread_mutex_t lock;
	pthread_cond_t done;
	bool over;
	enum err_code why;
	void *result;
	size_t size;
	xdrproc_t xdr;
};

/* Moves the result out by a shallow copy: its pointers go to the waiter. */
static void on_done(enum err_code why, const void *result, void *arg)
{
	struct waiter *w = arg;

	pthread_mutex_lock(&w->lock);
	w->why = why;
	if (result) {
		memcpy(w->result, result, w->size);
		/* What was moved must not be freed by the link as well. */
		memset((void *)result, 0, w->size);
	}
	w->over = true;
	pthread_cond_signal(&w->done);
	pthread_mutex_unlock(&w->lock);
}

int links_call(struct links *l, const struct link_call *c, void *result,
	       struct err *e)
{
	struct link_call call = *c;
	struct waiter w = {
		.lock = PTHREAD_MUTEX_INITIALIZER,
		.done = PTHREAD_COND_INITIALIZER,
		.result = result,
		.size = c->result_size,
	};

	memset(result, 0, c->result_size);
	call.done = on_done;
	call.arg = &w;
	if (!links_send(l, &call))
		return err_set(e, ERR_REFUSED, "%s: too many calls wait",
			       c->address);
	pthread_mutex_lock(&w.lock);
	while (!w.over)
		pthread_cond_wait(&w.done, &w.lock);
	pthread_mutex_unlock(&w.lock);
	if (w.why != ERR_NONE)
		return err_set(e, w.why, "%s: peer call %u: %s", c->address,
			       c->proc, err_name(w.why));
	return 0;
}

bool link_is_refused(const char *address)
{
	const int fd = connect_to(address);

	if (fd < 0)
		return errno == ECONNREFUSED;
	close(fd);
	return false;
}

uint64_t links_bytes(struct links *l)
{
	return atomic_load(&l->bytes);
}

uint64_t links_calls(struct links *l)
{
	return atomic_load(&l->calls);
}
