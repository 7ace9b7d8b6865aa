//! The file by which the two processes of a hot restart know the ids of each other's requests. Each process writes its
//! own table and reads that of the other one; what a process leaves there, its successors still read.

use crate::request_id_table::{BUCKET_BYTES, TABLE_BYTES};
use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::Path;

/// The file in the shared directory.
pub const REQUEST_IDS_FILE: &str = "oakport-request-ids";
/// The first byte is the number of the table that the latest process writes. Tables are aligned to pages.
const HEADER_BYTES: usize = 4_096;
const TABLE_COUNT: u8 = 2;

/// Size of the file in KiB. It counts as memory of the processes.
pub const REQUEST_IDS_FILE_KIB: usize = (HEADER_BYTES + TABLE_COUNT as usize * TABLE_BYTES) / 1_024;

/// The two tables of digests in the shared file.
#[derive(Debug)]
pub struct SharedRequestIds {
    file: File,
    /// The table that this process writes.
    own_table: u8,
}

impl SharedRequestIds {
    /// Opens the file in `directory`, and takes over the table that the latest process does not write.
    ///
    /// # Errors
    /// The file cannot be opened, read or written.
    pub fn open(directory: &Path) -> io::Result<Self> {
        let mut options = OpenOptions::new();
        let file = options
            .read(true)
            .write(true)
            .create(true)
            .truncate(false)
            .open(directory.join(REQUEST_IDS_FILE))?;
        let mut latest = [0];
        let is_first = file.metadata()?.len() == 0;
        if is_first {
            file.set_len((HEADER_BYTES + usize::from(TABLE_COUNT) * TABLE_BYTES) as u64)?;
        }
        file.read_exact_at(&mut latest, 0)?;
        let own_table = (latest[0] + 1) % TABLE_COUNT;
        file.write_all_at(&[own_table], 0)?;
        Ok(SharedRequestIds { file, own_table })
    }

    /// The table of this process, as earlier processes have left it. `None` if it cannot be read.
    pub fn read_own_table(&self) -> Option<Vec<u8>> {
        let mut bytes = vec![0; TABLE_BYTES];
        self.file.read_exact_at(&mut bytes, position(self.own_table, 0)).ok()?;
        Some(bytes)
    }

    /// A bucket of the other process.
    ///
    /// # Errors
    /// The file cannot be read.
    pub fn read_other_bucket(&self, index: usize) -> io::Result<[u8; BUCKET_BYTES]> {
        let mut bytes = [0; BUCKET_BYTES];
        let other_table = (self.own_table + 1) % TABLE_COUNT;
        self.file.read_exact_at(&mut bytes, position(other_table, index))?;
        Ok(bytes)
    }

    /// Writes a bucket of this process.
    ///
    /// # Errors
    /// The file cannot be written.
    pub fn write_own_bucket(&self, index: usize, bytes: &[u8; BUCKET_BYTES]) -> io::Result<()> {
        self.file.write_all_at(bytes, position(self.own_table, index))
    }
}

/// Where a bucket is in the file.
fn position(table: u8, bucket_index: usize) -> u64 {
    (HEADER_BYTES + usize::from(table) * TABLE_BYTES + bucket_index * BUCKET_BYTES) as u64
}
