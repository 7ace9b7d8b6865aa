//! Remembers the ids of non-idempotent requests that may have run: a client that has left before its answer may send
//! such a request again, to this process or to the other one of a hot restart, and it must not run twice.

#[cfg(test)]
mod tests;

use crate::hot_restart::SharedRequestIds;
use crate::request_id_table::{Bucket, IdTable, RequestDigest};
use std::cell::{Cell, RefCell};
use std::io;
use tracing::warn;

/// The digests of requests that may have run, in a table of fixed size that forgets the oldest.
#[derive(Debug)]
pub struct RequestIds {
    own: RefCell<IdTable>,
    /// The table that the other process of a hot restart reads, and that of this process; `None` without one.
    shared: Option<SharedRequestIds>,
    has_logged_failure: Cell<bool>,
}

impl RequestIds {
    /// Begins with the ids that earlier processes of this proxy have left, if there are any.
    pub fn new(shared: Option<SharedRequestIds>) -> Self {
        let own = shared.as_ref().and_then(SharedRequestIds::read_own_table);
        RequestIds {
            own: RefCell::new(own.map(IdTable::from_bytes).unwrap_or_default()),
            shared,
            has_logged_failure: Cell::new(false),
        }
    }

    /// Whether a request with this digest may have run, at this process or at the other one.
    pub fn contains(&self, digest: RequestDigest) -> bool {
        self.own.borrow().bucket(digest).contains(digest) || self.is_known_to_other_process(digest)
    }

    /// Records that a request is about to run. False if one with this digest may have run already.
    pub fn try_record(&self, digest: RequestDigest) -> bool {
        if self.own.borrow().bucket(digest).contains(digest) {
            return false;
        }
        self.own.borrow_mut().bucket_mut(digest).insert(digest);
        self.share(digest);
        // Checked after the own record is visible: of two processes at least one sees the other's.
        if self.is_known_to_other_process(digest) {
            self.forget(digest);
            return false;
        }
        true
    }

    /// Removes a request that certainly has not run.
    pub fn forget(&self, digest: RequestDigest) {
        self.own.borrow_mut().bucket_mut(digest).remove(digest);
        self.share(digest);
    }

    fn is_known_to_other_process(&self, digest: RequestDigest) -> bool {
        let Some(shared) = &self.shared else { return false };
        match shared.read_other_bucket(IdTable::bucket_index(digest)) {
            Ok(bytes) => Bucket::from_bytes(&bytes).contains(digest),
            Err(error) => {
                self.log_failure(&error);
                false
            }
        }
    }

    /// Writes the bucket of this digest for the other process.
    fn share(&self, digest: RequestDigest) {
        let Some(shared) = &self.shared else { return };
        let bytes = self.own.borrow().bucket(digest).to_bytes();
        if let Err(error) = shared.write_own_bucket(IdTable::bucket_index(digest), &bytes) {
            self.log_failure(&error);
        }
    }

    /// Logs the first failure: until the file can be used again, each process knows only its own ids.
    fn log_failure(&self, error: &io::Error) {
        if !self.has_logged_failure.replace(true) {
            warn!(reason = %error, "request ids not shared with the other process");
        }
    }
}
