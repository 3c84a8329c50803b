/*
 * pub: publication of pointers that are read without locks (RCU, by liburcu).
 *
 * Readers call pub_get between pub_read_lock and pub_read_unlock, and use the
 * object only until then. A writer publishes a new object with pub_set and
 * frees the old one after pub_wait. Several writers need a lock of their own.
 *
 * ThreadSanitizer does not know the ordering that RCU guarantees, so its build
 * uses a read-write lock instead. It then detects reads outside a read section
 * and objects that are freed within one.
 */
#ifndef PUB_H
#define PUB_H

#ifdef __SANITIZE_THREAD__

#include <pthread.h>

extern pthread_rwlock_t pub_sanitizer_lock;

static inline void pub_read_lock(void)
{
	pthread_rwlock_rdlock(&pub_sanitizer_lock);
}

static inline void pub_read_unlock(void)
{
	pthread_rwlock_unlock(&pub_sanitizer_lock);
}

/*
 * Waits until no reader that may have seen the old object is left. Not to be
 * called between pub_read_lock and pub_read_unlock: it would deadlock.
 */
static inline void pub_wait(void)
{
	pthread_rwlock_wrlock(&pub_sanitizer_lock);
	pthread_rwlock_unlock(&pub_sanitizer_lock);
}

#define pub_get(p) __atomic_load_n(&(p), __ATOMIC_ACQUIRE)
#define pub_set(p, v) __atomic_store_n(&(p), (v), __ATOMIC_RELEASE)

#else

#include <urcu-bp.h>

static inline void pub_read_lock(void)
{
	rcu_read_lock();
}

static inline void pub_read_unlock(void)
{
	rcu_read_unlock();
}

/*
 * Waits until no reader that may have seen the old object is left. Not to be
 * called between pub_read_lock and pub_read_unlock: it would deadlock.
 */
static inline void pub_wait(void)
{
	synchronize_rcu();
}

#define pub_get(p) rcu_dereference(p)
#define pub_set(p, v) rcu_assign_pointer(p, v)

#endif

#endif
