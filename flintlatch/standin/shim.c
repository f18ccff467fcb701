/* Injects faults into the system calls of one process: loaded with LD_PRELOAD by shim.py.
 *
 * A control block in a file that both processes map holds the probability of each fault, the offset of the
 * wall clock and counters of what was injected. Errors are those that Linux documents for the call. */
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
#include <time.h>
#include <unistd.h>

enum fault { ACCEPT, SOCKET, CONNECT, INTERRUPT, SHORT, BROKEN, HOLD, DISK, FAULTS };

struct control {
    volatile uint32_t per_million[FAULTS];
    volatile uint32_t injected[FAULTS];
    volatile int64_t wall_offset_ns;
    volatile uint32_t seed;
};

#define MAX_DESCRIPTORS 65536
#define HOLD_US 150000

static struct control *control;
static unsigned char outgoing[MAX_DESCRIPTORS]; /* descriptors on which connect() was called */
static _Thread_local uint32_t state;

__attribute__((constructor)) static void load(void)
{
    const char *path = getenv("FLINTLATCH_SHIM");
    int fd = path ? open(path, O_RDWR | O_CLOEXEC) : -1;
    if (fd < 0)
        return;
    void *mapped = mmap(NULL, sizeof *control, PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    close(fd);
    if (mapped != MAP_FAILED)
        control = mapped;
}

static uint32_t draw(void)
{
    if (!state)
        state = (control->seed * 2654435761u ^ (uint32_t)getpid()) | 1;
    state ^= state << 13;
    state ^= state >> 17;
    state ^= state << 5;
    return state;
}

static int happens(enum fault fault)
{
    if (!control || !control->per_million[fault] || draw() % 1000000 >= control->per_million[fault])
        return 0;
    __sync_fetch_and_add(&control->injected[fault], 1);
    return 1;
}

static void may_hold(void)
{
    if (happens(HOLD)) {
        int saved = errno;
        struct timespec span = {0, HOLD_US * 1000L};
        nanosleep(&span, NULL);
        errno = saved;
    }
}

#define REAL(name) \
    static __typeof__(name) *real; \
    if (!real) \
        real = (__typeof__(name) *)dlsym(RTLD_NEXT, #name); \
    may_hold();

#define FAIL(fault, errors) \
    if (happens(fault)) { \
        static const int list[] = errors; \
        errno = list[draw() % (sizeof list / sizeof *list)]; \
        return -1; \
    }
#define LIST(...) {__VA_ARGS__}

/* A descriptor that is new may have been closed by a call that this library does not see. */
static int accepted(int fd)
{
    if (fd >= 0 && fd < MAX_DESCRIPTORS)
        outgoing[fd] = 0;
    return fd;
}

int accept4(int fd, struct sockaddr *address, socklen_t *size, int flags)
{
    REAL(accept4)
    FAIL(ACCEPT, LIST(ECONNABORTED, ENFILE, ENOBUFS, EINTR, EMFILE))
    return accepted(real(fd, address, size, flags));
}

int accept(int fd, struct sockaddr *address, socklen_t *size)
{
    REAL(accept)
    FAIL(ACCEPT, LIST(ECONNABORTED, ENFILE, ENOBUFS, EINTR, EMFILE))
    return accepted(real(fd, address, size));
}

int socket(int domain, int type, int protocol)
{
    REAL(socket)
    if (domain == AF_INET)
        FAIL(SOCKET, LIST(ENFILE, ENOBUFS, EMFILE, ENOMEM))
    int fd = real(domain, type, protocol);
    if (fd >= 0 && fd < MAX_DESCRIPTORS)
        outgoing[fd] = 0;
    return fd;
}

int connect(int fd, const struct sockaddr *address, socklen_t size)
{
    REAL(connect)
    if (address && address->sa_family == AF_INET) {
        FAIL(CONNECT, LIST(EADDRNOTAVAIL, ENETUNREACH, ENOBUFS, ETIMEDOUT, EHOSTUNREACH))
        if (fd >= 0 && fd < MAX_DESCRIPTORS)
            outgoing[fd] = 1;
    }
    return real(fd, address, size);
}

int close(int fd)
{
    static __typeof__(close) *real;
    if (!real)
        real = (__typeof__(close) *)dlsym(RTLD_NEXT, "close");
    if (fd >= 0 && fd < MAX_DESCRIPTORS)
        outgoing[fd] = 0;
    return real(fd);
}

/* Whether it is a socket of the network: a pipe or a local socket may carry a log that is not written twice. */
static int is_socket(int fd)
{
    int domain = 0;
    socklen_t size = sizeof domain;
    return !getsockopt(fd, SOL_SOCKET, SO_DOMAIN, &domain, &size) && domain == AF_INET;
}

static int breaks(int fd)
{
    if (fd < 0 || fd >= MAX_DESCRIPTORS || !outgoing[fd] || !happens(BROKEN))
        return 0;
    errno = draw() % 2 ? ETIMEDOUT : EHOSTUNREACH;
    return 1;
}

static size_t shortened(int fd, size_t size)
{
    return size > 1 && is_socket(fd) && happens(SHORT) ? 1 + draw() % (size - 1) : size;
}

ssize_t read(int fd, void *buffer, size_t size)
{
    REAL(read)
    if (breaks(fd))
        return -1;
    return real(fd, buffer, shortened(fd, size));
}

ssize_t recv(int fd, void *buffer, size_t size, int flags)
{
    REAL(recv)
    if (breaks(fd))
        return -1;
    return real(fd, buffer, shortened(fd, size), flags);
}

ssize_t write(int fd, const void *buffer, size_t size)
{
    REAL(write)
    if (breaks(fd))
        return -1;
    if (!is_socket(fd) && size > 1) {
        struct stat found;
        if (!fstat(fd, &found) && S_ISREG(found.st_mode)) {
            FAIL(DISK, LIST(ENOSPC, EIO))
            if (happens(DISK))
                size = 1 + draw() % (size - 1);
        }
    }
    return real(fd, buffer, shortened(fd, size));
}

ssize_t send(int fd, const void *buffer, size_t size, int flags)
{
    REAL(send)
    if (breaks(fd))
        return -1;
    return real(fd, buffer, shortened(fd, size), flags);
}

ssize_t writev(int fd, const struct iovec *pieces, int count)
{
    REAL(writev)
    if (breaks(fd))
        return -1;
    if (count > 1 && is_socket(fd) && happens(SHORT))
        count = 1;
    return real(fd, pieces, count);
}

ssize_t sendmsg(int fd, const struct msghdr *message, int flags)
{
    REAL(sendmsg)
    if (breaks(fd))
        return -1;
    return real(fd, message, flags);
}

int fsync(int fd)
{
    REAL(fsync)
    FAIL(DISK, LIST(ENOSPC, EIO))
    return real(fd);
}

int rename(const char *from, const char *to)
{
    REAL(rename)
    FAIL(DISK, LIST(ENOSPC, EIO))
    return real(from, to);
}

int epoll_wait(int fd, struct epoll_event *events, int count, int timeout)
{
    REAL(epoll_wait)
    FAIL(INTERRUPT, LIST(EINTR))
    return real(fd, events, count, timeout);
}

int epoll_pwait(int fd, struct epoll_event *events, int count, int timeout, const sigset_t *mask)
{
    REAL(epoll_pwait)
    FAIL(INTERRUPT, LIST(EINTR))
    return real(fd, events, count, timeout, mask);
}

int poll(struct pollfd *descriptors, nfds_t count, int timeout)
{
    REAL(poll)
    FAIL(INTERRUPT, LIST(EINTR))
    return real(descriptors, count, timeout);
}

static void add_offset(struct timespec *now)
{
    int64_t total = now->tv_sec * 1000000000LL + now->tv_nsec + control->wall_offset_ns;
    now->tv_sec = total / 1000000000LL;
    now->tv_nsec = total % 1000000000LL;
}

int clock_gettime(clockid_t clock, struct timespec *now)
{
    static __typeof__(clock_gettime) *real;
    if (!real)
        real = (__typeof__(clock_gettime) *)dlsym(RTLD_NEXT, "clock_gettime");
    int result = real(clock, now);
    if (!result && control && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE))
        add_offset(now);
    return result;
}

time_t time(time_t *result)
{
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    if (result)
        *result = now.tv_sec;
    return now.tv_sec;
}
