/*
 * Makes system calls of one process fail, or transfer only a part of their length, in ways that Linux documents. Can also delay system
 * calls.
 *
 * Loaded by LD_PRELOAD. The Go runtime makes its system calls without the C library, so that no function can be interposed. Instead a
 * system call filter (seccomp(2)) of this process makes the trapped calls raise SIGSYS. The signal handler below returns an error from
 * a trapped call, or executes the call from the only address from which the filter allows it. No privileges are needed.
 *
 * FROSTLINK_SYSCALL_RULES names the rules file, which is mapped shared, so that a write to it changes the rules at once. Rules for calls
 * on files apply to the files in the folder FROSTLINK_SYSCALL_FOLDER. See syscalls.go for the layout and the meaning of the rules.
 */
#define _GNU_SOURCE
#include <errno.h>
#include <fcntl.h>
#include <linux/audit.h>
#include <linux/filter.h>
#include <linux/seccomp.h>
#include <signal.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/mman.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <time.h>
#include <ucontext.h>
#include <unistd.h>

enum { RULES = 16, SHORT = 0xffff, HELD_UP = 0xfffe, HELD_UP_NS = 150000000 };
enum group { ACCEPT = 1, CONNECT, SOCKET, SOCKET_READ, SOCKET_WRITE, WAIT, FILE_WRITE, FILE_SYNC, FILE_OPEN, FILE_RENAME };

struct rule {
	uint32_t group;  /* 0: the rule is not used */
	uint32_t error;  /* an errno, SHORT or HELD_UP */
	uint32_t chance; /* probability in units of 1/2^32 */
	uint32_t hits;   /* number of calls that the rule was applied to */
};

struct rules {
	uint64_t seed;
	uint64_t calls; /* number of draws so far: one for each rule that was considered for a call */
	struct rule rule[RULES];
};

static struct rules *rules;
static char folder[4096];

/* The filter allows the trapped calls only from the address after this syscall instruction. */
extern const char frostlink_after_syscall[];
long frostlink_syscall(long number, long a, long b, long c, long d, long e, long f);
__asm__(".text\n"
	".globl frostlink_syscall\n"
	".globl frostlink_after_syscall\n"
	".hidden frostlink_syscall\n"
	".hidden frostlink_after_syscall\n"
	"frostlink_syscall:\n"
#if defined(__x86_64__)
	"	mov %rdi, %rax\n"
	"	mov %rsi, %rdi\n"
	"	mov %rdx, %rsi\n"
	"	mov %rcx, %rdx\n"
	"	mov %r8, %r10\n"
	"	mov %r9, %r8\n"
	"	mov 8(%rsp), %r9\n"
	"	syscall\n"
#elif defined(__aarch64__)
	"	mov x8, x0\n"
	"	mov x0, x1\n"
	"	mov x1, x2\n"
	"	mov x2, x3\n"
	"	mov x3, x4\n"
	"	mov x4, x5\n"
	"	mov x5, x6\n"
	"	svc #0\n"
#else
#error "written for x86-64 and arm64 only"
#endif
	"frostlink_after_syscall:\n"
	"	ret\n");

#if defined(__x86_64__)
#define AUDIT_ARCHITECTURE AUDIT_ARCH_X86_64
#else
#define AUDIT_ARCHITECTURE AUDIT_ARCH_AARCH64
#endif

/* The trapped calls, each with the groups of rules that can apply to it. */
static const struct {
	int number;
	enum group socket, file; /* the group if the first argument is a socket or a file; 0: none */
} trapped_calls[] = {
	{SYS_accept, ACCEPT, 0},         {SYS_accept4, ACCEPT, 0},        {SYS_connect, CONNECT, 0},
	{SYS_socket, SOCKET, 0},         {SYS_read, SOCKET_READ, 0},      {SYS_write, SOCKET_WRITE, FILE_WRITE},
	{SYS_recvfrom, SOCKET_READ, 0},
	{SYS_epoll_pwait, WAIT, 0},      {SYS_pwrite64, 0, FILE_WRITE},   {SYS_fsync, 0, FILE_SYNC},
	{SYS_fdatasync, 0, FILE_SYNC},   {SYS_openat, 0, FILE_OPEN},      {SYS_bind, 0, FILE_OPEN},
	{SYS_renameat, 0, FILE_RENAME},  {SYS_renameat2, 0, FILE_RENAME}, {SYS_ftruncate, 0, FILE_WRITE},
	{SYS_unlinkat, 0, FILE_RENAME},
#ifdef SYS_rename /* arm64 has neither of these */
	{SYS_rename, 0, FILE_RENAME},    {SYS_unlink, 0, FILE_RENAME},
#endif
};

