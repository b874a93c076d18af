/*
 * boot-clock.c: simulates a suspended machine: advances CLOCK_BOOTTIME of a process and leaves its other
 * clocks as they are.
 *
 * Only tests load this library, with LD_PRELOAD.  The environment variable QUINCE_BOOT_CLOCK names a file
 * that contains the offset in microseconds, as decimal digits.
 */
#include <dlfcn.h>
#include <fcntl.h>
#include <stdlib.h>
#include <time.h>
#include <unistd.h>

int clock_gettime (clockid_t clock, struct timespec *time);

/* Returns the offset, or 0 if there is no file or it is empty. */
static long long
read_offset_us (void)
{
  const char *path = getenv ("QUINCE_BOOT_CLOCK");
  int descriptor = path != NULL ? open (path, O_RDONLY | O_CLOEXEC) : -1;
  if (descriptor < 0)
    return 0;
  char text[32] = { 0 };
  ssize_t length = read (descriptor, text, sizeof text - 1);
  close (descriptor);
  return length > 0 ? atoll (text) : 0;
}

int
clock_gettime (clockid_t clock, struct timespec *time)
{
  static int (*real_clock_gettime) (clockid_t, struct timespec *);
  if (real_clock_gettime == NULL)
    real_clock_gettime = (int (*) (clockid_t, struct timespec *))dlsym (RTLD_NEXT, "clock_gettime");
  int status = real_clock_gettime (clock, time);
  if (status != 0 || clock != CLOCK_BOOTTIME)
    return status;
  long long nanoseconds = time->tv_nsec + read_offset_us () % 1000000 * 1000;
  time->tv_sec += read_offset_us () / 1000000 + nanoseconds / 1000000000;
  time->tv_nsec = nanoseconds % 1000000000;
  return 0;
}
