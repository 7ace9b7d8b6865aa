//! Two processes for a while: the listener that the platform holds for both, and what one leaves to the next.

use crate::endpoint_list::EndpointList;
use serde::{Deserialize, Serialize};
use std::fs::{File, OpenOptions};
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{BorrowedFd, FromRawFd, RawFd};
use std::path::{Path, PathBuf};
use tracing::warn;

/// Standard streams are not for clients.
const FIRST: RawFd = 3;
/// Held by the process that serves, for as long as it lives.
const LOCK: &str = "oakport.lock";
/// Held by the next process, until it serves alone.
const NEXT: &str = "oakport-next.lock";
/// The list as that process last had it.
const LIST: &str = "oakport-list.json";
/// Most bytes of the file that are believed.
const LIST_MOST: u64 = 4 << 20;

/// The listener that `$RELAY_ACCEPT_FD` names, if it is set.
pub fn inherited_listener() -> Result<Option<TcpListener>, String> {
    let Some(name) = std::env::var_os("RELAY_ACCEPT_FD") else { return Ok(None) };
    let adopted = name.to_str().and_then(|n| n.trim().parse().ok()).and_then(adopt);
    let listener = adopted.ok_or_else(|| format!("RELAY_ACCEPT_FD {name:?} is no listening socket"))?;
    listener.set_nonblocking(true).map_err(|e| format!("RELAY_ACCEPT_FD {name:?}: {e}"))?;
    Ok(Some(listener))
}

/// Makes a listener of an open descriptor that is one.
#[allow(unsafe_code)]
fn adopt(fd: RawFd) -> Option<TcpListener> {
    if fd < FIRST {
        return None;
    }
    // SAFETY: borrowed for this one question, whose error tells when nothing is open there.
    let borrowed = unsafe { BorrowedFd::borrow_raw(fd) };
    if !socket2::SockRef::from(&borrowed).is_listener().unwrap_or(false) {
        return None;
    }
    // SAFETY: it is open, as was just seen, and nothing else in this process owns it: the platform gave it to
    // us under this number, and this is called once, before the program opens anything.
    Some(unsafe { TcpListener::from_raw_fd(fd) })
}

#[derive(Serialize, Deserialize)]
struct HandoverFile {
    discovery: SocketAddr,
    list: EndpointList,
}

/// Left by a process that waits to take an address over from the one before it.
const HEIR: &str = "oakport-peers.heir";

/// Whether another process of this proxy waits for the peers' address.
#[derive(Debug)]
pub struct SuccessorMarker {
    place: Option<PathBuf>,
}

impl SuccessorMarker {
    /// In `$TMPDIR`, if there is one; else nobody can wait.
    pub fn open() -> Self {
        SuccessorMarker {
            place: std::env::var_os("TMPDIR").filter(|f| !f.is_empty()).map(|f| Path::new(&f).join(HEIR)),
        }
    }

    /// This process waits, or does so no longer.
    pub fn set_waiting(&self, waits: bool) {
        let Some(place) = &self.place else { return };
        // At worst the one before says that it leaves, and this one is a new member a moment later.
        let _ = if waits { std::fs::write(place, []) } else { std::fs::remove_file(place) };
    }

    /// Another waits.
    pub fn is_waiting(&self) -> bool {
        self.place.as_ref().is_some_and(|place| place.exists())
    }
}

/// The folder that two processes of one proxy share.
#[derive(Debug)]
pub struct HandoverDirectory {
    folder: PathBuf,
    lock: Option<File>,
    next: Option<File>,
}

impl HandoverDirectory {
    /// In `$TMPDIR`, if there is one.
    pub fn open() -> Option<Self> {
        let folder = std::env::var_os("TMPDIR").filter(|f| !f.is_empty())?;
        Some(HandoverDirectory { folder: folder.into(), lock: None, next: None })
    }

    /// Is this the only process that serves here? Once it is, it stays so until the next one starts.
    pub fn is_alone(&mut self) -> bool {
        if self.lock.is_none() {
            // Without a file nothing tells of another: then there is none to make room for.
            let Ok(file) = self.file(LOCK) else { return true };
            self.lock = file.try_lock().is_ok().then_some(file);
            // The one before sees by this that another is there; it goes with this process, however that ends.
            self.next = match self.next.take() {
                _ if self.lock.is_some() => None,
                None => self.file(NEXT).ok().filter(|file| file.try_lock().is_ok()),
                held => held,
            };
        }
        self.lock.is_some()
    }

    /// Is the next process there?
    pub fn has_successor(&self) -> bool {
        let next = self.file(NEXT);
        next.is_ok_and(|file| matches!(file.try_lock(), Err(std::fs::TryLockError::WouldBlock)))
    }

