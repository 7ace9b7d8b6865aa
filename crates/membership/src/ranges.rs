//! The members that are there in ranges of their addresses' hashes, each with a digest: by those two views
//! tell where they differ without telling all. Kept as members come and go; only who differs walks a range.

use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};
use xxhash_rust::xxh3::Xxh3;

/// The ranges are told apart by so many bits at the most. A range of more members than a datagram holds
/// takes several.
const BITS: u32 = 8;
/// Members of a range, about: a third of a datagram, so that a difference of one member costs no more.
const MEMBERS: usize = 8;

/// Where a member lies.
pub(crate) fn place(address: SocketAddr) -> u64 {
    let mut hasher = Xxh3::new();
    match address.ip() {
        IpAddr::V4(ip) => hasher.update(&ip.octets()),
        IpAddr::V6(ip) => hasher.update(&ip.octets()),
    }
    hasher.update(&address.port().to_be_bytes());
    hasher.digest()
}

/// The ranges of one view.
#[derive(Clone, Debug)]
pub(crate) struct Ranges {
    /// The sum of the parts of each range.
    sums: Vec<u64>,
    members: BTreeSet<(u64, SocketAddr)>,
}

impl Default for Ranges {
    fn default() -> Self {
        Ranges { sums: vec![0; 1 << BITS], members: BTreeSet::new() }
    }
}

impl Ranges {
    /// A member is there.
    pub(crate) fn add(&mut self, address: SocketAddr, part: u64) {
        let place = place(address);
        self.shift(place, part);
        self.members.insert((place, address));
    }

    /// It is not any more.
    pub(crate) fn take(&mut self, address: SocketAddr, part: u64) {
        let place = place(address);
        self.shift(place, part.wrapping_neg());
        self.members.remove(&(place, address));
    }

    /// The sum of a range changes by so much.
    pub(crate) fn shift(&mut self, place: u64, part: u64) {
        let sum = &mut self.sums[(place >> (u64::BITS - BITS)) as usize];
        *sum = sum.wrapping_add(part);
    }

    /// The digests of as many ranges as so many members need.
    pub(crate) fn digests(&self, members: usize) -> Vec<[u8; 4]> {
        let ranges = (members / MEMBERS).clamp(1, 1 << BITS).next_power_of_two();
        let sums = self.sums.chunks(self.sums.len() / ranges);
        let sums = sums.map(|sums| sums.iter().fold(0u64, |all, sum| all.wrapping_add(*sum)));
        sums.map(|sum| ((sum >> 32) as u32).to_be_bytes()).collect()
    }

    /// Those that lie in ranges of which another told other digests, from a place on and then from the
    /// beginning. None: so many ranges there cannot be.
    pub(crate) fn differing(
        &self,
        digests: &[[u8; 4]],
        from: u64,
    ) -> Option<impl Iterator<Item = (u64, SocketAddr)> + '_> {
        if !digests.len().is_power_of_two() || digests.len() > self.sums.len() {
            return None;
        }
        let own = self.digests(digests.len() * MEMBERS);
        let differs: Vec<bool> = own.iter().zip(digests).map(|(own, other)| own != other).collect();
        let range = |place: u64, ranges: usize| ((u128::from(place) * ranges as u128) >> u64::BITS) as usize;
        let lowest = SocketAddr::from(([0, 0, 0, 0], 0));
        let (after, before) = (self.members.range((from, lowest)..), self.members.range(..(from, lowest)));
        let members = after.chain(before).copied();
        Some(members.filter(move |(place, _)| differs[range(*place, differs.len())]))
    }
}