/* file_type returns the file type of a descriptor (S_IFMT), or 0 for the standard streams and on an error. */
static unsigned file_type(long descriptor)
{
	struct stat s;
	if (descriptor <= 2 || frostlink_syscall(SYS_fstat, descriptor, (long)&s, 0, 0, 0, 0) != 0)
		return 0;
	return s.st_mode & S_IFMT;
}

/* path_in_folder reports whether a path is in the folder; descriptor_in_folder reports whether a descriptor's file is in the folder. */
static int path_in_folder(const char *path) { return folder[0] != 0 && strncmp(path, folder, strlen(folder)) == 0; }

static int descriptor_in_folder(long descriptor)
{
	char link[32] = "/proc/self/fd/", path[4096], digits[12];
	int n = 0, at = 14;
	for (long v = descriptor; v > 0 || n == 0; v /= 10)
		digits[n++] = '0' + v % 10;
	while (n > 0)
		link[at++] = digits[--n];
	link[at] = 0;
	long length = frostlink_syscall(SYS_readlinkat, AT_FDCWD, (long)link, (long)path, sizeof path - 1, 0, 0);
	if (length <= 0)
		return 0;
	path[length] = 0;
	return path_in_folder(path);
}

/* group_of returns the group of rules that apply to a call, or 0. */
static enum group group_of(int number, const long *argument)
{
	for (size_t i = 0; i < sizeof trapped_calls / sizeof trapped_calls[0]; i++) {
		if (trapped_calls[i].number != number)
			continue;
		switch (number) {
		case SYS_accept:
		case SYS_accept4:
		case SYS_connect:
		case SYS_epoll_pwait:
			return trapped_calls[i].socket;
		case SYS_socket:
			return argument[0] == 2 ? SOCKET : 0; /* AF_INET */
		case SYS_openat: /* opened for writing, below the folder */
			return (argument[2] & O_ACCMODE) != O_RDONLY && path_in_folder((const char *)argument[1]) ? FILE_OPEN : 0;
		case SYS_bind: /* creates a Unix socket's file; the address begins with its family, 1 = AF_UNIX */
			return ((const short *)argument[1])[0] == 1 && path_in_folder((const char *)argument[1] + 2) ? FILE_OPEN : 0;
#ifdef SYS_rename
		case SYS_unlink:
		case SYS_rename:
			return path_in_folder((const char *)argument[0]) ? FILE_RENAME : 0;
#endif
		case SYS_unlinkat:
		case SYS_renameat:
		case SYS_renameat2:
			return path_in_folder((const char *)argument[1]) ? FILE_RENAME : 0;
		}
		switch (file_type(argument[0])) {
		case S_IFSOCK:
			return trapped_calls[i].socket;
		case S_IFREG:
			return trapped_calls[i].file != 0 && descriptor_in_folder(argument[0]) ? trapped_calls[i].file : 0;
		}
	}
	return 0;
}

/* draw returns a pseudo-random number that depends only on the seed and on n. */
static uint32_t draw(uint64_t n)
{
	uint64_t z = rules->seed + n * 0x9e3779b97f4a7c15u;
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
	return (uint32_t)((z ^ (z >> 31)) >> 32);
}

/* hold_up waits for HELD_UP_NS by the monotonic clock, and continues to wait after signals. */
static void hold_up(void)
{
	struct timespec left = {0, HELD_UP_NS};
	while (frostlink_syscall(SYS_nanosleep, (long)&left, (long)&left, 0, 0, 0, 0) == -EINTR)
		;
}

