/*
 * control (prefix ctl_, for "control"): control-plane tasks, run in a process
 * of its own beside each entry (the process that receives client requests),
 * off the request path.
 *
 *   watch     reads the documents that operators accepted, and the membership
 *             views, from the key-value service
 *   list      polls the platform's instance list and its reclaim notices
 *   members   writes membership views of the entries; one lease for the fleet,
 *             so one process at a time does it
 *   place     starts and stops instances and sends orders to engines; one
 *             lease per service
 *
 * The process holds no durable state: it publishes its observations to the
 * local entry, which gossips them, and recomputes each decision from what the
 * platform and the endpoints report. So it may crash at any point.
 */
#ifndef CONTROL_H
#define CONTROL_H

#include "base/err.h"
#include "config/set.h"

struct control;

/*
 * control_start() : starts the threads of all tasks.
 * @s : settings of the local entry; copied.
 * @e : unused; the process aborts if a thread can't start.
 * Ignores SIGPIPE for the whole process.
 * @return : never NULL; to be freed with control_stop().
 */
struct control *control_start(const struct set *s, struct err *e);

/* control_stop() : stops and joins all threads, revokes the leases that are
 * held, and frees `c`. */
void control_stop(struct control *c);

#endif
