//! Parses and truncates `foca` packets: a header, the number of membership updates (two bytes), the updates.

use crate::envelope::DatagramError;
use crate::identity::Identity;
use foca::{Header, Member, Message, State};
use std::net::SocketAddr;

/// Size of the field with the number of updates.
const UPDATE_COUNT_BYTES: usize = 2;

/// The sender of a packet, and the members that the packet reports as suspected.
pub(crate) struct PacketSource {
    pub(crate) sender: SocketAddr,
    pub(crate) suspects: Vec<SocketAddr>,
}

/// The properties of a packet that the rate limit needs.
pub(crate) struct PacketHead {
    /// Whether the packet carries or requests membership updates and has no role in failure detection.
    pub(crate) is_dissemination: bool,
    /// Size of the header and the update count, without the updates.
    pub(crate) bytes: usize,
}

/// Parses the sender of a packet and the members that it reports as suspected.
///
/// # Errors
/// [`DatagramError::Content`] if the packet cannot be decoded.
pub(crate) fn read_source(packet: &[u8]) -> Result<PacketSource, DatagramError> {
    let (header, rest) = postcard::take_from_bytes::<Header<Identity>>(packet)?;
    let mut suspects = Vec::new();
    if let Some((update_count, mut rest)) = rest.split_first_chunk::<UPDATE_COUNT_BYTES>() {
        for _ in 0..u16::from_be_bytes(*update_count) {
            let (member, remaining) = postcard::take_from_bytes::<Member<Identity>>(rest)?;
            if member.state() == State::Suspect {
                suspects.push(member.id().address);
            }
            rest = remaining;
        }
    }
    Ok(PacketSource { sender: header.src.address, suspects })
}

/// Parses the header of a packet.
///
/// # Errors
/// [`DatagramError::Content`] if the header cannot be decoded.
pub(crate) fn read_head(packet: &[u8]) -> Result<PacketHead, DatagramError> {
    let (header, rest) = postcard::take_from_bytes::<Header<Identity>>(packet)?;
    let is_dissemination =
        matches!(header.message, Message::Feed | Message::Gossip | Message::Announce | Message::Broadcast);
    let count_bytes = rest.len().min(UPDATE_COUNT_BYTES);
    Ok(PacketHead { is_dissemination, bytes: packet.len() - rest.len() + count_bytes })
}

/// Truncates a packet to `max_bytes` by dropping its last updates: `foca` orders updates by how often they
/// were sent, least often first.
///
/// # Errors
/// [`DatagramError::Content`] if the packet cannot be decoded.
pub(crate) fn drop_updates(packet: &mut Vec<u8>, max_bytes: usize) -> Result<(), DatagramError> {
    let head_bytes = read_head(packet)?.bytes;
    let mut updates: u16 = 0;
    let mut end = head_bytes;
    while end < packet.len() {
        let (_, rest) = postcard::take_from_bytes::<Member<Identity>>(&packet[end..])?;
        let next_end = packet.len() - rest.len();
        if next_end > max_bytes {
            break;
        }
        updates += 1;
        end = next_end;
    }
    packet.truncate(end);
    let count_range = head_bytes.saturating_sub(UPDATE_COUNT_BYTES)..head_bytes;
    if let Some(update_count) = packet.get_mut(count_range).filter(|range| range.len() == UPDATE_COUNT_BYTES)
    {
        update_count.copy_from_slice(&updates.to_be_bytes());
    }
    Ok(())
}