static long fail_or_execute(int number, long *argument)
{
	enum group group = 0;
	int group_known = 0;
	for (int i = 0; i < RULES; i++) {
		struct rule *r = &rules->rule[i];
		if (r->group == 0)
			continue;
		if (!group_known) {
			group = group_of(number, argument);
			group_known = 1;
		}
		if (r->group != group || group == 0)
			continue;
		if (r->error == SHORT && group != SOCKET_READ && group != SOCKET_WRITE && group != FILE_WRITE)
			continue;
		uint64_t n = __atomic_add_fetch(&rules->calls, 1, __ATOMIC_RELAXED);
		if (draw(n) >= r->chance)
			continue;
		__atomic_add_fetch(&r->hits, 1, __ATOMIC_RELAXED);
		if (r->error == HELD_UP) {
			hold_up();
			break;
		}
		if (r->error != SHORT)
			return -(long)r->error;
		if (argument[2] > 1) /* the length of read, write and pwrite64 */
			argument[2] = 1 + draw(n ^ 0x5555555555555555u) % (uint32_t)(argument[2] - 1);
		break;
	}
	return frostlink_syscall(number, argument[0], argument[1], argument[2], argument[3], argument[4], argument[5]);
}

/*
 * change_mask executes rt_sigprocmask(2) for the interrupted thread, whose signal mask is restored from mask when the signal handler
 * returns. SIGSYS stays unblocked: a trapped call kills the process if SIGSYS is blocked.
 */
static long change_mask(uint64_t *mask, const long *argument)
{
	const uint64_t *set = (const uint64_t *)argument[1];
	uint64_t *old_set = (uint64_t *)argument[2], old = *mask;
	if (set != NULL && argument[0] == SIG_BLOCK)
		*mask |= *set;
	else if (set != NULL && argument[0] == SIG_SETMASK)
		*mask = *set;
	*mask &= ~(UINT64_C(1) << (SIGSYS - 1));
	if (old_set != NULL)
		*old_set = old;
	return 0;
}

/* read_arguments returns the arguments of the trapped call, and set_result sets what it returns to the program. */
#if defined(__x86_64__)

static void read_arguments(const ucontext_t *interrupted, long *argument)
{
	static const int registers[] = {REG_RDI, REG_RSI, REG_RDX, REG_R10, REG_R8, REG_R9};
	for (int i = 0; i < 6; i++)
		argument[i] = interrupted->uc_mcontext.gregs[registers[i]];
}

static void set_result(ucontext_t *interrupted, long result) { interrupted->uc_mcontext.gregs[REG_RAX] = result; }

#else

static void read_arguments(const ucontext_t *interrupted, long *argument)
{
	for (int i = 0; i < 6; i++)
		argument[i] = (long)interrupted->uc_mcontext.regs[i];
}

static void set_result(ucontext_t *interrupted, long result) { interrupted->uc_mcontext.regs[0] = (uint64_t)result; }

#endif

static void handle_sigsys(int signal, siginfo_t *info, void *context)
{
	ucontext_t *interrupted = context;
	long argument[6], result;
	(void)signal;
	read_arguments(interrupted, argument);
	if (info->si_syscall == SYS_rt_sigprocmask)
		result = change_mask((uint64_t *)&interrupted->uc_sigmask, argument);
	else
		result = fail_or_execute(info->si_syscall, argument);
	set_result(interrupted, result);
}

/*
 * install_filter installs the filter that makes the trapped calls raise SIGSYS. The filter also makes sigaction calls for SIGSYS return
 * success without an effect, so that the Go runtime does not replace the signal handler. Writes to standard error are never trapped: the
 * Go runtime reports a crash from a signal handler, in which SIGSYS is blocked, so that a trapped call would kill the process unreported.
 * Calls that block signals are trapped, since the Go runtime has a thread with all signals blocked that wakes the network poller at times;
 * a call that only unblocks some is not, since the runtime makes it in a signal handler.
 */
