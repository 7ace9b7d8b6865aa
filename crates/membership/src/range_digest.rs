//! Digests of ranges of the member table, which two members compare to find where their views differ (one
//! level of a Merkle tree).
//!
//! The live members are ordered by the hash of their address. The sums are updated as members are added and
//! removed; only a request for differing ranges iterates over members.

use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};
use xxhash_rust::xxh3::Xxh3;

/// Number of position bits that distinguish the finest ranges.
const MAX_RANGE_BITS: u32 = 8;
/// The number of the finest ranges.
const MAX_RANGES: usize = 1 << MAX_RANGE_BITS;
/// Approximate number of members per range: they fill a third of a datagram, so that a difference of one
/// member costs no more than that.
const MEMBERS_PER_RANGE: usize = 8;

/// The digest of one range, as encoded on the wire.
pub(crate) type RangeDigest = [u8; 4];

/// A member, ordered by its position: the hash of its address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct PositionedMember {
    pub(crate) position: u64,
    pub(crate) address: SocketAddr,
}

impl PositionedMember {
    fn new(address: SocketAddr) -> Self {
        PositionedMember { position: position(address), address }
    }

    /// The lowest possible value at a position.
    fn first_at(position: u64) -> Self {
        PositionedMember { position, address: SocketAddr::from(([0, 0, 0, 0], 0)) }
    }
}

/// A hasher that has been fed an IP address and port.
pub(crate) fn address_hasher(address: SocketAddr) -> Xxh3 {
    let mut hasher = Xxh3::new();
    match address.ip() {
        IpAddr::V4(ip) => hasher.update(&ip.octets()),
        IpAddr::V6(ip) => hasher.update(&ip.octets()),
    }
    hasher.update(&address.port().to_be_bytes());
    hasher
}

/// The position of a member in the order of the ranges: the hash of its address.
pub(crate) fn position(address: SocketAddr) -> u64 {
    address_hasher(address).digest()
}

/// The index of the range that contains a position, among `ranges` ranges of equal size.
fn range_index(position: u64, ranges: usize) -> usize {
    ((u128::from(position) * ranges as u128) >> u64::BITS) as usize
}

/// The range digests of one view.
#[derive(Clone, Debug)]
pub(crate) struct RangeDigests {
    /// Wrapping sum of the digest terms in each of the finest ranges.
    sums: Vec<u64>,
    members: BTreeSet<PositionedMember>,
}

impl Default for RangeDigests {
    fn default() -> Self {
        RangeDigests { sums: vec![0; MAX_RANGES], members: BTreeSet::new() }
    }
}

impl RangeDigests {
    /// Adds a member and its digest term.
    pub(crate) fn insert(&mut self, address: SocketAddr, digest_term: u64) {
        let member = PositionedMember::new(address);
        self.add_term(member.position, digest_term);
        self.members.insert(member);
    }

    /// Removes a member and its digest term.
    pub(crate) fn remove(&mut self, address: SocketAddr, digest_term: u64) {
        let member = PositionedMember::new(address);
        self.add_term(member.position, digest_term.wrapping_neg());
        self.members.remove(&member);
    }

    /// Adds a term to the sum of the range that contains a position.
    pub(crate) fn add_term(&mut self, position: u64, digest_term: u64) {
        let sum = &mut self.sums[range_index(position, MAX_RANGES)];
        *sum = sum.wrapping_add(digest_term);
    }

    /// The digests of as many ranges as a view of `members` members needs: a power of two.
    pub(crate) fn digests(&self, members: usize) -> Vec<RangeDigest> {
        let ranges = (members / MEMBERS_PER_RANGE).clamp(1, MAX_RANGES).next_power_of_two();
        self.sums.chunks(self.sums.len() / ranges).map(range_digest).collect()
    }

    /// The members in ranges whose digests differ from those of another view, starting at a position and
    /// wrapping around at the end; `None` if the number of digests is not a power of two or exceeds that of
    /// the finest ranges.
    pub(crate) fn differing(
        &self,
        digests: &[RangeDigest],
        start: u64,
    ) -> Option<impl Iterator<Item = PositionedMember> + '_> {
        if !digests.len().is_power_of_two() || digests.len() > self.sums.len() {
            return None;
        }
        let local = self.digests(digests.len() * MEMBERS_PER_RANGE);
        let differs: Vec<bool> = local.iter().zip(digests).map(|(local, remote)| local != remote).collect();
        let first = PositionedMember::first_at(start);
        let from_start = self.members.range(first..);
        let before_start = self.members.range(..first);
        let members = from_start.chain(before_start).copied();
        Some(members.filter(move |member| differs[range_index(member.position, differs.len())]))
    }
}

fn range_digest(sums: &[u64]) -> RangeDigest {
    let sum = sums.iter().fold(0_u64, |total, sum| total.wrapping_add(*sum));
    ((sum >> 32) as u32).to_be_bytes()
}
