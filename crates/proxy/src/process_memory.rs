//! The memory that this process may use and does use, alone or alongside another process of the same proxy.

use crate::body::MemoryLimit;
use crate::hot_restart::{HandoverDirectory, OtherProcess, REQUEST_IDS_FILE_KIB};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Blocks of this size and more go back to the system when they are freed: bodies and the blocks of
/// read-ahead.
const MAPPED_BLOCK_BYTES: nix::libc::c_int = 32 * 1024;
/// Memory for the first connections of a successor, until this process frees more.
const SUCCESSOR_START_KIB: usize = 2 * 1024;
/// Memory for the last requests of a process that hands its responses over.
const LAST_REQUESTS_KIB: usize = 1024;
/// How often the limit is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// The same while another process runs: clients move from one to the other.
const SHARED_CHECK_INTERVAL: Duration = Duration::from_millis(25);
const KIB_PER_MB: usize = 1024;
const BYTES_PER_KIB: usize = 1024;

/// Makes the allocator return large blocks to the system when they are freed. Otherwise it would keep them, and
/// the process would use more memory than it holds.
#[allow(unsafe_code)]
pub fn return_large_blocks() {
    // SAFETY: sets a parameter of the allocator and touches no memory of the program.
    unsafe { nix::libc::mallopt(nix::libc::M_MMAP_THRESHOLD, MAPPED_BLOCK_BYTES) };
}

/// Returns free memory of the allocator to the system.
#[allow(unsafe_code)]
pub fn return_free_memory() {
    // SAFETY: returns pages that hold no allocated block.
    unsafe { nix::libc::malloc_trim(0) };
}

/// The resident memory of a process in KiB, without the pages of files. `None` if the system does not report
/// it.
fn resident_kib(process: &str) -> Option<usize> {
    let text = std::fs::read_to_string(format!("/proc/{process}/statm")).ok()?;
    let mut pages = text.split_whitespace().skip(1).map_while(|count| count.parse::<usize>().ok());
    let resident = pages.next()?;
    let of_files = pages.next()?;
    let page_bytes = nix::unistd::sysconf(nix::unistd::SysconfVar::PAGE_SIZE).ok()??;
    Some(resident.saturating_sub(of_files) * page_bytes as usize / BYTES_PER_KIB)
}

/// The resident memory of the other process of this proxy in KiB. `None` if no process of this program has this
/// id.
fn other_resident_kib(id: u32) -> Option<usize> {
    let program = |process: &str| std::fs::read(format!("/proc/{process}/comm")).ok();
    let id = id.to_string();
    let is_same_program = program(&id).is_some() && program(&id) == program("self");
    is_same_program.then(|| resident_kib(&id)).flatten()
}

/// Keeps the memory limit of this process up to date.
pub struct MemoryBudget {
    memory: Rc<MemoryLimit>,
    /// The memory of all processes of this proxy, without the file that they share.
    total_kib: usize,
    /// The directory shared with the other process; `None` if there can be no other.
    handover: Option<Rc<RefCell<HandoverDirectory>>>,
    /// Memory that this process used when it started: its successor needs as much.
    start_kib: usize,
    /// When free memory was last returned to the system.
    freed_at: Cell<Option<Instant>>,
}

impl MemoryBudget {
    /// Sets the first limit. Must be called before the first connection is accepted.
    pub fn new(
        memory: Rc<MemoryLimit>,
        total_mb: usize,
        handover: Option<Rc<RefCell<HandoverDirectory>>>,
    ) -> Self {
        let start_kib = resident_kib("self").unwrap_or_default();
        let file_kib = handover.as_ref().map_or(0, |_| REQUEST_IDS_FILE_KIB);
        let budget = MemoryBudget {
            memory,
            total_kib: total_mb * KIB_PER_MB - file_kib,
            handover,
            start_kib,
            freed_at: Cell::default(),
        };
        budget.check();
        budget
    }

    /// Sets the limit by the memory that this process and the other one use now. Returns when to do so again.
    pub fn check(&self) -> Duration {
        let resident_kib = resident_kib("self").unwrap_or_default();
        self.memory.record_resident(resident_kib, self.start_kib);
        let Some(handover) = &self.handover else {
            self.memory.set_limit(self.total_kib);
            return CHECK_INTERVAL;
        };
        let other = handover.borrow_mut().other_process();
        let limit_kib = self.limit_kib(other, resident_kib);
        let other_limit_kib = other.and_then(|other| other.memory_limit_kib);
        let left_kib = other_limit_kib.map(|other_kib| self.total_kib.saturating_sub(other_kib));
        self.memory.set_handover_limit(left_kib.unwrap_or(limit_kib));
        self.memory.set_limit(limit_kib);
        handover.borrow().write_memory_limit(limit_kib);
        if other.is_some() {
            SHARED_CHECK_INTERVAL
        } else {
            CHECK_INTERVAL
        }
    }

    /// The memory that this process may use until the next check, where there may be another process.
    fn limit_kib(&self, other: Option<OtherProcess>, resident_kib: usize) -> usize {
        let Some(other) = other else {
            return self.total_kib.saturating_sub(self.start_kib + SUCCESSOR_START_KIB);
        };
        self.return_free_memory_at_times();
        // Both processes may grow until the next check, each by half of what neither may use. One that hands its
        // responses over leaves that to the other one.
        let with_half_of_rest = |own_kib: usize, other_kib: usize| {
            own_kib + self.total_kib.saturating_sub(own_kib + other_kib) / 2
        };
        match (other.memory_limit_kib, other.id.and_then(other_resident_kib)) {
            (Some(other_limit_kib), Some(_)) if self.memory.is_handing_over() => {
                let needed_kib = self.memory.used_kib() + LAST_REQUESTS_KIB;
                needed_kib.min(with_half_of_rest(self.memory.used_kib(), other_limit_kib))
            }
            (Some(other_limit_kib), Some(_)) => {
                with_half_of_rest(self.memory.used_kib(), other_limit_kib).min(self.total_kib)
            }
            // The other process is of a release that does not write its limit.
            (None, Some(other_kib)) => with_half_of_rest(resident_kib, other_kib),
            // Nor its id, or the id is out of date.
            (_, None) => self.total_kib / 2,
        }
    }

    /// Returns free memory to the system, no more often than [`CHECK_INTERVAL`], as that takes time.
    fn return_free_memory_at_times(&self) {
        if self.freed_at.get().is_none_or(|freed_at| freed_at.elapsed() >= CHECK_INTERVAL) {
            return_free_memory();
            self.freed_at.set(Some(Instant::now()));
        }
    }
}