static int install_filter(void)
{
	enum { COUNT = sizeof trapped_calls / sizeof trapped_calls[0] };
	uint64_t pass = (uintptr_t)frostlink_after_syscall;
	struct sock_filter program[COUNT + 32];
	int n = 0;
	program[n++] = (struct sock_filter)BPF_STMT(BPF_LD | BPF_W | BPF_ABS, offsetof(struct seccomp_data, arch));
	program[n++] = (struct sock_filter)BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, AUDIT_ARCHITECTURE, 1, 0);
	program[n++] = (struct sock_filter)BPF_STMT(BPF_RET | BPF_K, SECCOMP_RET_ALLOW);
	program[n++] = (struct sock_filter)BPF_STMT(BPF_LD | BPF_W | BPF_ABS, offsetof(struct seccomp_data, instruction_pointer));
	program[n++] = (struct sock_filter)BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, (uint32_t)pass, 0, 3);
	program[n++] = (struct sock_filter)BPF_STMT(BPF_LD | BPF_W | BPF_ABS, offsetof(struct seccomp_data, instruction_pointer) + 4);
	program[n++] = (struct sock_filter)BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, (uint32_t)(pass >> 32), 0, 1);
	program[n++] = (struct sock_filter)BPF_STMT(BPF_RET | BPF_K, SECCOMP_RET_ALLOW);
	program[n++] = (struct sock_filter)BPF_STMT(BPF_LD | BPF_W | BPF_ABS, offsetof(struct seccomp_data, nr));
	program[n++] = (struct sock_filter)BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, SYS_write, 0, 3);
	program[n++] = (struct sock_filter)BPF_STMT(BPF_LD | BPF_W | BPF_ABS, offsetof(struct seccomp_data, args[0]));
	program[n++] = (struct sock_filter)BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, STDERR_FILENO, 0, 1);
	program[n++] = (struct sock_filter)BPF_STMT(BPF_RET | BPF_K, SECCOMP_RET_ALLOW);
	program[n++] = (struct sock_filter)BPF_STMT(BPF_LD | BPF_W | BPF_ABS, offsetof(struct seccomp_data, nr));
	program[n++] = (struct sock_filter)BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, SYS_rt_sigaction, 0, 3);
	program[n++] = (struct sock_filter)BPF_STMT(BPF_LD | BPF_W | BPF_ABS, offsetof(struct seccomp_data, args[0]));
	program[n++] = (struct sock_filter)BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, SIGSYS, 0, COUNT + 6);
	program[n++] = (struct sock_filter)BPF_STMT(BPF_RET | BPF_K, SECCOMP_RET_ERRNO); /* errno 0: reports success without executing the call */
	program[n++] = (struct sock_filter)BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, SYS_rt_sigprocmask, 0, 4);
	program[n++] = (struct sock_filter)BPF_STMT(BPF_LD | BPF_W | BPF_ABS, offsetof(struct seccomp_data, args[0]));
	program[n++] = (struct sock_filter)BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, SIG_UNBLOCK, 0, 1);
	program[n++] = (struct sock_filter)BPF_STMT(BPF_RET | BPF_K, SECCOMP_RET_ALLOW);
	program[n++] = (struct sock_filter)BPF_STMT(BPF_RET | BPF_K, SECCOMP_RET_TRAP);
	for (int i = 0; i < COUNT; i++)
		program[n++] = (struct sock_filter)BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, trapped_calls[i].number, COUNT - i, 0);
	program[n++] = (struct sock_filter)BPF_STMT(BPF_RET | BPF_K, SECCOMP_RET_ALLOW);
	program[n++] = (struct sock_filter)BPF_STMT(BPF_RET | BPF_K, SECCOMP_RET_TRAP);
	struct sock_fprog filter = {.len = n, .filter = program};
	return prctl(PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0) != 0 || prctl(PR_SET_SECCOMP, SECCOMP_MODE_FILTER, &filter) != 0;
}

__attribute__((constructor)) static void load(void)
{
	const char *path = getenv("FROSTLINK_SYSCALL_RULES"), *folder_path = getenv("FROSTLINK_SYSCALL_FOLDER");
	struct sigaction action = {.sa_sigaction = handle_sigsys, .sa_flags = SA_SIGINFO | SA_ONSTACK | SA_NODEFER};
	if (path == NULL)
		return;
	if (folder_path != NULL && strlen(folder_path) < sizeof folder)
		strcpy(folder, folder_path);
	int file = open(path, O_RDWR | O_CLOEXEC);
	void *mapped = file < 0 ? MAP_FAILED : mmap(NULL, sizeof *rules, PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
	if (mapped == MAP_FAILED)
		_exit(125);
	close(file);
	rules = mapped;
	if (sigaction(SIGSYS, &action, NULL) != 0 || install_filter() != 0)
		_exit(125);
}
