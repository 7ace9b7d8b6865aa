//! The envelope of each datagram: magic bytes, kind and version, fleet hash, view digest and checksum. Only
//! intact datagrams of the local fleet are processed.

use std::ops::Range;
use xxhash_rust::xxh3::xxh3_64;

/// The first bytes of each datagram, followed by the kind byte.
const MAGIC: [u8; 3] = *b"oak";
/// Length of an envelope.
pub(crate) const ENVELOPE_BYTES: usize = 16;
/// The bytes of an envelope that the checksum covers in addition to the content.
const CHECKSUMMED_BYTES: Range<usize> = 0..12;

/// The kind of a datagram, encoded in its fourth byte: the kind in the upper four bits, the version of that
/// kind in the lower four. A release that supports only SWIM treats the other kinds as an unknown version and
/// discards them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DatagramKind {
    /// SWIM messages of `foca` among the members of one scope.
    Swim = 0x01,
    /// Summaries of scopes.
    ScopeGossip = 0x11,
    /// Requests and responses that reconcile the views of two members of one scope.
    AntiEntropy = 0x21,
}

impl DatagramKind {
    const ALL: [DatagramKind; 3] = [DatagramKind::Swim, DatagramKind::ScopeGossip, DatagramKind::AntiEntropy];

    fn from_byte(byte: u8) -> Option<DatagramKind> {
        DatagramKind::ALL.into_iter().find(|kind| *kind as u8 == byte)
    }
}

/// The fields of an envelope that the sender sets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Envelope {
    /// Hash of the fleet name, or of the fleet and scope names.
    pub fleet_hash: u32,
    /// Digest of the sender's view.
    pub digest: u32,
}

/// A datagram whose envelope has been verified.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OpenedDatagram<'a> {
    /// The envelope.
    pub envelope: Envelope,
    /// The kind of the content.
    pub kind: DatagramKind,
    /// The bytes after the envelope.
    pub content: &'a [u8],
}

/// Why a datagram is discarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum DatagramError {
    /// The datagram does not begin with the magic bytes.
    #[error("not a membership datagram")]
    Magic,
    /// The kind, or its version, is not supported.
    #[error("unknown datagram kind or version")]
    Version,
    /// The datagram was damaged or truncated.
    #[error("datagram truncated, or checksum mismatch")]
    Checksum,
    /// The datagram belongs to another fleet or scope.
    #[error("datagram of another fleet or scope")]
    Fleet,
    /// The content cannot be decoded.
    #[error("invalid datagram content")]
    Content,
}

impl DatagramError {
    /// The metric key under which datagrams discarded for this reason are counted.
    pub(crate) fn metric_key(self) -> &'static str {
        match self {
            DatagramError::Magic => "mark",
            DatagramError::Version => "version",
            DatagramError::Checksum => "damaged",
            DatagramError::Fleet => "fleet",
            DatagramError::Content => "content",
        }
    }
}

impl From<postcard::Error> for DatagramError {
    fn from(_: postcard::Error) -> Self {
        DatagramError::Content
    }
}

/// The hashes that identify datagrams of the local fleet and scope.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FleetHashes {
    fleet: u32,
    scope: u32,
}

impl FleetHashes {
    /// Hashes for a scope of a fleet; the scope name is empty for members without a scope.
    pub(crate) fn new(fleet_name: &str, scope: &str) -> Self {
        let fleet = Envelope::fleet_hash(fleet_name);
        let scope = match scope {
            "" => fleet,
            _ => Envelope::fleet_hash(&format!("{fleet_name}\0{scope}")),
        };
        FleetHashes { fleet, scope }
    }

    /// The expected hash for a kind of datagram: only scope gossip is exchanged between scopes.
    pub(crate) fn for_kind(&self, kind: DatagramKind) -> u32 {
        match kind {
            DatagramKind::Swim | DatagramKind::AntiEntropy => self.scope,
            DatagramKind::ScopeGossip => self.fleet,
        }
    }

    /// Verifies a datagram of any kind.
    ///
    /// # Errors
    /// The reason for discarding the datagram.
    pub(crate) fn open<'a>(&self, datagram: &'a [u8]) -> Result<OpenedDatagram<'a>, DatagramError> {
        Envelope::open_any(|kind| Some(self.for_kind(kind)), datagram)
    }
}

impl Envelope {
    /// The hash of a fleet name, which is the same in all builds.
    pub fn fleet_hash(name: &str) -> u32 {
        xxh3_64(name.as_bytes()) as u32
    }

    /// Encodes a SWIM datagram.
    pub fn seal(&self, content: &[u8]) -> Vec<u8> {
        self.seal_as(DatagramKind::Swim, content)
    }

    /// Encodes a datagram of the given kind.
    pub fn seal_as(&self, kind: DatagramKind, content: &[u8]) -> Vec<u8> {
        let mut datagram = Vec::with_capacity(ENVELOPE_BYTES + content.len());
        datagram.extend_from_slice(&MAGIC);
        datagram.push(kind as u8);
        datagram.extend_from_slice(&self.fleet_hash.to_be_bytes());
        datagram.extend_from_slice(&self.digest.to_be_bytes());
        let checksum = checksum(&datagram, content);
        datagram.extend_from_slice(&checksum.to_be_bytes());
        datagram.extend_from_slice(content);
        datagram
    }

    /// Verifies a SWIM datagram with the given fleet hash.
    ///
    /// # Errors
    /// The reason for discarding the datagram.
    pub fn open(fleet_hash: u32, datagram: &[u8]) -> Result<OpenedDatagram<'_>, DatagramError> {
        Envelope::open_any(|kind| (kind == DatagramKind::Swim).then_some(fleet_hash), datagram)
    }

    /// Verifies a datagram of any kind for which `expected_hash` returns a hash.
    ///
    /// # Errors
    /// The reason for discarding the datagram.
    pub fn open_any(
        expected_hash: impl Fn(DatagramKind) -> Option<u32>,
        datagram: &[u8],
    ) -> Result<OpenedDatagram<'_>, DatagramError> {
        let (head, rest) = datagram.split_first_chunk::<4>().ok_or(DatagramError::Magic)?;
        if head[..MAGIC.len()] != MAGIC {
            return Err(DatagramError::Magic);
        }
        let kind = DatagramKind::from_byte(head[MAGIC.len()]).ok_or(DatagramError::Version)?;
        let expected_hash = expected_hash(kind).ok_or(DatagramError::Version)?;
        let (fleet_hash, rest) = split_u32(rest)?;
        let (digest, rest) = split_u32(rest)?;
        let (expected_checksum, content) = split_u32(rest)?;
        if checksum(&datagram[CHECKSUMMED_BYTES], content) != expected_checksum {
            return Err(DatagramError::Checksum);
        }
        if fleet_hash != expected_hash {
            return Err(DatagramError::Fleet);
        }
        Ok(OpenedDatagram { envelope: Envelope { fleet_hash, digest }, kind, content })
    }
}

fn split_u32(bytes: &[u8]) -> Result<(u32, &[u8]), DatagramError> {
    let (number, rest) = bytes.split_first_chunk::<4>().ok_or(DatagramError::Checksum)?;
    Ok((u32::from_be_bytes(*number), rest))
}

fn checksum(head: &[u8], content: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(head);
    hasher.update(content);
    hasher.finalize()
}
