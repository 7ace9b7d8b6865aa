//! Where the hollow members are: their addresses, zones and regions, and how long a datagram is under way
//! between them.

use oakport_core::Micros;
use rand::Rng;
use std::net::SocketAddr;

/// Zones of the site.
pub const ZONES: usize = 11;
/// Regions, each of some zones.
pub const REGIONS: usize = 3;
/// The port of all members.
const PORT: u16 = 7_946;
/// Under way between two members of one zone, in microseconds: at least, and so much more at the most.
const ZONE_LATENCY_US: (Micros, Micros) = (2_000, 3_000);
/// The same between two zones of a region.
const REGION_LATENCY_US: (Micros, Micros) = (3_000, 5_000);
/// The same from a region to the next; to the one after it is twice as far.
const INTER_REGION_LATENCY_US: (Micros, Micros) = (14_000, 3_000);
/// No datagram is under way for less.
pub const MIN_LATENCY_US: Micros = ZONE_LATENCY_US.0;

/// Where a member is reached.
pub fn address(member: usize) -> SocketAddr {
    SocketAddr::from(([10, (member >> 16) as u8, (member >> 8) as u8, member as u8], PORT))
}

/// Who is reached at an address.
pub fn member_at(address: SocketAddr) -> Option<usize> {
    match address {
        SocketAddr::V4(v4) if v4.port() == PORT && v4.ip().octets()[0] == 10 => {
            Some(u32::from_be_bytes(v4.ip().octets()) as usize & 0xff_ffff)
        }
        _ => None,
    }
}

/// The zone of a member: zones are blocks of members that follow one another.
pub fn zone(member: usize, size: usize) -> usize {
    member * ZONES / size
}

/// What a zone is called.
pub fn zone_name(zone: usize) -> String {
    format!("zone-{zone}")
}

/// The zone that is called so.
pub fn zone_index(name: &str) -> Option<usize> {
    name.strip_prefix("zone-")?.parse().ok()
}

/// The region of a member.
pub fn region(member: usize, size: usize) -> usize {
    zone(member, size) * REGIONS / ZONES
}

/// How long a datagram is under way.
pub fn latency(from: usize, to: usize, size: usize, random: &mut impl Rng) -> Micros {
    let apart = region(from, size).abs_diff(region(to, size)) as Micros;
    let (least, more) = match apart {
        0 if zone(from, size) == zone(to, size) => ZONE_LATENCY_US,
        0 => REGION_LATENCY_US,
        _ => (INTER_REGION_LATENCY_US.0 * apart, INTER_REGION_LATENCY_US.1),
    };
    least + random.gen_range(0..=more)
}
