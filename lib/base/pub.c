#include "base/pub.h"

#ifdef __SANITIZE_THREAD__
pthread_rwlock_t pub_sanitizer_lock = PTHREAD_RWLOCK_INITIALIZER;
#else
/* ISO C requires at least one declaration in a source file. */
typedef int pub_no_state;
#endif
