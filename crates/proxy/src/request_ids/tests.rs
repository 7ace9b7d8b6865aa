//! The ids that one process, or the two of a hot restart, remember.

use super::*;
use crate::hot_restart::{SharedRequestIds, REQUEST_IDS_FILE};

fn digest(number: usize) -> RequestDigest {
    RequestDigest::of(format!("{number:016x}").as_bytes())
}

#[test]
fn an_id_is_recorded_once_until_it_is_forgotten() {
    let ids = RequestIds::new(None);
    assert!(!ids.contains(digest(1)) && ids.try_record(digest(1)));
    assert!(ids.contains(digest(1)) && !ids.try_record(digest(1)));
    ids.forget(digest(1));
    assert!(!ids.contains(digest(1)) && ids.try_record(digest(1)));
}

#[test]
fn thousands_of_later_ids_do_not_displace_one() {
    // Some tens of requests a second for minutes.
    const LATER_COUNT: usize = 8_000;
    let ids = RequestIds::new(None);
    for number in 0..100 {
        assert!(ids.try_record(digest(number)));
    }
    for number in 100..100 + LATER_COUNT {
        assert!(ids.try_record(digest(number)));
    }
    assert_eq!((0..100).filter(|&number| !ids.contains(digest(number))).count(), 0);
}

#[test]
fn two_processes_and_their_successors_know_of_each_others_ids() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let start = || RequestIds::new(SharedRequestIds::open(folder.path()).ok());
    let first = start();
    assert!(first.try_record(digest(1)));
    let second = start();
    assert!(second.contains(digest(1)) && !second.try_record(digest(1)));
    assert!(second.try_record(digest(2)));
    assert!(first.contains(digest(2)) && !first.try_record(digest(2)));
    second.forget(digest(2));
    assert!(!first.contains(digest(2)));
    assert!(second.try_record(digest(3)));
    drop(first);
    let third = start();
    assert!([1, 3].iter().all(|&number| third.contains(digest(number))));
    assert!(third.try_record(digest(4)) && second.contains(digest(4)));
}

#[test]
fn a_file_that_cannot_be_read_leaves_each_process_its_own_ids() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    assert!(SharedRequestIds::open(&folder.path().join("missing")).is_err());
    let shared = SharedRequestIds::open(folder.path()).expect("a file");
    let ids = RequestIds::new(Some(shared));
    let file = std::fs::File::options().write(true).open(folder.path().join(REQUEST_IDS_FILE));
    file.and_then(|file| file.set_len(0)).expect("the file");
    assert!(ids.try_record(digest(1)) && !ids.try_record(digest(1)));
}
