/*
 * Steps the wall clock of one process without affecting other processes.
 *
 * Loaded by LD_PRELOAD. The kernel maps the vDSO into every process, and the Go runtime calls the vDSO's clock_gettime without the C
 * library, so that no symbol can be interposed. Instead the vDSO functions in this process's private copy of the page are overwritten by
 * jumps to the functions below, which call the kernel and add an offset to the wall clock. All other clocks are unchanged, as
 * after a clock_settime(2).
 *
 * The offset, in nanoseconds, is the int64 at the start of the file that FROSTLINK_WALL_CLOCK_OFFSET names. The file is mapped shared,
 * so that a write to it steps the clock at once.
 */
#define _GNU_SOURCE
#include <elf.h>
#include <fcntl.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/auxv.h>
#include <sys/mman.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

static volatile int64_t *offset;

/*
 * What differs by architecture: the system call instruction, the names of the vDSO's functions, and the jump to an address. The address
 * is the 8 bytes of the jump from JUMP_ADDRESS_AT on.
 */
#if defined(__x86_64__)

#define VDSO_CLOCK_GETTIME "__vdso_clock_gettime"
#define VDSO_GETTIMEOFDAY "__vdso_gettimeofday"
#define VDSO_TIME "__vdso_time"

/* mov rax, address; jmp rax */
enum { JUMP_ADDRESS_AT = 2 };
static const unsigned char jump_to_address[] = {0x48, 0xb8, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xe0};

static long kernel_call(long number, long a, long b)
{
	long result;
	__asm__ volatile("syscall" : "=a"(result) : "a"(number), "D"(a), "S"(b) : "rcx", "r11", "memory");
	return result;
}

#elif defined(__aarch64__)

#define VDSO_CLOCK_GETTIME "__kernel_clock_gettime"
#define VDSO_GETTIMEOFDAY "__kernel_gettimeofday"
#define VDSO_TIME "" /* the arm64 vDSO has no time(2) */

/* ldr x16, address; br x16; address. x16 is free between a call and the function's first instruction. */
enum { JUMP_ADDRESS_AT = 8 };
static const unsigned char jump_to_address[] = {0x50, 0x00, 0x00, 0x58, 0x00, 0x02, 0x1f, 0xd6, 0, 0, 0, 0, 0, 0, 0, 0};

static long kernel_call(long number, long a, long b)
{
	register long x8 __asm__("x8") = number;
	register long x0 __asm__("x0") = a;
	register long x1 __asm__("x1") = b;
	__asm__ volatile("svc #0" : "+r"(x0) : "r"(x8), "r"(x1) : "memory");
	return x0;
}

#else
#error "written for x86-64 and arm64 only"
#endif

static void add_offset(int64_t *seconds, int64_t *nanoseconds)
{
	int64_t sum = *seconds * 1000000000 + *nanoseconds + *offset;
	*seconds = sum / 1000000000;
	*nanoseconds = sum % 1000000000;
}

static int stepped_clock_gettime(clockid_t id, struct timespec *at)
{
	long result = kernel_call(SYS_clock_gettime, id, (long)at);
	if (result == 0 && (id == CLOCK_REALTIME || id == CLOCK_REALTIME_COARSE))
		add_offset(&at->tv_sec, &at->tv_nsec);
	return (int)result;
}

static int stepped_gettimeofday(struct timeval *at, void *zone)
{
	struct timespec exact;
	(void)zone;
	if (at != NULL) {
		stepped_clock_gettime(CLOCK_REALTIME, &exact);
		at->tv_sec = exact.tv_sec;
		at->tv_usec = exact.tv_nsec / 1000;
	}
	return 0;
}

static time_t stepped_time(time_t *at)
{
	struct timespec exact;
	stepped_clock_gettime(CLOCK_REALTIME, &exact);
	if (at != NULL)
		*at = exact.tv_sec;
	return exact.tv_sec;
}

/* redirect overwrites the first bytes of a function with a jump. */
static void redirect(unsigned char *function, void *to)
{
	unsigned char jump[sizeof jump_to_address];
	uintptr_t page = (uintptr_t)function & ~(uintptr_t)4095;
	memcpy(jump, jump_to_address, sizeof jump);
	memcpy(jump + JUMP_ADDRESS_AT, &to, sizeof to);
	if (mprotect((void *)page, 8192, PROT_READ | PROT_WRITE | PROT_EXEC) != 0 &&
	    mprotect((void *)page, 4096, PROT_READ | PROT_WRITE | PROT_EXEC) != 0)
		_exit(125);
	memcpy(function, jump, sizeof jump);
	__builtin___clear_cache((char *)function, (char *)function + sizeof jump);
}

static void redirect_vdso(unsigned char *vdso)
{
	Elf64_Ehdr *header = (Elf64_Ehdr *)vdso;
	Elf64_Phdr *segments = (Elf64_Phdr *)(vdso + header->e_phoff);
	unsigned char *base = NULL;
	Elf64_Dyn *dynamic = NULL;
	Elf64_Sym *symbols = NULL;
	const char *names = NULL;
	uint32_t *hash = NULL;
	for (int i = 0; i < header->e_phnum; i++) {
		if (segments[i].p_type == PT_LOAD && base == NULL)
			base = vdso + segments[i].p_offset - segments[i].p_vaddr;
		if (segments[i].p_type == PT_DYNAMIC)
			dynamic = (Elf64_Dyn *)(vdso + segments[i].p_offset);
	}
	for (Elf64_Dyn *d = dynamic; d != NULL && d->d_tag != DT_NULL; d++) {
		if (d->d_tag == DT_SYMTAB)
			symbols = (Elf64_Sym *)(base + d->d_un.d_ptr);
		if (d->d_tag == DT_STRTAB)
			names = (const char *)(base + d->d_un.d_ptr);
		if (d->d_tag == DT_HASH)
			hash = (uint32_t *)(base + d->d_un.d_ptr);
	}
	/* Without DT_HASH the symbol table ends where the string table begins. */
	size_t count = hash != NULL ? hash[1] : ((uintptr_t)names - (uintptr_t)symbols) / sizeof(Elf64_Sym);
	for (size_t i = 0; symbols != NULL && i < count; i++) {
		const char *name = names + symbols[i].st_name;
		unsigned char *at = base + symbols[i].st_value;
		if (strcmp(name, VDSO_CLOCK_GETTIME) == 0)
			redirect(at, (void *)stepped_clock_gettime);
		else if (strcmp(name, VDSO_GETTIMEOFDAY) == 0)
			redirect(at, (void *)stepped_gettimeofday);
		else if (VDSO_TIME[0] != 0 && strcmp(name, VDSO_TIME) == 0)
			redirect(at, (void *)stepped_time);
	}
}

__attribute__((constructor)) static void load(void)
{
	const char *path = getenv("FROSTLINK_WALL_CLOCK_OFFSET");
	unsigned char *vdso = (unsigned char *)getauxval(AT_SYSINFO_EHDR);
	if (path == NULL)
		return;
	int file = open(path, O_RDONLY | O_CLOEXEC);
	void *mapped = file < 0 ? MAP_FAILED : mmap(NULL, sizeof *offset, PROT_READ, MAP_SHARED, file, 0);
	if (mapped == MAP_FAILED || vdso == NULL)
		_exit(125);
	close(file);
	offset = mapped;
	redirect_vdso(vdso);
}
