/* Makes system calls of a process fail now and then, in ways that Linux documents, and steps its wall clock.
 * FAULT_SEED seeds the failures, one call in FAULT_EVERY fails; 0 means none.
 * FAULT_CLOCK names a file that holds the step of the wall clock in seconds, as text.
 * FAULT_NO_NETLINK, if set, makes the system refuse netlink sockets.
 * FAULT_SEND_BUFFER is the size in bytes that the send buffers of outgoing connections get. */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

static uint64_t random_state;

static unsigned fault_every(void) {
    static int is_read;
    static unsigned every;
    if (!is_read) {
        const char *seed = getenv("FAULT_SEED"), *text = getenv("FAULT_EVERY");
        random_state = (seed ? strtoull(seed, NULL, 10) : 1) * 2862933555777941757ull + 3037000493ull;
        every = text ? (unsigned)atoi(text) : 0;
        is_read = 1;
    }
    return every;
}

static unsigned draw(unsigned bound) {
    random_state = random_state * 6364136223846793005ull + 1442695040888963407ull;
    return (unsigned)(random_state >> 33) % bound;
}

static int fails(const int *errors, unsigned count) {
    unsigned every = fault_every();
    if (every == 0 || draw(every) != 0) return 0;
    errno = errors[draw(count)];
    return 1;
}

/* A shorter length now and then. */
static size_t shortened(size_t length) {
    unsigned every = fault_every();
    return every != 0 && length > 1 && draw(every) == 0 ? 1 + draw((unsigned)(length > 4096 ? 4096 : length)) % length : length;
}

#define REAL(name) static __typeof__(&name) real; if (!real) real = (__typeof__(&name))dlsym(RTLD_NEXT, #name)
#define COUNT(errors) (sizeof(errors) / sizeof((errors)[0]))

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    static const int errors[] = {ECONNABORTED, ENFILE, ENOBUFS, EINTR};
    REAL(accept4);
    return fails(errors, COUNT(errors)) ? -1 : real(fd, address, length, flags);
}

int socket(int domain, int type, int protocol) {
    static const int errors[] = {ENFILE, ENOBUFS};
    REAL(socket);
    if (domain == AF_NETLINK && getenv("FAULT_NO_NETLINK")) {
        errno = EPERM;
        return -1;
    }
    return domain == AF_INET && fails(errors, COUNT(errors)) ? -1 : real(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    static const int errors[] = {EADDRNOTAVAIL, ENETUNREACH};
    REAL(connect);
    const char *text = getenv("FAULT_SEND_BUFFER");
    if (text) {
        int size = atoi(text);
        setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &size, sizeof(size));
    }
    return fails(errors, COUNT(errors)) ? -1 : real(fd, address, length);
}

ssize_t recv(int fd, void *buffer, size_t length, int flags) {
    static const int errors[] = {EINTR};
    REAL(recv);
    return fails(errors, COUNT(errors)) ? -1 : real(fd, buffer, shortened(length), flags);
}

ssize_t send(int fd, const void *buffer, size_t length, int flags) {
    static const int errors[] = {EINTR};
    REAL(send);
    return fails(errors, COUNT(errors)) ? -1 : real(fd, buffer, shortened(length), flags);
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
    static const int errors[] = {EINTR};
    REAL(writev);
    return fails(errors, COUNT(errors)) ? -1 : real(fd, parts, count > 1 && shortened(2) == 1 ? 1 : count);
}

int clock_gettime(clockid_t clock, struct timespec *time) {
    REAL(clock_gettime);
    int result = real(clock, time);
    const char *path = clock == CLOCK_REALTIME ? getenv("FAULT_CLOCK") : NULL;
    if (result == 0 && path) {
        char text[32] = {0};
        int fd = open(path, O_RDONLY);
        if (fd >= 0) {
            if (read(fd, text, sizeof(text) - 1) > 0) time->tv_sec += strtol(text, NULL, 10);
            close(fd);
        }
    }
    return result;
}
