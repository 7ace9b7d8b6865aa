use super::handover::LIST_FILE;
use super::listener::adopt_listener;
use super::{newer_list, HandoverDirectory};
use crate::endpoint_list::EndpointList;

fn directory(name: &str) -> HandoverDirectory {
    let path = std::env::temp_dir().join(format!("oakport-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&path).expect("a temporary directory");
    HandoverDirectory::at(path)
}

fn list(index: u64) -> EndpointList {
    let text = format!(r#"{{"index":{index},"snapshot":true,"endpoints":[{{"name":"s","since_ms":5}}]}}"#);
    serde_json::from_str(&text).expect("a list")
}

#[test]
fn a_descriptor_that_is_not_a_listener_is_not_adopted() {
    for descriptor in [-1, 0, 2, 900_000] {
        assert!(adopt_listener(descriptor).is_none(), "{descriptor}");
    }
    let socket = std::net::UdpSocket::bind("127.0.0.1:0").expect("a port");
    assert!(adopt_listener(std::os::fd::AsRawFd::as_raw_fd(&socket)).is_none());
}

#[test]
fn a_successor_is_alone_once_its_predecessor_has_ended() {
    let mut predecessor = directory("lock");
    let mut successor = directory("lock");
    assert!(predecessor.is_alone());
    assert!(!predecessor.has_successor());
    assert!(!successor.is_alone() && !successor.is_alone());
    assert!(predecessor.has_successor());
    drop(predecessor);
    assert!(successor.is_alone() && !successor.has_successor());
    let _ = std::fs::remove_dir_all(&successor.path);
}

#[test]
fn an_endpoint_list_is_written_atomically_and_an_invalid_file_is_ignored() {
    let shared = directory("list");
    let discovery = "127.0.0.1:1".parse().expect("an address");
    let other_discovery = "127.0.0.1:2".parse().expect("an address");
    assert!(shared.read_endpoint_list(discovery).is_none());
    shared.write_endpoint_list(discovery, list(7));
    let read = shared.read_endpoint_list(discovery).expect("the list");
    assert_eq!(read.index, 7);
    assert_eq!(read.endpoints.len(), 1);
    assert!(
        shared.read_endpoint_list(other_discovery).is_none(),
        "indexes of different discoveries are unrelated"
    );
    let path = shared.path.join(LIST_FILE);
    let text = std::fs::read(&path).expect("a file");
    for invalid in [&b""[..], &text[..text.len() / 2], b"{}", b"\xff", b"[1]"] {
        std::fs::write(&path, invalid).expect("a file");
        assert!(shared.read_endpoint_list(discovery).is_none());
    }
    let file_count = std::fs::read_dir(&shared.path).expect("a directory").count();
    assert_eq!(file_count, 1, "no temporary file remains");
    let _ = std::fs::remove_dir_all(&shared.path);
}

#[test]
fn the_newer_of_two_endpoint_lists_is_used() {
    let newer_index = |configured: Option<u64>, predecessor: Option<u64>| {
        newer_list(configured.map(list), predecessor.map(list)).map(|list| list.index)
    };
    assert_eq!(newer_index(Some(3), Some(5)), Some(5));
    assert_eq!(newer_index(Some(5), Some(3)), Some(5));
    assert_eq!(newer_index(None, Some(3)), Some(3));
    assert_eq!(newer_index(Some(3), None), Some(3));
    assert_eq!(newer_index(None, None), None);
}
