//! Addresses, zones and regions of the simulated members, and the latency of datagrams between them.

use oakport_core::Micros;
use rand::Rng;
use std::net::SocketAddr;

/// Number of zones.
pub const ZONES: usize = 11;
/// Number of regions, each of several zones.
pub const REGIONS: usize = 3;
/// The port of all members.
const PORT: u16 = 7_946;
/// Latency between two members of a zone: the minimum, and the largest random addition.
const ZONE_LATENCY_US: (Micros, Micros) = (2_000, 3_000);
/// Latency between two zones of a region: the minimum, and the largest random addition.
const REGION_LATENCY_US: (Micros, Micros) = (3_000, 5_000);
/// Latency from a region to the next: the minimum, which doubles for the region after that, and the largest
/// random addition.
const INTER_REGION_LATENCY_US: (Micros, Micros) = (14_000, 3_000);
/// Shortest latency of any datagram.
pub const MIN_LATENCY_US: Micros = ZONE_LATENCY_US.0;

/// Address of a member.
pub fn address(member: usize) -> SocketAddr {
    SocketAddr::from(([10, (member >> 16) as u8, (member >> 8) as u8, member as u8], PORT))
}

/// The member with this address.
pub fn member_at(address: SocketAddr) -> Option<usize> {
    match address {
        SocketAddr::V4(v4) if v4.port() == PORT && v4.ip().octets()[0] == 10 => {
            Some(u32::from_be_bytes(v4.ip().octets()) as usize & 0xff_ffff)
        }
        _ => None,
    }
}

/// The zone of a member: each zone is a block of consecutive members.
pub fn zone(member: usize, size: usize) -> usize {
    member * ZONES / size
}

/// Name of a zone.
pub fn zone_name(zone: usize) -> String {
    format!("zone-{zone}")
}

/// The zone with this name.
pub fn zone_index(name: &str) -> Option<usize> {
    name.strip_prefix("zone-")?.parse().ok()
}

/// The region of a member.
pub fn region(member: usize, size: usize) -> usize {
    zone(member, size) * REGIONS / ZONES
}

/// Random latency of a datagram.
pub fn latency(from: usize, to: usize, size: usize, random: &mut impl Rng) -> Micros {
    let distance = region(from, size).abs_diff(region(to, size)) as Micros;
    let (min, spread) = match distance {
        0 if zone(from, size) == zone(to, size) => ZONE_LATENCY_US,
        0 => REGION_LATENCY_US,
        _ => (INTER_REGION_LATENCY_US.0 * distance, INTER_REGION_LATENCY_US.1),
    };
    min + random.gen_range(0..=spread)
}
