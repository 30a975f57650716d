/* Gives each socket that connects a small send buffer, as on a machine whose limits are low: what a slow server has not read
   stays with the program. Loaded into a started program by LD_PRELOAD; never part of its build. */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <sys/socket.h>

enum { SEND_BUFFER_BYTES = 8192 };

int connect(int socket, const struct sockaddr *address, socklen_t length) {
    int (*next)(int, const struct sockaddr *, socklen_t) =
        (int (*)(int, const struct sockaddr *, socklen_t))dlsym(RTLD_NEXT, "connect");
    int bytes = SEND_BUFFER_BYTES;
    setsockopt(socket, SOL_SOCKET, SO_SNDBUF, &bytes, sizeof bytes);
    return next(socket, address, length);
}
