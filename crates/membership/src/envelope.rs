//! What stands before a datagram's content, so that only this fleet's whole datagrams are read.

use xxhash_rust::xxh3::xxh3_64;

/// The mark; the version of the format follows.
const MARK: [u8; 3] = *b"oak";
/// Bytes of an envelope.
pub const LENGTH: usize = 16;

/// What a datagram holds: the fourth byte, a kind in its upper half and the kind's version in the lower one.
/// Who knows only the first kind takes the others for another version of it, and throws them away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DatagramKind {
    /// What `foca` says to members of one scope.
    Swim = 0x01,
    /// What is told of scopes.
    ScopeGossip = 0x11,
    /// What members of one scope ask and tell each other where their views differ.
    AntiEntropy = 0x21,
}

/// What stands before a datagram's content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Envelope {
    /// The fleet's name as a hash.
    pub fleet: u32,
    /// The digest of the sender's view.
    pub digest: u32,
}

/// Why a datagram is thrown away.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum DatagramError {
    /// It is no datagram of oakport's.
    Magic,
    /// It has another version.
    Version,
    /// It was damaged, or cut.
    Checksum,
    /// It is another fleet's.
    Fleet,
    /// Its content makes no sense.
    Content,
}

impl Envelope {
    /// The hash of a fleet's name, the same in all builds.
    pub fn fleet(name: &str) -> u32 {
        xxh3_64(name.as_bytes()) as u32
    }

    /// The hash of the name of a scope in a fleet: its members' datagrams are foreign to other scopes.
    pub(crate) fn scope(fleet: &str, scope: &str) -> u32 {
        match scope {
            "" => Envelope::fleet(fleet),
            _ => Envelope::fleet(&format!("{fleet}\0{scope}")),
        }
    }

    /// A whole datagram of the first kind.
    pub fn seal(&self, content: &[u8]) -> Vec<u8> {
        self.seal_as(DatagramKind::Swim, content)
    }

    /// A whole datagram.
    pub fn seal_as(&self, kind: DatagramKind, content: &[u8]) -> Vec<u8> {
        let mut whole = Vec::with_capacity(LENGTH + content.len());
        whole.extend_from_slice(&MARK);
        whole.push(kind as u8);
        whole.extend_from_slice(&self.fleet.to_be_bytes());
        whole.extend_from_slice(&self.digest.to_be_bytes());
        whole.extend_from_slice(&checksum(&whole, content).to_be_bytes());
        whole.extend_from_slice(content);
        whole
    }

    /// Opens a datagram of the first kind, of this fleet.
    ///
    /// # Errors
    /// Why it is thrown away.
    pub fn open(fleet: u32, datagram: &[u8]) -> Result<(Envelope, &[u8]), DatagramError> {
        let (envelope, _, content) =
            Envelope::open_any(|kind| (kind == DatagramKind::Swim).then_some(fleet), datagram)?;
        Ok((envelope, content))
    }

    /// Opens a datagram of one of the kinds for which a fleet is given.
    ///
    /// # Errors
    /// Why it is thrown away.
    pub fn open_any(
        fleet: impl Fn(DatagramKind) -> Option<u32>,
        datagram: &[u8],
    ) -> Result<(Envelope, DatagramKind, &[u8]), DatagramError> {
        let (mark, rest) = datagram.split_first_chunk::<4>().ok_or(DatagramError::Magic)?;
        if mark[..3] != MARK {
            return Err(DatagramError::Magic);
        }
        let kind = [DatagramKind::Swim, DatagramKind::ScopeGossip, DatagramKind::AntiEntropy]
            .into_iter()
            .find(|kind| *kind as u8 == mark[3]);
        let kind = kind.ok_or(DatagramError::Version)?;
        let fleet = fleet(kind).ok_or(DatagramError::Version)?;
        let (found, rest) = rest.split_first_chunk::<4>().ok_or(DatagramError::Checksum)?;
        let (digest, rest) = rest.split_first_chunk::<4>().ok_or(DatagramError::Checksum)?;
        let (sum, content) = rest.split_first_chunk::<4>().ok_or(DatagramError::Checksum)?;
        if checksum(&datagram[..12], content) != u32::from_be_bytes(*sum) {
            return Err(DatagramError::Checksum);
        }
        if u32::from_be_bytes(*found) != fleet {
            return Err(DatagramError::Fleet);
        }
        Ok((Envelope { fleet, digest: u32::from_be_bytes(*digest) }, kind, content))
    }
}

fn checksum(head: &[u8], content: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(head);
    hasher.update(content);
    hasher.finalize()
}
