/*
 * Makes system calls of one process fail on demand. It is loaded into a gateway under test with LD_PRELOAD.
 *
 * FAULT_SHIM_PLAN names a file that holds a `struct plan`, which the test maps and changes while the process
 * runs. A call fails with the given errno either the next `next` times or with probability `share` / 65536.
 * `wall_step_ns` is added to CLOCK_REALTIME; the monotonic clock is not changed. The shim is not thread-safe:
 * the gateway has one thread.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <sys/un.h>
#include <time.h>
#include <unistd.h>

/* In the same order as in gateways.py and tests/fault_shim.h. */
enum call {
  ACCEPT,
  SOCKET,
  CONNECT,
  EPOLL_WAIT,
  RECV,
  SEND,
  SHORT_RECV,
  SHORT_SEND,
  BIND_UNIX,
  WRITE_FILE,
  READ_FILE,
  CALLS
};

struct fault {
  int32_t error; /* errno to fail with */
  int32_t next;  /* how many of the next calls fail */
  int32_t share; /* how many of 65536 other calls fail, on average */
  int32_t hits;  /* written by the shim: how many calls have failed */
};

struct plan {
  int64_t wall_step_ns;
  struct fault faults[CALLS];
};

static struct plan no_plan;
static volatile struct plan *plan = &no_plan;
static uint64_t random_state = 0x9e3779b97f4a7c15u;

__attribute__((constructor)) static void load_plan(void) {
  const char *path = getenv("FAULT_SHIM_PLAN");
  const char *seed = getenv("FAULT_SHIM_SEED");
  if (seed) random_state ^= strtoull(seed, NULL, 10) * 0xbf58476d1ce4e5b9u;
  if (!path) return;
  const int file = open(path, O_RDWR | O_CLOEXEC);
  if (file < 0) return;
  void *at = mmap(NULL, sizeof(struct plan), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
  close(file);
  if (at != MAP_FAILED) plan = at;
}

static uint32_t random_16_bits(void) {
  random_state ^= random_state << 13;
  random_state ^= random_state >> 7;
  random_state ^= random_state << 17;
  return (uint32_t)(random_state >> 20) & 0xffff;
}

/* Decides whether this call fails, and sets errno if it does. */
static int should_fail(enum call which) {
  volatile struct fault *f = &plan->faults[which];
  if (f->next > 0) {
    --f->next;
  } else if (f->share <= 0 || random_16_bits() >= (uint32_t)f->share) {
    return 0;
  }
  ++f->hits;
  errno = f->error;
  return 1;
}

static void *next_symbol(const char *name) { return dlsym(RTLD_NEXT, name); }
#define REAL(name) ((__typeof__(&name))next_symbol(#name))

/* A connection that was aborted before accept has left the queue; one that lacks a descriptor or memory stays
 * in it. */
static int accept_fails(int fd) {
  struct pollfd waiting = {fd, POLLIN, 0};
  if (poll(&waiting, 1, 0) <= 0 || !should_fail(ACCEPT)) return 0;
  const int error = errno;
  if (error == ECONNABORTED || error == EPROTO) {
    const int aborted = REAL(accept4)(fd, NULL, NULL, SOCK_CLOEXEC);
    const struct linger now = {1, 0};
    if (aborted >= 0) setsockopt(aborted, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    if (aborted >= 0) close(aborted);
  }
  errno = error;
  return 1;
}

int accept(int fd, struct sockaddr *at, socklen_t *size) {
  return accept_fails(fd) ? -1 : REAL(accept)(fd, at, size);
}
int accept4(int fd, struct sockaddr *at, socklen_t *size, int flags) {
  return accept_fails(fd) ? -1 : REAL(accept4)(fd, at, size, flags);
}
int socket(int domain, int type, int protocol) {
  return domain == AF_INET && should_fail(SOCKET) ? -1 : REAL(socket)(domain, type, protocol);
}
int connect(int fd, const struct sockaddr *at, socklen_t size) {
  return at->sa_family == AF_INET && should_fail(CONNECT) ? -1 : REAL(connect)(fd, at, size);
}
int bind(int fd, const struct sockaddr *at, socklen_t size) {
  return at->sa_family == AF_UNIX && should_fail(BIND_UNIX) ? -1 : REAL(bind)(fd, at, size);
}
int epoll_wait(int fd, struct epoll_event *events, int max_events, int ms) {
  return should_fail(EPOLL_WAIT) ? -1 : REAL(epoll_wait)(fd, events, max_events, ms);
}

static int is_stream_socket(int fd) {
  int type = 0;
  socklen_t size = sizeof type;
  return getsockopt(fd, SOL_SOCKET, SO_TYPE, &type, &size) == 0 && type == SOCK_STREAM;
}

ssize_t recv(int fd, void *to, size_t size, int flags) {
  if (is_stream_socket(fd) && should_fail(RECV)) return -1;
  if (size > 3 && !(flags & MSG_PEEK) && should_fail(SHORT_RECV)) size = 1 + size % 3;
  return REAL(recv)(fd, to, size, flags);
}
ssize_t recvmsg(int fd, struct msghdr *message, int flags) {
  return is_stream_socket(fd) && should_fail(RECV) ? -1 : REAL(recvmsg)(fd, message, flags);
}
ssize_t send(int fd, const void *from, size_t size, int flags) {
  if (is_stream_socket(fd) && should_fail(SEND)) return -1;
  if (size > 3 && is_stream_socket(fd) && should_fail(SHORT_SEND)) size = 1 + size % 3;
  return REAL(send)(fd, from, size, flags);
}
ssize_t sendmsg(int fd, const struct msghdr *message, int flags) {
  return is_stream_socket(fd) && should_fail(SEND) ? -1 : REAL(sendmsg)(fd, message, flags);
}

static int is_regular_file(int fd) {
  struct stat what;
  return fstat(fd, &what) == 0 && S_ISREG(what.st_mode);
}
ssize_t write(int fd, const void *from, size_t size) {
  return plan != &no_plan && is_regular_file(fd) && should_fail(WRITE_FILE) ? -1
                                                                            : REAL(write)(fd, from, size);
}
ssize_t read(int fd, void *to, size_t size) {
  return plan != &no_plan && is_regular_file(fd) && should_fail(READ_FILE) ? -1 : REAL(read)(fd, to, size);
}

int clock_gettime(clockid_t which, struct timespec *now) {
  const int result = REAL(clock_gettime)(which, now);
  if (result == 0 && which == CLOCK_REALTIME && plan->wall_step_ns != 0) {
    const int64_t all = (int64_t)now->tv_sec * 1000000000 + now->tv_nsec + plan->wall_step_ns;
    now->tv_sec = all / 1000000000;
    now->tv_nsec = all % 1000000000;
  }
  return result;
}
