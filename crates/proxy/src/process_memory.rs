//! The memory that this process may use and does use, alone or alongside another process of the same proxy.

use crate::body::MemoryLimit;
use crate::hot_restart::{HandoverDirectory, REQUEST_IDS_FILE_KIB};
use std::cell::RefCell;
use std::rc::Rc;

/// Blocks of this size and more go back to the system when they are freed: bodies and the blocks of
/// read-ahead.
const MAPPED_BLOCK_BYTES: nix::libc::c_int = 32 * 1024;
/// Memory for the first connections of a successor, until this process frees more.
const SUCCESSOR_START_KIB: usize = 2 * 1024;
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
    let (resident, of_files) = (pages.next()?, pages.next()?);
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
        let budget =
            MemoryBudget { memory, total_kib: total_mb * KIB_PER_MB - file_kib, handover, start_kib };
        budget.check();
        budget
    }

    /// Sets the limit by the memory that this process and the other one use now.
    pub fn check(&self) {
        let resident_kib = resident_kib("self").unwrap_or_default();
        self.memory.record_resident(resident_kib, self.start_kib);
        self.memory.set_limit(self.limit_kib(resident_kib));
    }

    /// The memory that this process may use.
    fn limit_kib(&self, own_kib: usize) -> usize {
        let Some(handover) = &self.handover else { return self.total_kib };
        let Some(other) = handover.borrow_mut().other_process() else {
            return self.total_kib.saturating_sub(self.start_kib + SUCCESSOR_START_KIB);
        };
        return_free_memory();
        match other.id.and_then(other_resident_kib) {
            // Both processes may grow until the next check, each by half of what is free.
            Some(other_kib) => own_kib + self.total_kib.saturating_sub(own_kib + other_kib) / 2,
            // The other process is of a release that does not write its id, or its id is out of date.
            None => self.total_kib / 2,
        }
    }
}