    fn file(&self, name: &str) -> std::io::Result<File> {
        OpenOptions::new().write(true).create(true).truncate(false).open(self.folder.join(name))
    }

    /// Leaves the list to whoever starts next. A reader finds the old one or the new one, never half of it.
    pub fn write_endpoint_list(&self, discovery: SocketAddr, list: EndpointList) {
        let place = self.folder.join(LIST);
        let beside = self.folder.join(format!("{LIST}.{}", std::process::id()));
        let written = serde_json::to_vec(&HandoverFile { discovery, list })
            .map_err(std::io::Error::from)
            .and_then(|text| std::fs::write(&beside, text))
            .and_then(|()| std::fs::rename(&beside, &place));
        if let Err(fault) = written {
            warn!(folder = %self.folder.display(), reason = %fault, "list not left to the next process");
            let _ = std::fs::remove_file(&beside);
        }
    }

    /// The list that was left, if it came from this discovery and can be read.
    pub fn read_endpoint_list(&self, discovery: SocketAddr) -> Option<EndpointList> {
        read(&self.folder.join(LIST)).filter(|left| left.discovery == discovery).map(|left| left.list)
    }
}

fn read(place: &Path) -> Option<HandoverFile> {
    let found = std::fs::metadata(place).ok().filter(|m| m.is_file() && m.len() <= LIST_MOST);
    found.and_then(|_| std::fs::read(place).ok()).and_then(|text| serde_json::from_slice(&text).ok())
}

/// The newer of two lists from one discovery.
pub fn newer_list(known: Option<EndpointList>, left: Option<EndpointList>) -> Option<EndpointList> {
    match (known, left) {
        (Some(known), Some(left)) if known.index >= left.index => Some(known),
        (known, left) => left.or(known),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn folder(name: &str) -> HandoverDirectory {
        let folder = std::env::temp_dir().join(format!("oakport-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        HandoverDirectory { folder, lock: None, next: None }
    }

    fn list(index: u64) -> EndpointList {
        let text =
            format!(r#"{{"index":{index},"snapshot":true,"endpoints":[{{"name":"s","since_ms":5}}]}}"#);
        serde_json::from_str(&text).expect("a list")
    }

    #[test]
    fn what_is_no_listener_is_not_taken() {
        for fd in [-1, 0, 2, 900_000] {
            assert!(adopt(fd).is_none(), "{fd}");
        }
        let socket = std::net::UdpSocket::bind("127.0.0.1:0").expect("a port");
        assert!(adopt(std::os::fd::AsRawFd::as_raw_fd(&socket)).is_none());
    }

    #[test]
    fn one_serves_alone_and_the_next_once_that_has_ended() {
        let (mut one, mut two) = (folder("lock"), folder("lock"));
        assert!(one.is_alone());
        assert!(!one.has_successor());
        assert!(!two.is_alone() && !two.is_alone());
        assert!(one.has_successor());
        drop(one);
        assert!(two.is_alone() && !two.has_successor());
        let _ = std::fs::remove_dir_all(&two.folder);
    }

    #[test]
    fn a_list_is_left_whole_and_what_is_odd_is_not_believed() {
        let shared = folder("list");
        let (here, there) = ("127.0.0.1:1".parse().expect("ok"), "127.0.0.1:2".parse().expect("ok"));
        assert!(shared.read_endpoint_list(here).is_none());
        shared.write_endpoint_list(here, list(7));
        assert_eq!(shared.read_endpoint_list(here).map(|l| (l.index, l.endpoints.len())), Some((7, 1)));
        assert!(shared.read_endpoint_list(there).is_none(), "another discovery counts otherwise");
        let place = shared.folder.join(LIST);
        let text = std::fs::read(&place).expect("a file");
        for odd in [&b""[..], &text[..text.len() / 2], b"{}", b"\xff", b"[1]"] {
            std::fs::write(&place, odd).expect("a file");
            assert!(shared.read_endpoint_list(here).is_none());
        }
        assert_eq!(
            std::fs::read_dir(&shared.folder).expect("a folder").count(),
            1,
            "nothing stays beside it"
        );
        let _ = std::fs::remove_dir_all(&shared.folder);
    }

    #[test]
    fn the_newer_list_is_taken() {
        let index = |known: Option<u64>, left: Option<u64>| {
            newer_list(known.map(list), left.map(list)).map(|l| l.index)
        };
        assert_eq!(index(Some(3), Some(5)), Some(5));
        assert_eq!(index(Some(5), Some(3)), Some(5));
        assert_eq!(index(None, Some(3)), Some(3));
        assert_eq!(index(Some(3), None), Some(3));
        assert_eq!(index(None, None), None);
    }
}
