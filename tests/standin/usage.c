/*
 * standin-usage: samples what a process takes of its machine, until SIGTERM. Prints
 * "ready", then the maxima: "memory_kb N descriptors N".
 *
 * Memory: resident, with the bytes that were received and not yet read on its TCP
 * connections, and on those to --port that it has not accepted yet. Source:
 * /proc/PID/statm, /proc/PID/fd and /proc/net/tcp.
 *
 * Options: --pid N, --port N.
 */
#include <dirent.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "standin/common.h"

#define SAMPLE_MS 20
#define TCP_LISTEN 10 /* state in /proc/net/tcp: its queue counts connections */
#define MAX_DESCRIPTORS 65536

static volatile sig_atomic_t stopped;

static struct {
	long pid, port;
	unsigned long inodes[MAX_DESCRIPTORS]; /* of its sockets, sorted */
	size_t nr_inodes;
} w;

static void on_term(int signal_number)
{
	(void)signal_number;
	stopped = 1;
}

static int compare(const void *a, const void *b)
{
	const unsigned long x = *(const unsigned long *)a;
	const unsigned long y = *(const unsigned long *)b;

	return x < y ? -1 : x > y;
}

/* Reads the sockets of the process; returns its number of descriptors. */
static long read_descriptors(void)
{
	char path[64], link[64];
	struct dirent *d;
	long n = 0;
	DIR *dir;

	snprintf(path, sizeof(path), "/proc/%ld/fd", w.pid);
	dir = opendir(path);
	w.nr_inodes = 0;
	while (dir && (d = readdir(dir))) {
		ssize_t len = readlinkat(dirfd(dir), d->d_name, link,
					 sizeof(link) - 1);

		if (len < 0)
			continue;
		link[len] = '\0';
		n++;
		if (!strncmp(link, "socket:[", 8) &&
		    w.nr_inodes < MAX_DESCRIPTORS)
			w.inodes[w.nr_inodes++] = strtoul(link + 8, NULL, 10);
	}
	if (dir)
		closedir(dir);
	qsort(w.inodes, w.nr_inodes, sizeof(w.inodes[0]), compare);
	return n;
}

static bool is_own(unsigned long inode)
{
	return inode && bsearch(&inode, w.inodes, w.nr_inodes,
				sizeof(w.inodes[0]), compare);
}

static long unread_kb(void)
{
	FILE *f = fopen("/proc/net/tcp", "re");
	unsigned long bytes = 0, queue, inode;
	unsigned port, state;
	char line[512];

	while (f && fgets(line, sizeof(line), f)) {
		if (sscanf(line,
			   " %*d: %*x:%x %*x:%*x %x %*x:%lx %*x:%*x %*x "
			   "%*u %*d %lu",
			   &port, &state, &queue, &inode) != 4 ||
		    state == TCP_LISTEN)
			continue;
		if (is_own(inode) || (!inode && port == (unsigned)w.port))
			bytes += queue;
	}
	if (f)
		fclose(f);
	return (long)(bytes / 1024);
}

static long resident_kb(void)
{
	char path[64];
	long pages = 0;
	FILE *f;

	snprintf(path, sizeof(path), "/proc/%ld/statm", w.pid);
	f = fopen(path, "re");
	if (f && fscanf(f, "%*d %ld", &pages) != 1)
		pages = 0;
	if (f)
		fclose(f);
	return pages * (sysconf(_SC_PAGESIZE) / 1024);
}

int main(int argc, char **argv)
{
	const struct sigaction action = { .sa_handler = on_term };
	long memory_kb = 0, descriptors = 0;

	w.pid = standin_number(argc, argv, "pid", 0);
	w.port = standin_number(argc, argv, "port", 0);
	sigaction(SIGTERM, &action, NULL);
	printf("ready\n");
	fflush(stdout);
	while (!stopped) {
		const long n = read_descriptors();
		const long kb = resident_kb() + unread_kb();

		memory_kb = kb > memory_kb ? kb : memory_kb;
		descriptors = n > descriptors ? n : descriptors;
		clk_sleep_ms(SAMPLE_MS);
	}
	printf("memory_kb %ld descriptors %ld\n", memory_kb, descriptors);
	return 0;
}
